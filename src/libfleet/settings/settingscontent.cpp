#include "libfleet/settings/settingscontent.h"

#include "fleet_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <zlib.h>

/// The form in which settings go from one node to another.

namespace hickoryglade::fleet {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

} // namespace

std::string encodeSnapshot(const wire::Snapshot &snapshot) {
  auto buf = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buf);
  snapshot.write(&protocol);
  return buf->getBufferAsString();
}

std::optional<wire::Snapshot> decodeSnapshot(const std::string &bytes) {
  auto *data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
  auto buf = std::make_shared<TMemoryBuffer>(data, std::uint32_t(bytes.size()),
                                             TMemoryBuffer::OBSERVE);
  auto limit = std::int32_t(bytes.size());
  Protocol protocol(buf, limit, limit);
  try {
    wire::Snapshot snapshot;
    snapshot.read(&protocol);
    return snapshot;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

// The fastest level: routes repeat their words so often that slower ones gain
// little.
std::string compress(const std::string &plain) {
  uLongf size = compressBound(plain.size());
  std::string bytes(size, '\0');
  compress2(reinterpret_cast<Bytef *>(bytes.data()), &size,
            reinterpret_cast<const Bytef *>(plain.data()), plain.size(),
            Z_BEST_SPEED);
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> decompress(const std::string &bytes,
                                      std::size_t plainBytes) {
  std::string plain(plainBytes, '\0');
  uLongf size = plainBytes;
  int status =
      uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
                 reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
  return status == Z_OK && size == plainBytes ? std::optional(std::move(plain))
                                              : std::nullopt;
}

} // namespace hickoryglade::fleet
