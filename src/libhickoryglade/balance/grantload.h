#pragma once

#include "libhickoryglade/random.h"

#include <optional>
#include <span>

namespace hickoryglade {

/// Load of a gate that has granted a slot, with that slot in use.
struct GrantLoad {
  int Slots = 0;
  int FreeSlots = 0;
  int Queued = 0;

  bool operator==(const GrantLoad &) const = default;
};

/// Busy slots and queued requests per slot.
double busyShare(const GrantLoad &load);

/// True if no other gate can be less loaded: the granted slot is the only one
/// in use.
bool isOtherwiseIdle(const GrantLoad &load);

/// Index of the least loaded of several grants, drawn at random among equals. A
/// grant without a load is chosen only if none has one. There must be a grant.
std::size_t leastLoaded(std::span<const std::optional<GrantLoad>> grants,
                        Random &rng);

} // namespace hickoryglade
