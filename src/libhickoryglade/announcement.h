#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <string>

namespace hickoryglade {

/// What an endpoint says of itself every second.
struct Announcement {
  std::string Name;
  /// Qualified service name.
  std::string Service;
  /// "IP:PORT" at which it serves.
  std::string Address;
  int Slots = 1;
  /// Changes with every start of the endpoint.
  std::string Incarnation;
  bool IsDraining = false;
  /// Start of the endpoint's process in milliseconds since the Unix epoch;
  /// 0 if it does not say.
  std::int64_t StartedAtMs = 0;
  /// Rises with each announcement of one process; 0 if it does not say.
  std::int64_t Sequence = 0;

  bool operator==(const Announcement &) const = default;
};

} // namespace hickoryglade
