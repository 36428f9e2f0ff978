#include "libhickoryglade/hash.h"

#include <xxhash.h>

namespace hickoryglade {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace hickoryglade
