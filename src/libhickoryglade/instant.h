#pragma once

#include <chrono>

namespace hickoryglade {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Clock type of this library. It has no now(): callers pass the time, so that
/// the same events always lead to the same decisions.
struct KernelClock {
  using rep = Micros::rep;
  using period = Micros::period;
  using duration = Micros;
  using time_point = std::chrono::time_point<KernelClock>;
  static constexpr bool is_steady = true;
};

using Instant = KernelClock::time_point;

inline Millis toMillis(Micros d) {
  return std::chrono::duration_cast<Millis>(d);
}

} // namespace hickoryglade
