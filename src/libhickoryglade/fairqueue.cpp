#include "libhickoryglade/fairqueue.h"

#include <algorithm>
#include <numeric>

namespace hickoryglade {

namespace {

/// Minimum cost of a ticket, so that every request counts towards its
/// workspace's share.
constexpr Micros MinCost{1'000};

Micros costOf(const Ticket &ticket) {
  return std::max(ticket.ExpectedCost, MinCost);
}

} // namespace

void FairQueue::push(Ticket ticket, int share, QueueOrder order) {
  double level = startVirtualTime();
  auto [it, isNew] = Flows.try_emplace(ticket.Workspace);
  Flow &flow = it->second;
  if (isNew)
    flow.VirtualTime = level;
  flow.Share = std::max(share, 1);
  flow.PendingCost[ticket.IsLong] += costOf(ticket);
  auto place = std::ranges::find_if(flow.Tickets, [&](const Ticket &other) {
    return overtakes(order, ticket, other);
  });
  flow.Tickets.insert(place, std::move(ticket));
  ++Count;
}

std::optional<Ticket>
FairQueue::pop(const std::function<bool(const Ticket &)> &mayRun) {
  std::vector<std::pair<double, Flow *>> order;
  for (auto &[workspace, flow] : Flows)
    order.emplace_back(flow.VirtualTime, &flow);
  std::ranges::sort(order);
  for (auto &[virtualTime, flow] : order) {
    auto it = std::ranges::find_if(flow->Tickets, mayRun);
    if (it == flow->Tickets.end())
      continue;
    Ticket ticket = std::move(*it);
    flow->Tickets.erase(it);
    flow->PendingCost[ticket.IsLong] -= costOf(ticket);
    flow->VirtualTime += double(costOf(ticket).count()) / flow->Share;
    LastVirtualTime = std::max(LastVirtualTime, virtualTime);
    --Count;
    removeEmpty(ticket.Workspace);
    return ticket;
  }
  return std::nullopt;
}

std::optional<Ticket>
FairQueue::popRanked(const std::function<bool(const Ticket &)> &mayRun,
                     Instant now) {
  std::vector<Ticket *> waiting;
  for (auto &[workspace, flow] : Flows)
    for (Ticket &it : flow.Tickets)
      waiting.push_back(&it);
  std::vector<Ticket *> order = inStartOrder(Ranked, waiting, now);
  auto next = std::ranges::find_if(
      order, [&](const Ticket *it) { return mayRun(*it); });
  if (next == order.end())
    return std::nullopt;
  Ticket ticket = **next;
  noteStart(Ranked, ticket, waiting, costOf(ticket),
            Flows.at(ticket.Workspace).Share, now);
  remove(ticket.AttemptId);
  return ticket;
}

bool FairQueue::remove(const std::string &attempt) {
  for (auto &[workspace, flow] : Flows) {
    auto it = std::ranges::find(flow.Tickets, attempt, &Ticket::AttemptId);
    if (it == flow.Tickets.end())
      continue;
    flow.PendingCost[it->IsLong] -= costOf(*it);
    flow.Tickets.erase(it);
    --Count;
    removeEmpty(std::string(workspace));
    return true;
  }
  return false;
}

void FairQueue::markLastTry(const std::string &attempt) {
  for (auto &[workspace, flow] : Flows) {
    auto it = std::ranges::find(flow.Tickets, attempt, &Ticket::AttemptId);
    if (it != flow.Tickets.end())
      it->IsLastTry = true;
  }
}

std::vector<Ticket> FairQueue::takeExpired(Instant now) {
  return takeWhere(
      [&](const Ticket &it) { return it.Deadline <= now + it.ExpectedCost; });
}

std::vector<Ticket>
FairQueue::takeWhere(const std::function<bool(const Ticket &)> &isTaken) {
  std::vector<Ticket> taken;
  for (auto &[workspace, flow] : Flows) {
    auto tail =
        std::stable_partition(flow.Tickets.begin(), flow.Tickets.end(),
                              [&](const Ticket &it) { return !isTaken(it); });
    for (auto it = tail; it != flow.Tickets.end(); ++it) {
      flow.PendingCost[it->IsLong] -= costOf(*it);
      taken.push_back(std::move(*it));
    }
    flow.Tickets.erase(tail, flow.Tickets.end());
  }
  Count -= taken.size();
  std::erase_if(Flows,
                [](const auto &it) { return it.second.Tickets.empty(); });
  return taken;
}

std::vector<Ticket> FairQueue::takeAll() {
  std::vector<Ticket> all;
  for (auto &[workspace, flow] : Flows)
    std::ranges::move(flow.Tickets, std::back_inserter(all));
  Flows.clear();
  Count = 0;
  return all;
}

Micros FairQueue::costAhead(const Ticket &ticket, int share,
                            QueueOrder order) const {
  if (order == QueueOrder::Workspace) {
    auto cost = [&](const Ticket &it) {
      return it.IsLong == ticket.IsLong ? double(costOf(it).count()) : 0.0;
    };
    return Micros(
        Micros::rep(rankedAhead(ticket, share, double(MinCost.count()), cost)));
  }
  const std::string &workspace = ticket.Workspace;
  bool isLong = ticket.IsLong;
  auto own = Flows.find(workspace);
  Micros ownCost{0};
  if (own != Flows.end())
    for (const Ticket &it : own->second.Tickets)
      if (it.IsLong == isLong && !overtakes(order, ticket, it))
        ownCost += costOf(it);
  double ownLevel = double(ownCost.count()) / std::max(share, 1);
  return std::accumulate(
      Flows.begin(), Flows.end(), ownCost, [&](Micros sum, const auto &it) {
        if (it.first == workspace)
          return sum;
        Micros competing{static_cast<Micros::rep>(
            (ownLevel + double(MinCost.count())) * it.second.Share)};
        return sum + std::min(it.second.PendingCost[isLong], competing);
      });
}

std::size_t FairQueue::countAhead(const Ticket &ticket, int share,
                                  QueueOrder order) const {
  if (order == QueueOrder::Workspace)
    return std::size_t(
        rankedAhead(ticket, share, 1, [](const Ticket &) { return 1.0; }));
  std::size_t ownCount = 0;
  auto own = Flows.find(ticket.Workspace);
  if (own != Flows.end())
    ownCount = std::size_t(
        std::ranges::count_if(own->second.Tickets, [&](const Ticket &it) {
          return !overtakes(order, ticket, it);
        }));
  double turns = double(ownCount + 1) / std::max(share, 1);
  std::size_t all = ownCount;
  for (const auto &[workspace, flow] : Flows)
    if (workspace != ticket.Workspace)
      all += std::min(flow.Tickets.size(), std::size_t(turns * flow.Share));
  return all;
}

// More urgent tickets count whole and less urgent ones do not count. Another
// workspace of the same priority gets as much slot time per share meanwhile as
// the ticket's own. The one start in eight that goes to the longest-waiting
// ticket is left to the correction by actual waits.
double FairQueue::rankedAhead(
    const Ticket &ticket, int share, double least,
    const std::function<double(const Ticket &)> &measure) const {
  double urgent = 0;
  double own = 0;
  std::vector<std::pair<double, int>> equals;
  for (const auto &[workspace, flow] : Flows) {
    double others = 0;
    for (const Ticket &it : flow.Tickets) {
      if (it.Priority < ticket.Priority)
        urgent += measure(it);
      else if (it.Priority == ticket.Priority && workspace != ticket.Workspace)
        others += measure(it);
      else if (it.Priority == ticket.Priority &&
               !overtakes(QueueOrder::Workspace, ticket, it))
        own += measure(it);
    }
    equals.emplace_back(others, flow.Share);
  }
  double perShare = (own + least) / std::max(share, 1);
  return std::accumulate(equals.begin(), equals.end(), urgent + own,
                         [&](double sum, const auto &it) {
                           return sum +
                                  std::min(it.first, perShare * it.second);
                         });
}

bool FairQueue::hasShort() const {
  return std::ranges::any_of(Flows, [](const auto &it) {
    return std::ranges::any_of(it.second.Tickets,
                               [](const Ticket &t) { return !t.IsLong; });
  });
}

double FairQueue::startVirtualTime() const {
  if (Flows.empty())
    return LastVirtualTime;
  auto it = std::ranges::min_element(
      Flows, {}, [](const auto &flow) { return flow.second.VirtualTime; });
  return std::max(LastVirtualTime, it->second.VirtualTime);
}

void FairQueue::removeEmpty(const std::string &workspace) {
  auto it = Flows.find(workspace);
  if (it != Flows.end() && it->second.Tickets.empty())
    Flows.erase(it);
}

} // namespace hickoryglade
