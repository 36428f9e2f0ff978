#include "libhickoryglade/fairqueue.h"

#include <algorithm>
#include <numeric>

namespace hickoryglade {

namespace {

/// Floor of a ticket's cost, so that no workspace runs for free.
constexpr Micros MinCost{1'000};

Micros costOf(const Ticket &ticket) {
  return std::max(ticket.ExpectedCost, MinCost);
}

} // namespace

void FairQueue::push(Ticket ticket, int share, QueueOrder order) {
  double level = floorService();
  auto [it, isNew] = Lanes.try_emplace(ticket.Workspace);
  Lane &lane = it->second;
  if (isNew)
    lane.Service = level;
  lane.Share = std::max(share, 1);
  lane.Waiting[ticket.IsLong] += costOf(ticket);
  auto place = std::ranges::find_if(lane.Tickets, [&](const Ticket &other) {
    return overtakes(order, ticket, other);
  });
  lane.Tickets.insert(place, std::move(ticket));
  ++Count;
}

std::optional<Ticket>
FairQueue::pop(const std::function<bool(const Ticket &)> &mayRun) {
  std::vector<std::pair<double, Lane *>> order;
  for (auto &[workspace, lane] : Lanes)
    order.emplace_back(lane.Service, &lane);
  std::ranges::sort(order);
  for (auto &[service, lane] : order) {
    auto it = std::ranges::find_if(lane->Tickets, mayRun);
    if (it == lane->Tickets.end())
      continue;
    Ticket ticket = std::move(*it);
    lane->Tickets.erase(it);
    lane->Waiting[ticket.IsLong] -= costOf(ticket);
    lane->Service += double(costOf(ticket).count()) / lane->Share;
    LastService = std::max(LastService, service);
    --Count;
    removeEmpty(ticket.Workspace);
    return ticket;
  }
  return std::nullopt;
}

bool FairQueue::remove(const std::string &attempt) {
  for (auto &[workspace, lane] : Lanes) {
    auto it = std::ranges::find(lane.Tickets, attempt, &Ticket::AttemptId);
    if (it == lane.Tickets.end())
      continue;
    lane.Waiting[it->IsLong] -= costOf(*it);
    lane.Tickets.erase(it);
    --Count;
    removeEmpty(std::string(workspace));
    return true;
  }
  return false;
}

std::vector<Ticket> FairQueue::takeExpired(Instant now) {
  return takeWhere(
      [&](const Ticket &it) { return it.Deadline <= now + it.ExpectedCost; });
}

std::vector<Ticket>
FairQueue::takeWhere(const std::function<bool(const Ticket &)> &isTaken) {
  std::vector<Ticket> taken;
  for (auto &[workspace, lane] : Lanes) {
    auto tail =
        std::stable_partition(lane.Tickets.begin(), lane.Tickets.end(),
                              [&](const Ticket &it) { return !isTaken(it); });
    for (auto it = tail; it != lane.Tickets.end(); ++it) {
      lane.Waiting[it->IsLong] -= costOf(*it);
      taken.push_back(std::move(*it));
    }
    lane.Tickets.erase(tail, lane.Tickets.end());
  }
  Count -= taken.size();
  std::erase_if(Lanes,
                [](const auto &it) { return it.second.Tickets.empty(); });
  return taken;
}

std::vector<Ticket> FairQueue::takeAll() {
  std::vector<Ticket> all;
  for (auto &[workspace, lane] : Lanes)
    std::ranges::move(lane.Tickets, std::back_inserter(all));
  Lanes.clear();
  Count = 0;
  return all;
}

Micros FairQueue::costAhead(const Ticket &ticket, int share,
                            QueueOrder order) const {
  const std::string &workspace = ticket.Workspace;
  bool isLong = ticket.IsLong;
  auto own = Lanes.find(workspace);
  Micros ownCost{0};
  if (own != Lanes.end())
    for (const Ticket &it : own->second.Tickets)
      if (it.IsLong == isLong && !overtakes(order, ticket, it))
        ownCost += costOf(it);
  double ownLevel = double(ownCost.count()) / std::max(share, 1);
  return std::accumulate(
      Lanes.begin(), Lanes.end(), ownCost, [&](Micros sum, const auto &it) {
        if (it.first == workspace)
          return sum;
        Micros competing{static_cast<Micros::rep>(
            (ownLevel + double(MinCost.count())) * it.second.Share)};
        return sum + std::min(it.second.Waiting[isLong], competing);
      });
}

bool FairQueue::hasShort() const {
  return std::ranges::any_of(Lanes, [](const auto &it) {
    return std::ranges::any_of(it.second.Tickets,
                               [](const Ticket &t) { return !t.IsLong; });
  });
}

double FairQueue::floorService() const {
  if (Lanes.empty())
    return LastService;
  auto it = std::ranges::min_element(
      Lanes, {}, [](const auto &lane) { return lane.second.Service; });
  return std::max(LastService, it->second.Service);
}

void FairQueue::removeEmpty(const std::string &workspace) {
  auto it = Lanes.find(workspace);
  if (it != Lanes.end() && it->second.Tickets.empty())
    Lanes.erase(it);
}

} // namespace hickoryglade
