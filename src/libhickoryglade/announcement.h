#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <string>

namespace hickoryglade {

/// An endpoint's description of itself, sent every second.
struct Announcement {
  std::string Name;
  /// Qualified service name.
  std::string Service;
  /// "IP:PORT" at which it accepts requests.
  std::string Address;
  int Slots = 1;
  /// Changes with every start of the endpoint.
  std::string Incarnation;
  bool IsDraining = false;
  /// Start of the endpoint's process in milliseconds since the Unix epoch;
  /// 0 if not given.
  std::int64_t StartedAtMs = 0;
  /// Increases with each announcement of one process; 0 if not given.
  std::int64_t Sequence = 0;

  bool operator==(const Announcement &) const = default;
};

} // namespace hickoryglade
