#include "libhickoryglade/waitforecast.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// Shorter waits are rounded up to this, since they would distort the ratio.
constexpr Micros MinWait = std::chrono::milliseconds(10);

/// Weight of the latest wait in the moving average; most of the average comes
/// from the last ten waits.
constexpr double LatestWeight = 0.2;

/// Bounds the ratio, which would grow without limit while a queue is stuck.
constexpr double MaxRatio = 50;

/// A ratio whose latest wait is older than this is discarded.
constexpr Micros MaxRatioAge = std::chrono::seconds(2);

} // namespace

void WaitForecast::record(int rank, Micros estimated, Micros waited,
                          Instant now) {
  Ratio &ratio = Ratios[rank];
  if (now - ratio.At > MaxRatioAge)
    ratio.Value = 1;
  ratio.At = now;
  double seen = double(std::max(waited, MinWait).count()) /
                double(std::max(estimated, MinWait).count());
  ratio.Value += (std::min(seen, MaxRatio) - ratio.Value) * LatestWeight;
}

Micros WaitForecast::correct(int rank, Micros estimated, Instant now) const {
  auto it = Ratios.find(rank);
  if (it == Ratios.end() || now - it->second.At > MaxRatioAge)
    return estimated;
  return Micros(
      Micros::rep(double(estimated.count()) * std::max(it->second.Value, 1.0)));
}

} // namespace hickoryglade
