#include "libhickoryglade/splitter.h"

#include <algorithm>
#include <numeric>

namespace hickoryglade {

// Smooth weighted round robin. The current weights start at random values, so
// that the proportions also hold over many nodes with few requests each.
const std::string &Splitter::choose(const Route &route, Random &rng) {
  if (route.Split.empty())
    return route.Service;
  std::int64_t sum = std::transform_reduce(
      route.Split.begin(), route.Split.end(), std::int64_t{0}, std::plus{},
      [](const SplitPart &it) { return it.Weight; });
  Shares &shares = ByRoute[route.Path];
  if (shares.Split != route.Split) {
    shares = {route.Split, {}};
    for (std::size_t i = 0; i < route.Split.size(); ++i)
      shares.CurrentWeights.push_back(
          std::int64_t(uniform(rng, std::uint64_t(sum) + 1)));
  }
  for (std::size_t i = 0; i < route.Split.size(); ++i)
    shares.CurrentWeights[i] += route.Split[i].Weight;
  // A part with weight 0 receives no requests, whatever value it started from.
  auto rank = [&](std::size_t i) {
    return std::pair(route.Split[i].Weight > 0, shares.CurrentWeights[i]);
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < route.Split.size(); ++i)
    if (rank(i) > rank(best))
      best = i;
  shares.CurrentWeights[best] -= sum;
  return route.Split[best].Service;
}

} // namespace hickoryglade
