#pragma once

#include "libhickoryglade/gate.h"

#include <cstddef>

namespace hickoryglade {

/// Sets the limit that an endpoint has named, or ends it, and reports the
/// change. Returns true if fewer requests may start than before.
bool setLimit(GateEndpoint &endpoint, std::optional<double> limit, Instant now,
              GateActions &actions);

/// Time until the limits of a service's endpoints let one more request start,
/// after those that wait ahead of it; zero while any endpoint in rotation has
/// no limit.
Micros limitWait(const Gate &gate, const std::string &service,
                 std::size_t ahead, Instant now);

/// True if a slot is free for the request, and only a limit keeps it waiting.
bool isHeldByLimit(const Gate &gate, const GateService &service,
                   const Ticket &ticket, Instant now);

/// Refuses waiting requests that a lower limit does not let start in time.
void refuseBeyondLimit(Gate &gate, const std::string &name, Instant now,
                       GateActions &actions);

} // namespace hickoryglade
