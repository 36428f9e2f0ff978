#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Reports runs that a stopping gate may not see to their end, and aborts those
/// that are left when it ends. Does nothing unless the gate is stopping.
void reviewRunsOfStop(const Gate &gate, GateEndpoint &endpoint, Instant now,
                      GateActions &actions);

} // namespace hickoryglade
