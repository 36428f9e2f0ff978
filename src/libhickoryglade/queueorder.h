#pragma once

#include "libhickoryglade/ticket.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickoryglade {

/// Order in which waiting requests of one workspace get slots.
enum class QueueOrder {
  /// In order of arrival.
  Arrival,
  /// By rank, then by arrival.
  Priority,
  /// By rank, then by the earliest deadline.
  TimeLeft,
  /// By rank, then by the earliest target time. Calls made by running requests
  /// have short targets and so go before new requests of their rank.
  Target,
  /// As Target, but the ranks hold across workspaces: a workspace's own
  /// priority goes before that of the route.
  Workspace
};

/// True if a ticket goes before another one that arrived earlier.
bool overtakes(QueueOrder order, const Ticket &ticket, const Ticket &earlier);

std::string_view toString(QueueOrder order);
std::vector<std::string> queueOrderNames();

/// Order with this name; Priority if the name is unknown.
QueueOrder queueOrderOf(std::string_view name);

} // namespace hickoryglade
