#include "libfleet/peers/framecodec.h"

#include "fleet_types.h"

#include <boost/endian/conversion.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstring>

namespace hickoryglade::fleet {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

template <typename Message> std::string encode(const Message &message) {
  auto buf = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buf);
  message.write(&protocol);
  return buf->getBufferAsString();
}

template <typename Message>
std::optional<Message> decode(std::string_view bytes) {
  auto *data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
  auto buf = std::make_shared<TMemoryBuffer>(data, std::uint32_t(bytes.size()),
                                             TMemoryBuffer::OBSERVE);
  Protocol protocol(buf, MaxFrameBytes, MaxFrameBytes);
  try {
    Message message;
    message.read(&protocol);
    return message;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encodeFrame(const wire::Frame &frame) {
  std::string content = encode(frame);
  std::uint32_t prefix =
      boost::endian::native_to_big(std::uint32_t(content.size()));
  std::string bytes(FramePrefixBytes, '\0');
  std::memcpy(bytes.data(), &prefix, FramePrefixBytes);
  return bytes + content;
}

std::optional<wire::Frame> decodeFrame(std::string_view bytes) {
  return decode<wire::Frame>(bytes);
}

std::size_t prefixedLength(std::string_view prefix) {
  std::uint32_t value = 0;
  std::memcpy(&value, prefix.data(), FramePrefixBytes);
  return boost::endian::big_to_native(value);
}

std::string encodeGossip(const wire::Gossip &gossip) { return encode(gossip); }

std::optional<wire::Gossip> decodeGossip(std::string_view bytes) {
  return decode<wire::Gossip>(bytes);
}

} // namespace hickoryglade::fleet
