#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace hickoryglade::wire {
class Snapshot;
} // namespace hickoryglade::wire

namespace hickoryglade::fleet {

std::string encodeSnapshot(const wire::Snapshot &snapshot);
/// Returns nullopt for malformed bytes.
std::optional<wire::Snapshot> decodeSnapshot(const std::string &bytes);

std::string compress(const std::string &plain);
/// Returns nullopt unless the result has the given size.
std::optional<std::string> decompress(const std::string &bytes,
                                      std::size_t plainBytes);

} // namespace hickoryglade::fleet
