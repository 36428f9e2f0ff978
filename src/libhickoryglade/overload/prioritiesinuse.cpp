#include "libhickoryglade/overload/prioritiesinuse.h"

namespace hickoryglade {

namespace {

/// How long a priority counts as in use. A gate gets about six requests a
/// second, so a priority with a thirtieth of them is seldom missed.
constexpr Micros UseRetention = std::chrono::seconds(5);

/// Pause between removals of old entries. There may be 101 * 101 priorities.
constexpr Micros ExpiryPeriod = std::chrono::seconds(1);

} // namespace

void notePriority(PrioritiesInUse &priorities, int priority, Instant now) {
  priorities.SeenAt[priority] = now;
  if (now - priorities.ExpiredAt < ExpiryPeriod)
    return;
  priorities.ExpiredAt = now;
  std::erase_if(priorities.SeenAt,
                [&](const auto &it) { return now - it.second > UseRetention; });
}

int countMoreUrgent(const PrioritiesInUse &priorities, int priority, int most,
                    Instant now) {
  int count = 0;
  auto end = priorities.SeenAt.lower_bound(priority);
  for (auto it = priorities.SeenAt.begin(); it != end && count < most; ++it)
    count += now - it->second <= UseRetention;
  return count;
}

} // namespace hickoryglade
