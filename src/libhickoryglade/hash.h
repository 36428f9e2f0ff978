#pragma once

#include <cstdint>
#include <string_view>

namespace hickoryglade {

/// Hash function whose result is the same on all nodes and in all versions.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace hickoryglade
