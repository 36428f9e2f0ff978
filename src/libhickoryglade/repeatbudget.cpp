#include "libhickoryglade/repeatbudget.h"

namespace hickoryglade {

namespace {

/// Length of a bucket; 20 of them form the window of 10 s over which operators
/// bound repeats.
constexpr Micros BucketDuration = std::chrono::milliseconds(500);

constexpr double Percent = 100;

std::int64_t indexOf(Instant at) {
  return at.time_since_epoch() / BucketDuration;
}

} // namespace

RepeatBudget::Bucket &RepeatBudget::bucketAt(Instant now) {
  std::int64_t index = indexOf(now);
  Bucket &bucket = All[std::size_t(index) % Buckets];
  if (bucket.Index != index)
    bucket = {index, 0, 0};
  return bucket;
}

void RepeatBudget::record(bool isRepeat, Instant now) {
  Bucket &bucket = bucketAt(now);
  ++(isRepeat ? bucket.Repeats : bucket.Firsts);
}

// Each gate enforces its own part of the fleet's bound, so that the sum over
// all gates stays within the bound without coordination.
bool RepeatBudget::allowsRepeat(int percent, double allowance, Instant now,
                                double part) {
  std::int64_t oldest = indexOf(now) - std::int64_t(Buckets) + 1;
  int firsts = 0;
  int repeats = 0;
  for (const Bucket &it : All) {
    if (it.Index < oldest)
      continue;
    firsts += it.Firsts;
    repeats += it.Repeats;
  }
  return repeats + 1 <= (firsts * percent / Percent + allowance) * part;
}

} // namespace hickoryglade
