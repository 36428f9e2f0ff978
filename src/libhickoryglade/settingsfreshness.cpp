#include "libhickoryglade/settingsfreshness.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A reader's polls return this many times within the maximum age, with some
/// time to spare, so that one notice may be lost.
constexpr double PollsPerMaxAge = 2.4;

/// Polls that a reader may miss before the next member in rank reads.
constexpr double StandbyPolls = 1.5;

Micros scaled(Micros time, double factor) {
  return Micros(Micros::rep(double(time.count()) * factor));
}

} // namespace

void noteCurrent(SettingsFreshness &freshness, Instant asOf) {
  freshness.AsOf = std::max(freshness.AsOf, asOf);
}

Micros longestPollWait(const ReadingPolicy &policy) {
  return scaled(policy.MaxAge, 1 / PollsPerMaxAge);
}

// Members read one after the other, so that the first one that the source
// serves can tell the others before they read too.
Instant readDue(const SettingsFreshness &freshness, const ReadingPolicy &policy,
                const ReadingPlace &place) {
  if (policy.Readers == 0 || place.Rank < policy.Readers)
    return freshness.AsOf;
  Micros first = scaled(longestPollWait(policy), StandbyPolls);
  double share = double(place.Rank - policy.Readers + 1) /
                 double(std::max(place.Members, place.Rank + 1));
  return freshness.AsOf + first + scaled(policy.MaxAge - first, share);
}

} // namespace hickoryglade
