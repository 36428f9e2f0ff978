#pragma once

#include "libhickoryglade/random.h"
#include "libhickoryglade/routetable.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Distributes the requests of routes among services in proportion to weights.
class Splitter {
public:
  /// Returns the qualified name of the service for the route's next request.
  const std::string &choose(const Route &route, Random &rng);

private:
  struct Shares {
    std::vector<SplitPart> Split;
    /// Current weight of each part, as in smooth weighted round robin.
    std::vector<std::int64_t> CurrentWeights;
  };

  std::map<std::string, Shares> ByRoute;
};

} // namespace hickoryglade
