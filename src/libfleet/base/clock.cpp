#include "libfleet/base/clock.h"

#include <ctime>

namespace hickoryglade::fleet {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr std::int64_t NanosPerMicro = 1'000;

} // namespace

// The steady clock stops while the VM is suspended, which would make outdated
// information look recent.
Instant now() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return Instant(
      Micros(at.tv_sec * MicrosPerSecond + at.tv_nsec / NanosPerMicro));
}

std::chrono::steady_clock::time_point toSteady(Instant at) {
  return std::chrono::steady_clock::now() + (at - now());
}

std::int64_t wallMicros() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Micros>(since).count();
}

} // namespace hickoryglade::fleet
