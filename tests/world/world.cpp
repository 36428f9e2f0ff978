#include "world/worldattempt.h"

#include "libhickoryglade/registry.h"

#include <algorithm>

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros NetDelay{500};
constexpr Micros TickPeriod = milliseconds(50);
constexpr Micros GossipPeriod = milliseconds(100);
constexpr Micros AnnouncePeriod = seconds(1);
constexpr Micros LogDelay = milliseconds(2);

} // namespace

World::World(std::uint64_t seed) : Rng(seed) {
  Instant start = Now;
  at(start, [this] { gossipStandings(); });
}

void World::at(Instant time, std::function<void()> action) {
  Queue.emplace(std::max(time, Now), std::move(action));
}

void World::runUntil(Instant end) {
  while (!Queue.empty() && Queue.begin()->first <= end) {
    auto first = Queue.extract(Queue.begin());
    Now = first.key();
    first.mapped()();
  }
  Now = end;
}

void World::traceEvent(const std::string &line) {
  auto ms = toMillis(Now.time_since_epoch()).count() - 10'000;
  Trace.push_back(std::to_string(ms) + "ms " + line);
}

void World::addNode(const std::string &name) {
  Node &node = Nodes[name];
  node.Name = name;
  node.LocalGate.Node = name;
  node.LocalGate.Rng.seed(Rng());
  node.Agent.Self = {name, 1};
  node.Agent.StartedAt = Now;
  at(Now, [this, name] { tickNode(name); });
}

void World::addEndpoint(const std::string &name, const std::string &node,
                        int slots) {
  Endpoints[name] = {name, node, slots,          false, true, true,
                     1,    0,    Instant::max(), 0,     {}};
  std::set<std::string> gates;
  for (const auto &[endpoint, it] : Endpoints)
    gates.insert(it.Node);
  for (auto &[at, it] : Nodes)
    it.LocalGate.Services[Service].Gates = int(gates.size());
  auto announceNow = std::make_shared<std::function<void()>>();
  *announceNow = [this, name, announceNow] {
    SimulatedEndpoint &it = Endpoints.at(name);
    if (it.IsUp && it.IsAnnouncing)
      deliver(it.Node, [this, name] {
        SimulatedEndpoint &endpoint = Endpoints.at(name);
        Node &gateNode = Nodes.at(endpoint.Node);
        Announcement announcement{name,
                                  Service,
                                  name,
                                  endpoint.Slots,
                                  std::to_string(endpoint.Incarnation),
                                  endpoint.LeftAt != Instant::max()};
        carryOut(gateNode, announce(gateNode.LocalGate, announcement, Now));
      });
    at(Now + AnnouncePeriod, *announceNow);
  };
  at(Now, *announceNow);
}

void World::setPolicy(const ServicePolicy &policy) {
  Policy = policy;
  for (auto &[name, node] : Nodes)
    node.LocalGate.Services[Service].Policy = policy;
}

void World::cut(const std::string &from, const std::string &to, bool isCut) {
  if (isCut)
    Cuts.insert({from, to});
  else
    Cuts.erase({from, to});
}

void World::pause(const std::string &name, bool isPaused) {
  Node &node = Nodes.at(name);
  node.IsPaused = isPaused;
  if (isPaused)
    return;
  std::vector<std::function<void()>> waiting = std::move(node.Inbox);
  node.Inbox.clear();
  for (auto &action : waiting)
    action();
}

void World::stall(const std::string &endpoint, bool isStalled) {
  Endpoints.at(endpoint).IsStalled = isStalled;
}

void World::leave(const std::string &endpoint) {
  SimulatedEndpoint &it = Endpoints.at(endpoint);
  it.LeftAt = Now;
  it.IsAnnouncing = uniform(Rng, 2) == 0;
}

bool World::isLinkUp(const std::string &a, const std::string &b) const {
  return !Cuts.contains({a, b});
}

void World::deliver(const std::string &to, std::function<void()> action) {
  Node &node = Nodes.at(to);
  if (node.IsPaused)
    node.Inbox.push_back(std::move(action));
  else
    action();
}

void World::send(const std::string &from, const std::string &to,
                 std::function<void()> action) {
  ++Messages;
  if (!isLinkUp(from, to))
    return;
  Micros delay = from == to ? Micros(10) : NetDelay;
  at(Now + delay, [this, to, it = std::move(action)] { deliver(to, it); });
}

void World::tickNode(const std::string &name) {
  Node &node = Nodes.at(name);
  at(Now + TickPeriod, [this, name] { tickNode(name); });
  if (node.IsPaused)
    return;
  carryOut(node, tick(node.LocalGate, Now));
  readLog(node);
  updateLeases(node);
  MaxEjected = std::max(MaxEjected, ejectedNow());
}

void World::readLog(Node &node) {
  if (IsLogUnavailable)
    return;
  for (std::size_t i = std::size_t(node.Agent.Ledger.Next);
       i < LeaseLog.size() && LeaseLog[i].first <= Now; ++i)
    applyLeaseRecord(node.Agent, std::int64_t(i), LeaseLog[i].second, Now);
  noteRead(node.Agent, Now);
  for (std::size_t i = std::size_t(node.Settings.Next);
       i < SettingsRecords.size() && SettingsRecords[i].first <= Now; ++i) {
    auto before = node.Settings.Tree.Nodes;
    foldRecord(node.Settings, std::int64_t(i), SettingsRecords[i].second);
    for (const auto &[path, old] : before)
      SettingsRegressions +=
          revisionOf(node.Settings.Tree, path) < old.Revision;
  }
}

void World::append(const std::string &data, bool isSettings) {
  if (IsLogUnavailable)
    return;
  auto &log = isSettings ? SettingsRecords : LeaseLog;
  Instant time = Now + LogDelay;
  if (!log.empty())
    time = std::max(time, log.back().first);
  log.emplace_back(time, data);
}

void World::updateLeases(Node &node) {
  std::vector<LedgerMember> members;
  for (const auto &[name, other] : Nodes)
    members.push_back({{name, 1},
                       other.Agent.Ledger.Next,
                       other.IsPaused || !isLinkUp(name, node.Name)});
  for (const LeaseRecord &it : dueRenewals(node.Agent, Now))
    append(encodeLease(it), false);
  for (const LeaseRecord &it : dueChallenges(node.Agent, members, Now))
    append(encodeLease(it), false);
  for (const auto &[name, real] : Endpoints) {
    if (real.Node != node.Name)
      continue;
    LeaseSubject subject{LeaseKind::Ejection, Service, name};
    bool isWanted = node.WantedEjections.contains(name);
    bool isHeld = isHeldBy(node.Agent.Ledger, subject, node.Agent.Self);
    LeaseRecord record;
    record.Subject = subject;
    record.Holder = node.Agent.Self;
    record.Author = node.Name;
    record.Floor = Policy.Floor;
    for (const auto &[other, standing] : node.KnownStandings)
      if (other != name && standing == Standing::Healthy)
        record.Healthy.push_back(other);
    bool isAboveFloor = int(record.Healthy.size()) >= std::max(Policy.Floor, 1);
    if (!isEnabled(Mechanism::Leases)) {
      if (isWanted && isAboveFloor)
        carryOut(node,
                 setEjection(node.LocalGate, name, Now + seconds(10), Now));
      continue;
    }
    if (isWanted && !isHeld && isAboveFloor &&
        Now - node.LeaseRequestedAt[name] > seconds(2)) {
      node.LeaseRequestedAt[name] = Now;
      append(encodeLease(record), false);
    }
    if (isHeld && (!isWanted || !isAboveFloor)) {
      node.WantedEjections.erase(name);
      record.Action = LeaseAction::Release;
      append(encodeLease(record), false);
    }
    if (auto end = leaseEnd(node.Agent, subject); end && isWanted)
      carryOut(node, setEjection(node.LocalGate, name,
                                 isEnabled(Mechanism::LeaseTerm)
                                     ? *end
                                     : Now + std::chrono::hours(1),
                                 Now));
  }
}

/// Copies endpoint standings between connected nodes once a GossipPeriod, in
/// place of gossip messages.
void World::gossipStandings() {
  at(Now + GossipPeriod, [this] { gossipStandings(); });
  for (auto &[to, node] : Nodes) {
    if (node.IsPaused)
      continue;
    for (const auto &[from, other] : Nodes) {
      if (!isLinkUp(from, to) || other.IsPaused)
        continue;
      for (const auto &[name, endpoint] : other.LocalGate.Endpoints)
        node.KnownStandings[name] = endpoint.State;
    }
  }
}

int World::ejectedNow() const {
  int n = 0;
  for (const auto &[name, node] : Nodes)
    for (const auto &[endpoint, it] : node.LocalGate.Endpoints)
      n += it.EjectedUntil && Now < *it.EjectedUntil &&
           it.State == Standing::Ejected;
  return n;
}

Standing World::standingOf(const std::string &endpoint) const {
  const Node &node = Nodes.at(Endpoints.at(endpoint).Node);
  auto it = node.LocalGate.Endpoints.find(endpoint);
  return it == node.LocalGate.Endpoints.end() ? Standing::Draining
                                              : it->second.State;
}

void World::publish(const std::string &, const SettingsChange &change) {
  append(encodeChange(change), true);
}

bool World::settingsAgree() const {
  return std::ranges::all_of(Nodes, [&](const auto &it) {
    return it.second.Settings.Tree == Nodes.begin()->second.Settings.Tree;
  });
}

} // namespace hickoryglade::world
