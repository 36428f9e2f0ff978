#pragma once

#include <cstdint>
#include <string_view>

namespace hickoryglade {

/// Hash that is the same on every node and in every version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace hickoryglade
