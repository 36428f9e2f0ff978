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
