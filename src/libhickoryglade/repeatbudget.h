#pragma once

#include "libhickoryglade/instant.h"

#include <array>
#include <cstdint>

namespace hickoryglade {

/// Retry budget of one service at one gate. It counts first attempts and
/// repeats that are sent to endpoints, over a sliding window.
class RepeatBudget {
public:
  /// Counts a request that was sent to an endpoint.
  void record(bool isRepeat, Instant now);

  /// True if one more repeat stays within a part of the budget, which is a
  /// percentage of the first attempts plus a fixed allowance.
  bool allowsRepeat(int percent, double allowance, Instant now,
                    double part = 1);

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
