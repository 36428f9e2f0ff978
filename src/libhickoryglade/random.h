#pragma once

#include <cstdint>
#include <random>

namespace hickoryglade {

/// Random number generator, seeded by callers and passed to this library.
using Random = std::mt19937_64;

/// Uniform integer in [0, n); n must be positive.
inline std::uint64_t uniform(Random &rng, std::uint64_t n) { return rng() % n; }

} // namespace hickoryglade
