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

  bool operator==(const Announcement &) const = default;
};

} // namespace hickoryglade
