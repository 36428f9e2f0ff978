#pragma once

#include "libhickoryglade/instant.h"

#include <array>
#include <cstdint>

namespace hickoryglade {

/// Counts what arrives at the endpoints of one service behind one gate, over a
/// sliding window.
class RepeatBudget {
public:
  /// A request was sent to an endpoint, for the first time or again.
  void record(bool isRepeat, Instant now);

  /// True if one more repeat stays within a share of the first arrivals and a
  /// fixed allowance.
  bool allowsRepeat(int percent, double allowance, Instant now);

private:
  static constexpr std::size_t Buckets = 20;

  struct Bucket {
    std::int64_t Index = -1;
    int Firsts = 0;
    int Repeats = 0;
  };

  Bucket &bucketAt(Instant now);

  std::array<Bucket, Buckets> All;
};

} // namespace hickoryglade
