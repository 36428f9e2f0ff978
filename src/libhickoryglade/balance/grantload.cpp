#include "libhickoryglade/balance/grantload.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace hickoryglade {

double busyShare(const GrantLoad &load) {
  return double(load.Slots - load.FreeSlots + load.Queued) /
         std::max(load.Slots, 1);
}

bool isOtherwiseIdle(const GrantLoad &load) {
  return load.Slots > 0 && load.Slots - load.FreeSlots <= 1 && load.Queued == 0;
}

std::size_t leastLoaded(std::span<const std::optional<GrantLoad>> grants,
                        Random &rng) {
  auto share = [&](std::size_t i) {
    return grants[i] ? busyShare(*grants[i])
                     : std::numeric_limits<double>::infinity();
  };
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < grants.size(); ++i) {
    if (!best.empty() && share(i) > share(best.front()))
      continue;
    if (!best.empty() && share(i) < share(best.front()))
      best.clear();
    best.push_back(i);
  }
  return best[uniform(rng, best.size())];
}

} // namespace hickoryglade
