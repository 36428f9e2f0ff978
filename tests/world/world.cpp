#include "world/world.h"

#include "libhickoryglade/registry.h"

#include <algorithm>

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Service = "w/s";
constexpr Micros NetDelay{500};
constexpr Micros TickPeriod = milliseconds(50);
constexpr Micros BeliefPeriod = milliseconds(100);
constexpr Micros AnnouncePeriod = seconds(1);
constexpr Micros SilenceLimit = milliseconds(700);
constexpr Micros ResolvePeriod = milliseconds(100);
constexpr Micros Grace = milliseconds(30);
constexpr Micros LoadTerm = milliseconds(500);
constexpr Micros RestartTime = milliseconds(1'500);
constexpr Micros LogDelay = milliseconds(2);

} // namespace

struct World::Attempt {
  std::shared_ptr<Call> Request;
  std::string Id;
  /// Gates at which a ticket or the request itself waits.
  std::set<std::string> Gates;
  /// The gate that has the body.
  std::string Chosen;
  bool AwaitsGrant = false;
  bool OnlyIfFree = false;
  bool IsSpill = false;
  bool IsSerialized = false;
  /// Gates that the entry knows to be doubtful.
  std::set<std::string> Doubtful;
  bool IsSettled = false;
  std::string Endpoint;
  bool HasResult = false;
  Told Result = Told::Nothing;
  Error ResultError;
};

World::World(std::uint64_t seed) : Rng(seed) {
  Instant start = Now;
  at(start, [this] { shareBeliefs(); });
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

void World::note(const std::string &line) {
  auto ms = toMillis(Now.time_since_epoch()).count() - 10'000;
  Session.push_back(std::to_string(ms) + "ms " + line);
}

void World::addNode(const std::string &name) {
  Node &node = Nodes[name];
  node.Name = name;
  node.Door.Node = name;
  node.Door.Rng.seed(Rng());
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
    it.Door.Services[Service].Gates = int(gates.size());
  auto announceNow = std::make_shared<std::function<void()>>();
  *announceNow = [this, name, announceNow] {
    RealEndpoint &it = Endpoints.at(name);
    if (it.IsUp && it.Announces)
      deliver(it.Node, [this, name] {
        RealEndpoint &endpoint = Endpoints.at(name);
        Node &home = Nodes.at(endpoint.Node);
        Announcement facts{name,
                           Service,
                           name,
                           endpoint.Slots,
                           std::to_string(endpoint.Incarnation),
                           endpoint.LeftAt != Instant::max()};
        carryOut(home, announce(home.Door, facts, Now));
      });
    at(Now + AnnouncePeriod, *announceNow);
  };
  at(Now, *announceNow);
}

void World::setPolicy(const ServicePolicy &policy) {
  Policy = policy;
  for (auto &[name, node] : Nodes)
    node.Door.Services[Service].Policy = policy;
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
  RealEndpoint &it = Endpoints.at(endpoint);
  it.LeftAt = Now;
  it.Announces = uniform(Rng, 2) == 0;
}

bool World::isOpen(const std::string &a, const std::string &b) const {
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
  if (!isOpen(from, to))
    return;
  Micros delay = from == to ? Micros(10) : NetDelay;
  at(Now + delay, [this, to, it = std::move(action)] { deliver(to, it); });
}

std::vector<Candidate> World::candidates(Node &node, const Call &call) {
  std::vector<Candidate> all;
  for (const auto &[name, other] : Nodes) {
    Candidate it;
    it.Node = name;
    bool isAny = false;
    int best = 9;
    for (const auto &[endpoint, real] : Endpoints) {
      if (real.Node != name)
        continue;
      auto belief = node.Beliefs.find(endpoint);
      if (belief == node.Beliefs.end() || belief->second == Standing::Draining)
        continue;
      isAny = true;
      it.Slots += real.Slots;
      constexpr int Ranks[] = {0, 2, 3, 1, 4};
      int rank = Ranks[int(belief->second)];
      if (rank < best) {
        best = rank;
        it.State = belief->second;
      }
    }
    if (!isAny)
      continue;
    it.IsLocal = name == node.Name;
    it.WasTried = call.Tried.contains(name);
    it.IsPathUp = Now >= node.DownUntil[name];
    it.Outstanding = node.Outstanding[name];
    bool isFresh = Now - node.LoadAt[name] < LoadTerm;
    it.FreeSlots = isFresh ? node.Loads[name].FreeSlots
                           : std::max(it.Slots - it.Outstanding, 0);
    it.Queued = isFresh ? node.Loads[name].Queued : 0;
    all.push_back(it);
  }
  return all;
}

std::shared_ptr<Call> World::call(Call request) {
  auto it = std::make_shared<Call>(std::move(request));
  it->Start = Now;
  Calls.push_back(it);
  Node &node = Nodes.at(it->Entry);
  node.Budget.noteFresh(Policy.RetryBudgetPercent);
  at(it->Deadline + Grace, [this, it] {
    if (it->Outcome == Told::Nothing)
      finish(it, Told::Unknown, ErrorKind::DeadlineExceeded);
  });
  deliver(it->Entry, [this, it] { tryOnce(it); });
  return it;
}

void World::finish(const std::shared_ptr<Call> &call, Told told,
                   ErrorKind kind) {
  if (call->Outcome != Told::Nothing)
    return;
  call->Outcome = told;
  call->Kind = kind;
  call->End = Now;
}

void World::tryOnce(const std::shared_ptr<Call> &call) {
  if (call->Outcome != Told::Nothing)
    return;
  Node &node = Nodes.at(call->Entry);
  ++call->Attempts;
  int known = has(Mechanism::Quarantine) ? call->Crashes : 0;
  QuarantineRule rule =
      ruleFor(node.Door.Crashes, call->Fingerprint, Now, known);
  if (rule == QuarantineRule::Refused)
    return giveUp(call, makeError(ErrorKind::Quarantined));
  std::vector<Candidate> all = candidates(node, *call);
  const auto *router = Registry<RouterPolicy>::instance().find(Policy.Router);
  RoutePlan plan =
      router->Plan(all,
                   {call->IsLong, call->IsIdempotent, call->HasMissed,
                    rule == QuarantineRule::Serialized, call->Fingerprint},
                   node.Door.Rng);
  if (plan.Targets.empty())
    return giveUp(call, makeError(ErrorKind::NoEndpoint));
  auto attempt = std::make_shared<Attempt>();
  attempt->Request = call;
  attempt->Id = call->Id + "/" + std::to_string(call->Attempts);
  attempt->AwaitsGrant = plan.AwaitsGrant;
  attempt->OnlyIfFree = plan.OnlyIfFree;
  attempt->IsSpill = isSpill(all, plan);
  attempt->IsSerialized = rule == QuarantineRule::Serialized;
  for (std::size_t i : plan.Targets) {
    attempt->Gates.insert(all[i].Node);
    if (all[i].State != Standing::Healthy)
      attempt->Doubtful.insert(all[i].Node);
  }
  for (const std::string &gate : std::set<std::string>(attempt->Gates)) {
    ++node.Outstanding[gate];
    if (!plan.AwaitsGrant)
      attempt->Chosen = gate;
    offerAt(attempt, gate);
  }
  at(Now + SilenceLimit, [this, attempt] { watch(attempt); });
}

Ticket World::ticketFor(const Attempt &attempt) const {
  const Call &call = *attempt.Request;
  Ticket ticket;
  ticket.AttemptId = attempt.Id;
  ticket.Workspace = call.Workspace;
  ticket.Service = Service;
  ticket.Deadline = call.Deadline;
  CostEstimate cost =
      Nodes.at(call.Entry).Costs.estimate(call.costClass(), Policy.LongAfter);
  ticket.ExpectedCost = cost.Expected;
  ticket.IsLong = cost.IsLong;
  ticket.IsIdempotent = call.IsIdempotent;
  ticket.Fingerprint = call.Fingerprint;
  ticket.Priority = call.Priority;
  ticket.KnownCrashes = has(Mechanism::Quarantine) ? call.Crashes : 0;
  ticket.AwaitsClaim = attempt.AwaitsGrant;
  ticket.OnlyIfFree = attempt.OnlyIfFree;
  ticket.IsSpill = attempt.IsSpill;
  ticket.IsSerialized = attempt.IsSerialized;
  return ticket;
}

void World::offerAt(const AttemptPtr &attempt, const std::string &gate) {
  Ticket ticket = ticketFor(*attempt);
  ticket.AcceptsDoubtful = attempt->Doubtful.contains(gate);
  send(attempt->Request->Entry, gate, [this, attempt, gate, ticket] {
    Node &node = Nodes.at(gate);
    node.Here[attempt->Id] = attempt;
    carryOut(node, offer(node.Door, ticket, Now));
  });
}

void World::claimAt(const AttemptPtr &attempt, const std::string &gate) {
  send(attempt->Request->Entry, gate, [this, attempt, gate] {
    Node &node = Nodes.at(gate);
    carryOut(node, claim(node.Door, attempt->Id, Now));
  });
}

void World::withdrawFrom(const AttemptPtr &attempt, const std::string &gate) {
  if (attempt->Gates.erase(gate) == 0)
    return;
  --Nodes.at(attempt->Request->Entry).Outstanding[gate];
}

void World::carryOut(Node &node, const GateActions &actions) {
  for (const GateAction &it : actions)
    carryOutOne(node, it);
}

void World::carryOutOne(Node &node, const GateAction &action) {
  auto find = [&](const std::string &id) {
    auto it = node.Here.find(id);
    return it == node.Here.end() ? nullptr : it->second;
  };
  if (const auto *start = std::get_if<StartAction>(&action)) {
    if (AttemptPtr it = find(start->AttemptId))
      startWork(node, it, start->Endpoint);
  } else if (const auto *grant = std::get_if<GrantAction>(&action)) {
    AttemptPtr it = find(grant->AttemptId);
    std::string gate = node.Name;
    if (it)
      send(gate, it->Request->Entry, [this, it, gate] {
        bool isLate = it->IsSettled || !it->Chosen.empty();
        if (isLate) {
          send(it->Request->Entry, gate, [this, it, gate] {
            Node &home = Nodes.at(gate);
            carryOut(home, cancel(home.Door, it->Id, Now));
          });
          return;
        }
        it->Chosen = gate;
        for (const std::string &other : std::set<std::string>(it->Gates))
          if (other != gate) {
            withdrawFrom(it, other);
            send(it->Request->Entry, other, [this, it, other] {
              Node &home = Nodes.at(other);
              carryOut(home, cancel(home.Door, it->Id, Now));
            });
          }
        claimAt(it, gate);
      });
  } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
    AttemptPtr it = find(refusal->AttemptId);
    std::string gate = node.Name;
    GateLoad load = loadOf(node.Door, Service, Now);
    if (it)
      send(gate, it->Request->Entry,
           [this, it, gate, load, reason = refusal->Reason] {
             Node &entry = Nodes.at(it->Request->Entry);
             entry.Loads[gate] = load;
             entry.LoadAt[gate] = Now;
             refused(it, gate, reason);
           });
  } else if (const auto *abort = std::get_if<AbortAction>(&action)) {
    if (AttemptPtr it = find(abort->AttemptId)) {
      AttemptOutcome outcome = abort->Reason.Kind == ErrorKind::DeadlineExceeded
                                   ? AttemptOutcome::TimedOut
                                   : AttemptOutcome::Failed;
      endWork(node, it, it->Endpoint, outcome);
    }
  } else if (const auto *standing = std::get_if<StandingAction>(&action)) {
    note(standing->Endpoint + " " + std::string(toString(standing->State)) +
         ": " + standing->Reason);
  } else if (const auto *ejection = std::get_if<EjectionAction>(&action)) {
    if (ejection->IsWanted)
      node.Ejecting.insert(ejection->Endpoint);
    else
      node.Ejecting.erase(ejection->Endpoint);
  } else if (const auto *crashed = std::get_if<CrashAction>(&action)) {
    if (!has(Mechanism::Quarantine)) {
      node.Door.Crashes.Records.clear();
      return;
    }
    spreadCrash(node.Name, crashed->Fingerprint,
                node.Door.Crashes.Records[crashed->Fingerprint]);
  }
}

/// Who hears news passes it on.
void World::spreadCrash(const std::string &from, std::uint64_t fingerprint,
                        const CrashRecord &record) {
  for (const auto &[name, other] : Nodes)
    if (name != from)
      send(from, name, [this, name, fingerprint, record] {
        if (mergeCrash(Nodes.at(name).Door.Crashes, fingerprint, record))
          spreadCrash(name, fingerprint, record);
      });
}

void World::startWork(Node &node, const AttemptPtr &attempt,
                      const std::string &name) {
  RealEndpoint &endpoint = Endpoints.at(name);
  attempt->Endpoint = name;
  const std::shared_ptr<Call> &call = attempt->Request;
  if (!endpoint.IsUp)
    return endWork(node, attempt, name, AttemptOutcome::Unreachable);
  if (call->Runs++ == 0)
    call->FirstRun = Now;
  endpoint.Running[attempt->Id] = node.Name;
  if (Now - endpoint.LeftAt > seconds(2) && endpoint.LeftAt != Instant::max())
    ++endpoint.StartsAfterLeaving;
  if (call->IsPoison) {
    at(Now + milliseconds(2), [this, name] { crash(Endpoints.at(name)); });
    return;
  }
  auto done = std::make_shared<std::function<void()>>();
  int incarnation = endpoint.Incarnation;
  *done = [this, attempt, name, incarnation, done] {
    RealEndpoint &it = Endpoints.at(name);
    if (!it.Running.contains(attempt->Id) || it.Incarnation != incarnation)
      return;
    if (it.IsStalled)
      return at(Now + milliseconds(20), *done);
    std::string home = it.Running.at(attempt->Id);
    deliver(home, [this, attempt, name, home] {
      endWork(Nodes.at(home), attempt, name, AttemptOutcome::Answered);
    });
  };
  at(Now + call->Work, *done);
}

void World::crash(RealEndpoint &endpoint) {
  if (!endpoint.IsUp)
    return;
  endpoint.IsUp = false;
  ++endpoint.Crashes;
  ++endpoint.Incarnation;
  note(endpoint.Name + " crashed");
  auto running = std::move(endpoint.Running);
  endpoint.Running.clear();
  for (const auto &[id, home] : running)
    deliver(home, [this, id = id, home = home, name = endpoint.Name] {
      Node &node = Nodes.at(home);
      auto it = node.Here.find(id);
      if (it != node.Here.end())
        endWork(node, it->second, name, AttemptOutcome::Crashed);
    });
  at(Now + RestartTime,
     [this, name = endpoint.Name] { Endpoints.at(name).IsUp = true; });
}

void World::endWork(Node &node, const AttemptPtr &attempt,
                    const std::string &name, AttemptOutcome outcome) {
  if (attempt->HasResult)
    return;
  attempt->HasResult = true;
  auto real = Endpoints.find(name);
  if (real != Endpoints.end())
    real->second.Running.erase(attempt->Id);
  bool isAnswer = outcome == AttemptOutcome::Answered;
  bool neverRan = outcome == AttemptOutcome::Unreachable &&
                  real != Endpoints.end() && !real->second.IsUp;
  attempt->Result = isAnswer   ? Told::Answered
                    : neverRan ? Told::NotRun
                               : Told::Unknown;
  attempt->ResultError = {outcome == AttemptOutcome::TimedOut
                              ? ErrorKind::DeadlineExceeded
                              : ErrorKind::EndpointFailed,
                          neverRan ? RunState::NotRun : RunState::Unknown,
                          {},
                          {}};
  GateActions actions = complete(node.Door, attempt->Id, outcome, Now);
  GateLoad load = loadOf(node.Door, Service, Now);
  Micros runTime = Now - attempt->Request->FirstRun;
  bool isCrash = outcome == AttemptOutcome::Crashed;
  std::string gate = node.Name;
  send(gate, attempt->Request->Entry,
       [this, attempt, gate, load, isAnswer, runTime, isCrash] {
         Node &entry = Nodes.at(attempt->Request->Entry);
         entry.Loads[gate] = load;
         entry.LoadAt[gate] = Now;
         attempt->Request->Crashes += isCrash;
         if (isAnswer && attempt->Request->Runs == 1)
           entry.Costs.observe(attempt->Request->costClass(), runTime);
         settle(attempt, attempt->Result, attempt->ResultError);
       });
  carryOut(node, actions);
}

void World::refused(const AttemptPtr &attempt, const std::string &gate,
                    const Error &error) {
  if (attempt->IsSettled)
    return;
  bool isChosen = attempt->Chosen == gate;
  withdrawFrom(attempt, gate);
  if (isChosen || (attempt->Chosen.empty() && attempt->Gates.empty()))
    settle(attempt,
           error.Run == RunState::NotRun ? Told::NotRun : Told::Unknown, error);
}

void World::settle(const AttemptPtr &attempt, Told told, const Error &error) {
  if (attempt->IsSettled)
    return;
  attempt->IsSettled = true;
  for (const std::string &gate : std::set<std::string>(attempt->Gates))
    withdrawFrom(attempt, gate);
  const std::shared_ptr<Call> &call = attempt->Request;
  if (told == Told::Answered)
    return finish(call, told, ErrorKind::Internal);
  if (error.Kind != ErrorKind::SlotTaken && !attempt->Chosen.empty())
    call->Tried.insert(attempt->Chosen);
  call->HasMissed = call->HasMissed || error.Kind == ErrorKind::SlotTaken;
  if (error.Kind == ErrorKind::ContentSuspect)
    call->Crashes = std::max(call->Crashes, 1);
  call->MayHaveRun = call->MayHaveRun || error.Run == RunState::Unknown;
  bool isSafe = call->IsIdempotent || !has(Mechanism::Retry);
  call->FreeTries += isFreeRetry(error.Kind);
  RetryAnswer answer =
      decideRetry({error, isSafe, call->Attempts - call->FreeTries,
                   call->Deadline - Now, Micros(0)},
                  Nodes.at(call->Entry).Budget);
  if (answer.Verdict == RetryVerdict::Retry && call->FreeTries < MostFreeTries)
    return tryOnce(call);
  giveUp(call, error);
}

void World::giveUp(const std::shared_ptr<Call> &call, const Error &error) {
  bool isUnknown = finalError(error, call->MayHaveRun).Run == RunState::Unknown;
  if (call->Outcome == Told::Nothing)
    call->RetryAfter = retryAdvice(error.RetryAfter,
                                   toMillis(call->Deadline - Now), AdviceRng);
  finish(call, isUnknown ? Told::Unknown : Told::NotRun, error.Kind);
}

/// A silent link: the entry asks over a fresh one what became of its attempt.
void World::watch(const AttemptPtr &attempt) {
  const std::shared_ptr<Call> &call = attempt->Request;
  if (attempt->IsSettled || call->Outcome != Told::Nothing)
    return;
  std::string entry = call->Entry;
  std::string gate =
      attempt->Chosen.empty() ? *attempt->Gates.begin() : attempt->Chosen;
  bool isSilent = !isOpen(entry, gate) || !isOpen(gate, entry);
  Node &own = Nodes.at(entry);
  if (isSilent) {
    own.DownUntil[gate] = Now + milliseconds(500);
    if (!has(Mechanism::Fence))
      return settle(attempt, Told::NotRun,
                    {ErrorKind::GateLost, RunState::NotRun, {}, {}});
    if (attempt->Chosen.empty()) {
      withdrawFrom(attempt, gate);
      if (attempt->Gates.empty())
        return settle(attempt, Told::NotRun,
                      {ErrorKind::GateLost, RunState::NotRun, {}, {}});
    }
  } else if (!attempt->Chosen.empty()) {
    send(entry, gate, [this, attempt, gate, entry] {
      Node &home = Nodes.at(gate);
      GateActions actions;
      StartState state =
          revoke(home.Door, attempt->Id, Now + seconds(60), Now, actions);
      carryOut(home, actions);
      send(gate, entry, [this, attempt, state] {
        if (state == StartState::Fenced)
          settle(attempt, Told::NotRun,
                 {ErrorKind::GateLost, RunState::NotRun, {}, {}});
        if (state == StartState::Finished)
          settle(attempt, attempt->Result, attempt->ResultError);
      });
    });
  }
  at(Now + ResolvePeriod, [this, attempt] { watch(attempt); });
}

void World::tickNode(const std::string &name) {
  Node &node = Nodes.at(name);
  at(Now + TickPeriod, [this, name] { tickNode(name); });
  if (node.IsPaused)
    return;
  carryOut(node, tick(node.Door, Now));
  readLog(node);
  seekLeases(node);
  MostEjected = std::max(MostEjected, ejectedNow());
}

void World::readLog(Node &node) {
  if (IsLogAway)
    return;
  for (std::size_t i = std::size_t(node.Agent.Ledger.Next);
       i < LeaseLog.size() && LeaseLog[i].first <= Now; ++i)
    takeRecord(node.Agent, std::int64_t(i), LeaseLog[i].second, Now);
  noteRead(node.Agent, Now);
  for (std::size_t i = std::size_t(node.Settings.Next);
       i < SettingsRecords.size() && SettingsRecords[i].first <= Now; ++i) {
    auto before = node.Settings.Tree.Nodes;
    foldRecord(node.Settings, std::int64_t(i), SettingsRecords[i].second);
    for (const auto &[path, old] : before)
      WentBack += revisionOf(node.Settings.Tree, path) < old.Revision;
  }
}

void World::append(const std::string &data, bool isSettings) {
  if (IsLogAway)
    return;
  auto &log = isSettings ? SettingsRecords : LeaseLog;
  Instant time = Now + LogDelay;
  if (!log.empty())
    time = std::max(time, log.back().first);
  log.emplace_back(time, data);
}

void World::seekLeases(Node &node) {
  std::vector<LedgerMember> members;
  for (const auto &[name, other] : Nodes)
    members.push_back({{name, 1},
                       other.Agent.Ledger.Next,
                       other.IsPaused || !isOpen(name, node.Name)});
  for (const LeaseRecord &it : dueRenewals(node.Agent, Now))
    append(encodeLease(it), false);
  for (const LeaseRecord &it : dueChallenges(node.Agent, members, Now))
    append(encodeLease(it), false);
  for (const auto &[name, real] : Endpoints) {
    if (real.Node != node.Name)
      continue;
    LeaseSubject subject{LeaseKind::Ejection, Service, name};
    bool isWanted = node.Ejecting.contains(name);
    bool isHeld = isHeldBy(node.Agent.Ledger, subject, node.Agent.Self);
    LeaseRecord record;
    record.Subject = subject;
    record.Holder = node.Agent.Self;
    record.Author = node.Name;
    record.Floor = Policy.Floor;
    for (const auto &[other, belief] : node.Beliefs)
      if (other != name && belief == Standing::Healthy)
        record.Healthy.push_back(other);
    bool isAffordable = int(record.Healthy.size()) >= std::max(Policy.Floor, 1);
    if (!has(Mechanism::Leases)) {
      if (isWanted && isAffordable)
        carryOut(node, setEjection(node.Door, name, Now + seconds(10), Now));
      continue;
    }
    if (isWanted && !isHeld && isAffordable &&
        Now - node.AskedAt[name] > seconds(2)) {
      node.AskedAt[name] = Now;
      append(encodeLease(record), false);
    }
    if (isHeld && (!isWanted || !isAffordable)) {
      node.Ejecting.erase(name);
      record.Action = LeaseAction::Release;
      append(encodeLease(record), false);
    }
    if (auto end = leaseEnd(node.Agent, subject); end && isWanted)
      carryOut(node, setEjection(node.Door, name,
                                 has(Mechanism::LeaseTerm)
                                     ? *end
                                     : Now + std::chrono::hours(1),
                                 Now));
  }
}

/// What gossip brings, at its usual pace.
void World::shareBeliefs() {
  at(Now + BeliefPeriod, [this] { shareBeliefs(); });
  for (auto &[to, node] : Nodes) {
    if (node.IsPaused)
      continue;
    for (const auto &[from, other] : Nodes) {
      if (!isOpen(from, to) || other.IsPaused)
        continue;
      for (const auto &[name, endpoint] : other.Door.Endpoints)
        node.Beliefs[name] = endpoint.State;
    }
  }
}

int World::ejectedNow() const {
  int n = 0;
  for (const auto &[name, node] : Nodes)
    for (const auto &[endpoint, it] : node.Door.Endpoints)
      n += it.EjectedUntil && Now < *it.EjectedUntil &&
           it.State == Standing::Ejected;
  return n;
}

Standing World::standingOf(const std::string &endpoint) const {
  const Node &node = Nodes.at(Endpoints.at(endpoint).Node);
  auto it = node.Door.Endpoints.find(endpoint);
  return it == node.Door.Endpoints.end() ? Standing::Draining
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
