#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Called at the start of a gate that does not know yet which endpoints have
/// left. Until endConfirmation(), an endpoint is added only once a second
/// announcement of the same process shows that the first one was not late.
void beginConfirmation(Gate &gate);

/// Called once the departures are known and noted: adds the endpoints that have
/// announced themselves and have not left.
GateActions endConfirmation(Gate &gate, Instant now);

/// True if an announcement may add its endpoint. Otherwise it is kept as the
/// first one.
bool confirm(Gate &gate, const Announcement &announcement, Instant now);

} // namespace hickoryglade
