#pragma once

#include "libhickoryglade/instant.h"

namespace hickoryglade::fleet {

/// Present time on the kernel's axis; goes on while the VM is suspended.
Instant now();

/// Point of the steady clock that corresponds to an instant.
std::chrono::steady_clock::time_point toSteady(Instant at);

/// Start time for a boot id: microseconds since the Unix epoch.
std::int64_t wallMicros();

} // namespace hickoryglade::fleet
