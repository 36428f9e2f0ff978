#pragma once

#include "libhickoryglade/random.h"
#include "libhickoryglade/routetable.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Shares the requests of routes out over services in proportion to weights.
class Splitter {
public:
  /// Qualified name of the service that takes the route's next request.
  const std::string &choose(const Route &route, Random &rng);

private:
  struct Shares {
    std::vector<SplitPart> Split;
    /// What each part is owed, in units of the sum of all weights.
    std::vector<std::int64_t> CurrentWeights;
  };

  std::map<std::string, Shares> ByRoute;
};

} // namespace hickoryglade
