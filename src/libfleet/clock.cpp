#include "libfleet/clock.h"

namespace hickoryglade::fleet {

Instant now() {
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Micros>(since));
}

std::chrono::steady_clock::time_point toSteady(Instant at) {
  return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

std::int64_t wallMicros() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Micros>(since).count();
}

} // namespace hickoryglade::fleet
