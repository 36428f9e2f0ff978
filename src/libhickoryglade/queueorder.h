#pragma once

#include "libhickoryglade/ticket.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickoryglade {

/// Order in which waiting requests of one workspace get slots.
enum class QueueOrder {
  /// First come, first served.
  Arrival,
  /// By rank, then by arrival.
  Priority,
  /// By rank, then the earliest deadline.
  TimeLeft,
  /// By rank, then by when an answer loses part of its value: the calls of
  /// running
  /// requests, whose targets are short, go before new requests of their rank.
  Target
};

/// True if one ticket goes before another that has come earlier.
bool overtakes(QueueOrder order, const Ticket &ticket, const Ticket &earlier);

std::string_view toString(QueueOrder order);
std::vector<std::string> queueOrderNames();

/// The order of a name; Priority if there is none.
QueueOrder queueOrderOf(std::string_view name);

} // namespace hickoryglade
