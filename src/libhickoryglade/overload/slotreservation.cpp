#include "libhickoryglade/overload/slotreservation.h"

#include <algorithm>

namespace hickoryglade {

int reservedSlots(int slots, int percent, int moreUrgent) {
  if (percent <= 0 || moreUrgent <= 0 || slots <= 1)
    return 0;
  constexpr int wholePercent = 100;
  int perPriority = std::max(wholePercent, slots * percent);
  int all = std::min(moreUrgent, MaxReservingPriorities) * perPriority;
  int roundedUp = (all + wholePercent - 1) / wholePercent;
  // A request must be able to start at an idle endpoint; otherwise it would
  // wait while nothing runs.
  return std::min(roundedUp, slots - 1);
}

} // namespace hickoryglade
