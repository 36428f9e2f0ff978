#include "libhickoryglade/queueorder.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace hickoryglade {

namespace {

constexpr std::array<std::string_view, 5> Names = {
    "arrival", "priority", "time_left", "target", "workspace"};

/// Time after which an answer loses part of its value.
Instant targetOf(const Ticket &ticket) {
  return ticket.Target.value_or(ticket.Deadline);
}

} // namespace

bool overtakes(QueueOrder order, const Ticket &ticket, const Ticket &earlier) {
  switch (order) {
  case QueueOrder::Arrival:
    return false;
  case QueueOrder::Priority:
    return ticket.Priority < earlier.Priority;
  case QueueOrder::TimeLeft:
    return std::tie(ticket.Priority, ticket.Deadline) <
           std::tie(earlier.Priority, earlier.Deadline);
  case QueueOrder::Target:
  case QueueOrder::Workspace:
    return std::pair(ticket.Priority, targetOf(ticket)) <
           std::pair(earlier.Priority, targetOf(earlier));
  }
  return false;
}

std::string_view toString(QueueOrder order) {
  return Names[static_cast<std::size_t>(order)];
}

std::vector<std::string> queueOrderNames() {
  return {Names.begin(), Names.end()};
}

QueueOrder queueOrderOf(std::string_view name) {
  auto it = std::ranges::find(Names, name);
  return it == Names.end() ? QueueOrder::Priority
                           : QueueOrder(it - Names.begin());
}

} // namespace hickoryglade
