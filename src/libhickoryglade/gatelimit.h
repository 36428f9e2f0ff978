#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Sets the limit that an endpoint has named, or ends it, and reports the
/// change.
void setLimit(GateEndpoint &endpoint, std::optional<double> limit,
              GateActions &actions);

} // namespace hickoryglade
