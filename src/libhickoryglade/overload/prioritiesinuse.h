#pragma once

#include "libhickoryglade/instant.h"

#include <map>

namespace hickoryglade {

/// Priorities of the requests that a gate has received recently for a service,
/// 0 first.
struct PrioritiesInUse {
  std::map<int, Instant> SeenAt;
  Instant ExpiredAt;

  bool operator==(const PrioritiesInUse &) const = default;
};

void notePriority(PrioritiesInUse &priorities, int priority, Instant now);

/// Number of more urgent priorities in use; counts no further than `most`.
int countMoreUrgent(const PrioritiesInUse &priorities, int priority, int most,
                    Instant now);

} // namespace hickoryglade
