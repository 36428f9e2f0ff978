#pragma once

#include "libhickoryglade/instant.h"

#include <map>

namespace hickoryglade {

/// Corrects waits that are estimated from the length of a queue by the ratio of
/// recent actual waits to their estimates. Less urgent requests wait longer
/// than estimated, since more urgent ones that arrive later overtake them.
class WaitForecast {
public:
  /// Records the actual wait of a request that has left the queue.
  void record(int rank, Micros estimated, Micros waited, Instant now);

  Micros correct(int rank, Micros estimated, Instant now) const;

private:
  struct Ratio {
    double Value = 1;
    Instant At;
  };

  std::map<int, Ratio> Ratios;
};

} // namespace hickoryglade
