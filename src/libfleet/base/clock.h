#pragma once

#include "libhickoryglade/instant.h"

namespace hickoryglade::fleet {

/// Current time of the kernel's boot clock, which keeps running while the VM is
/// suspended.
Instant now();

/// Converts an instant to the steady clock.
std::chrono::steady_clock::time_point toSteady(Instant at);

/// Wall-clock time in microseconds since the Unix epoch.
std::int64_t wallMicros();

} // namespace hickoryglade::fleet
