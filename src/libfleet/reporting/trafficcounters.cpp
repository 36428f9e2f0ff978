#include "libfleet/reporting/trafficcounters.h"

namespace hickoryglade::fleet {

std::string_view toString(TrafficCause cause) {
  constexpr std::array<std::string_view, TrafficCauses> names = {
      "requests",  "answers",  "tickets", "refusals",   "links",
      "questions", "settings", "keys",    "membership", "standings"};
  return names[static_cast<std::size_t>(cause)];
}

void TrafficCounters::add(TrafficCause cause, bool isFar, std::size_t bytes) {
  (isFar ? Far : Near)[static_cast<std::size_t>(cause)] += bytes;
}

std::uint64_t TrafficCounters::bytes(TrafficCause cause, bool isFar) const {
  return (isFar ? Far : Near)[static_cast<std::size_t>(cause)];
}

} // namespace hickoryglade::fleet
