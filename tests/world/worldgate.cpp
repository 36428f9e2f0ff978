#include "world/worldattempt.h"

#include "libhickoryglade/registry.h"

#include <algorithm>

/// Simulated gates: they carry out the actions of the library's gates on
/// the endpoints.

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros RestartTime = milliseconds(1'500);

} // namespace

void World::carryOut(Node &node, const GateActions &actions) {
  for (const GateAction &it : actions)
    carryOutOne(node, it);
}

void World::carryOutOne(Node &node, const GateAction &action) {
  auto find = [&](const std::string &id) {
    auto it = node.AttemptsById.find(id);
    return it == node.AttemptsById.end() ? nullptr : it->second;
  };
  if (const auto *start = std::get_if<StartAction>(&action)) {
    if (AttemptPtr it = find(start->AttemptId))
      startWork(node, it, start->Endpoint);
  } else if (const auto *grant = std::get_if<GrantAction>(&action)) {
    AttemptPtr it = find(grant->AttemptId);
    std::string gate = node.Name;
    if (it)
      send(gate, it->Request->Entry, [this, it, gate] {
        bool isLate = it->IsFinished || !it->ChosenGate.empty();
        if (isLate) {
          send(it->Request->Entry, gate, [this, it, gate] {
            Node &gateNode = Nodes.at(gate);
            carryOut(gateNode, cancel(gateNode.LocalGate, it->Id, Now));
          });
          return;
        }
        it->ChosenGate = gate;
        for (const std::string &other : std::set<std::string>(it->Gates))
          if (other != gate) {
            removeGate(it, other);
            send(it->Request->Entry, other, [this, it, other] {
              Node &gateNode = Nodes.at(other);
              carryOut(gateNode, cancel(gateNode.LocalGate, it->Id, Now));
            });
          }
        sendClaim(it, gate);
      });
  } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
    AttemptPtr it = find(refusal->AttemptId);
    std::string gate = node.Name;
    GateLoad load = loadOf(node.LocalGate, Service, Now);
    if (it)
      send(gate, it->Request->Entry,
           [this, it, gate, load, reason = refusal->Reason] {
             Node &entry = Nodes.at(it->Request->Entry);
             entry.Loads[gate] = load;
             entry.LoadAt[gate] = Now;
             handleRefusal(it, gate, reason);
           });
  } else if (const auto *abort = std::get_if<AbortAction>(&action)) {
    if (AttemptPtr it = find(abort->AttemptId)) {
      AttemptOutcome outcome = abort->Reason.Kind == ErrorKind::DeadlineExceeded
                                   ? AttemptOutcome::TimedOut
                                   : AttemptOutcome::Failed;
      endWork(node, it, it->Endpoint, outcome);
    }
  } else if (const auto *standing = std::get_if<StandingAction>(&action)) {
    traceEvent(standing->Endpoint + " " +
               std::string(toString(standing->State)) + ": " +
               standing->Reason);
  } else if (const auto *ejection = std::get_if<EjectionAction>(&action)) {
    if (ejection->IsWanted)
      node.WantedEjections.insert(ejection->Endpoint);
    else
      node.WantedEjections.erase(ejection->Endpoint);
  } else if (const auto *crashed = std::get_if<CrashAction>(&action)) {
    publishCrash(node, crashed->Fingerprint);
  } else if (const auto *it = std::get_if<ContentClearedAction>(&action)) {
    publishCrash(node, it->Fingerprint);
  }
}

void World::publishCrash(Node &node, std::uint64_t fingerprint) {
  if (!isEnabled(Mechanism::Quarantine)) {
    node.LocalGate.Crashes.Records.clear();
    return;
  }
  floodCrash(node.Name, fingerprint,
             node.LocalGate.Crashes.Records[fingerprint]);
}

/// Floods a crash record: every node that learns something new from it forwards
/// it to all others.
void World::floodCrash(const std::string &from, std::uint64_t fingerprint,
                       const CrashRecord &record) {
  for (const auto &[name, other] : Nodes)
    if (name != from)
      send(from, name, [this, name, fingerprint, record] {
        Node &node = Nodes.at(name);
        Quarantine &crashes = node.LocalGate.Crashes;
        CrashRecord before = crashes.Records[fingerprint];
        GateActions actions =
            noteForeignCrash(node.LocalGate, fingerprint, record);
        bool isNew =
            crashes.Records[fingerprint].Crashes != before.Crashes ||
            crashes.Records[fingerprint].unexplained() < before.unexplained();
        if (isNew)
          floodCrash(name, fingerprint, record);
        carryOut(node, actions);
      });
}

void World::startWork(Node &node, const AttemptPtr &attempt,
                      const std::string &name) {
  SimulatedEndpoint &endpoint = Endpoints.at(name);
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
    SimulatedEndpoint &it = Endpoints.at(name);
    if (!it.Running.contains(attempt->Id) || it.Incarnation != incarnation)
      return;
    if (it.IsStalled)
      return at(Now + milliseconds(20), *done);
    std::string nodeName = it.Running.at(attempt->Id);
    deliver(nodeName, [this, attempt, name, nodeName] {
      endWork(Nodes.at(nodeName), attempt, name, AttemptOutcome::Answered);
    });
  };
  at(Now + call->Work, *done);
}

void World::crash(SimulatedEndpoint &endpoint) {
  if (!endpoint.IsUp)
    return;
  endpoint.IsUp = false;
  ++endpoint.Crashes;
  ++endpoint.Incarnation;
  traceEvent(endpoint.Name + " crashed");
  auto running = std::move(endpoint.Running);
  endpoint.Running.clear();
  for (const auto &[id, nodeName] : running)
    deliver(nodeName,
            [this, id = id, nodeName = nodeName, name = endpoint.Name] {
              Node &node = Nodes.at(nodeName);
              auto it = node.AttemptsById.find(id);
              if (it != node.AttemptsById.end())
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
  attempt->Result = isAnswer   ? CallOutcome::Answered
                    : neverRan ? CallOutcome::NotRun
                               : CallOutcome::Unknown;
  attempt->ResultError = {outcome == AttemptOutcome::TimedOut
                              ? ErrorKind::DeadlineExceeded
                              : ErrorKind::EndpointFailed,
                          neverRan ? RunState::NotRun : RunState::Unknown,
                          {},
                          {}};
  GateActions actions = complete(node.LocalGate, attempt->Id, outcome, Now);
  GateLoad load = loadOf(node.LocalGate, Service, Now);
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
         finishAttempt(attempt, attempt->Result, attempt->ResultError);
       });
  carryOut(node, actions);
}

} // namespace hickoryglade::world
