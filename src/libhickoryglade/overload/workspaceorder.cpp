#include "libhickoryglade/overload/workspaceorder.h"

#include <algorithm>
#include <tuple>

namespace hickoryglade {

namespace {

/// One of this many starts goes to the longest-waiting ticket.
constexpr int StartsPerTurn = 8;

/// After a pause without starts from the queue, the workspaces begin as equals.
constexpr Micros ClockRetention = std::chrono::seconds(5);

double startTag(const WorkspaceOrder &order, const Ticket &ticket) {
  auto clock = order.Clocks.find(ticket.Priority);
  if (clock == order.Clocks.end())
    return 0;
  auto finish = clock->second.Finish.find(ticket.Workspace);
  return finish == clock->second.Finish.end()
             ? clock->second.Now
             : std::max(clock->second.Now, finish->second);
}

bool canMeetDeadline(const Ticket &ticket, Instant now) {
  return now + ticket.ExpectedCost < ticket.Deadline;
}

} // namespace

std::vector<Ticket *> inStartOrder(const WorkspaceOrder &order,
                                   const std::vector<Ticket *> &waiting,
                                   Instant now) {
  std::vector<std::pair<double, Ticket *>> tagged;
  for (Ticket *it : waiting) {
    it->IsDue =
        order.PassedOver >= StartsPerTurn - 1 && canMeetDeadline(*it, now);
    tagged.emplace_back(startTag(order, *it), it);
  }
  std::ranges::stable_sort(tagged, {}, [](const auto &it) {
    const Ticket &ticket = *it.second;
    Instant wait = ticket.IsDue ? ticket.WaitingSince : Instant{};
    return std::tuple(!ticket.IsDue, wait, ticket.Priority, it.first,
                      ticket.Target.value_or(ticket.Deadline));
  });
  std::vector<Ticket *> sorted;
  std::ranges::transform(tagged, std::back_inserter(sorted),
                         [](const auto &it) { return it.second; });
  return sorted;
}

void noteStart(WorkspaceOrder &order, const Ticket &started,
               const std::vector<Ticket *> &waiting, Micros cost, int share,
               Instant now) {
  if (now - order.StartedAt > ClockRetention)
    order.Clocks.clear();
  order.StartedAt = now;
  bool isPassingOver = std::ranges::any_of(waiting, [&](const Ticket *it) {
    return canMeetDeadline(*it, now) && it->WaitingSince < started.WaitingSince;
  });
  order.PassedOver = isPassingOver ? order.PassedOver + 1 : 0;
  double start = startTag(order, started);
  FairClock &clock = order.Clocks[started.Priority];
  clock.Now = start;
  clock.Finish[started.Workspace] = start + double(cost.count()) / share;
  std::erase_if(clock.Finish,
                [&](const auto &it) { return it.second <= clock.Now; });
}

} // namespace hickoryglade
