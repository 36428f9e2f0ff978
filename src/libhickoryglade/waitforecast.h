#pragma once

#include "libhickoryglade/instant.h"

#include <map>

namespace hickoryglade {

/// Corrects the wait that the length of a queue promises by how long requests
/// have really waited of late: less urgent ones are overtaken by those that
/// come after them.
class WaitForecast {
public:
  /// A request of a rank has left the queue after this time.
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
