#include "libhickoryglade/queueorder.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace hickoryglade {

namespace {

constexpr std::array<std::string_view, 3> Names = {"arrival", "priority",
                                                   "time_left"};

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
