#pragma once

namespace hickoryglade {

/// More urgent priorities that keep slots free at most.
constexpr int MaxReservingPriorities = 2;

/// Slots of an endpoint that stay free after the start of a request, for the
/// given number of more urgent priorities. Leaves at least one slot.
int reservedSlots(int slots, int percent, int moreUrgent);

} // namespace hickoryglade
