#include "world/worldattempt.h"

#include "libhickoryglade/registry.h"

#include <algorithm>

/// Simulated entries: they choose gates, send attempts and resolve their
/// outcomes.

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros SilenceLimit = milliseconds(700);
constexpr Micros ResolvePeriod = milliseconds(100);
constexpr Micros DeadlineGrace = milliseconds(30);
constexpr Micros LoadReportMaxAge = milliseconds(500);

} // namespace

std::vector<Candidate> World::candidates(Node &node, const Call &call) {
  std::vector<Candidate> all;
  for (const auto &[name, other] : Nodes) {
    Candidate it;
    it.Node = name;
    bool hasEndpoint = false;
    int bestRank = 9;
    for (const auto &[endpoint, real] : Endpoints) {
      if (real.Node != name)
        continue;
      auto known = node.KnownStandings.find(endpoint);
      if (known == node.KnownStandings.end() ||
          known->second == Standing::Draining)
        continue;
      hasEndpoint = true;
      it.Slots += real.Slots;
      constexpr int Ranks[] = {0, 2, 3, 1, 4};
      int rank = Ranks[int(known->second)];
      if (rank < bestRank) {
        bestRank = rank;
        it.State = known->second;
      }
    }
    if (!hasEndpoint)
      continue;
    it.IsLocal = name == node.Name;
    it.WasTried = call.Tried.contains(name);
    it.IsPathUp = Now >= node.DownUntil[name];
    it.Outstanding = node.Outstanding[name];
    bool isFresh = Now - node.LoadAt[name] < LoadReportMaxAge;
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
  at(it->Deadline + DeadlineGrace, [this, it] {
    if (it->Outcome == CallOutcome::Pending)
      finishCall(it, CallOutcome::Unknown, ErrorKind::DeadlineExceeded);
  });
  deliver(it->Entry, [this, it] { tryOnce(it); });
  return it;
}

void World::finishCall(const std::shared_ptr<Call> &call, CallOutcome outcome,
                       ErrorKind kind) {
  if (call->Outcome != CallOutcome::Pending)
    return;
  call->Outcome = outcome;
  call->Kind = kind;
  call->End = Now;
}

void World::tryOnce(const std::shared_ptr<Call> &call) {
  if (call->Outcome != CallOutcome::Pending)
    return;
  Node &node = Nodes.at(call->Entry);
  ++call->Attempts;
  int known = isEnabled(Mechanism::Quarantine) ? call->Crashes : 0;
  QuarantineRule rule =
      ruleFor(node.LocalGate.Crashes, call->Fingerprint, Now, known);
  if (rule == QuarantineRule::Refused)
    return failCall(call, makeError(ErrorKind::Quarantined));
  std::vector<Candidate> all = candidates(node, *call);
  const auto *router = Registry<RouterPolicy>::instance().find(Policy.Router);
  RoutePlan plan =
      router->Plan(all,
                   {call->IsLong, call->IsIdempotent, call->WasSlotTaken,
                    rule == QuarantineRule::Serialized, call->Fingerprint},
                   node.LocalGate.Rng);
  if (plan.Targets.empty())
    return failCall(call, makeError(ErrorKind::NoEndpoint));
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
      attempt->DoubtfulGates.insert(all[i].Node);
  }
  for (const std::string &gate : std::set<std::string>(attempt->Gates)) {
    ++node.Outstanding[gate];
    if (!plan.AwaitsGrant)
      attempt->ChosenGate = gate;
    sendOffer(attempt, gate);
  }
  at(Now + SilenceLimit, [this, attempt] { resolveAttempt(attempt); });
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
  ticket.KnownCrashes = isEnabled(Mechanism::Quarantine) ? call.Crashes : 0;
  ticket.AwaitsClaim = attempt.AwaitsGrant;
  ticket.OnlyIfFree = attempt.OnlyIfFree;
  ticket.IsSpill = attempt.IsSpill;
  ticket.IsSerialized = attempt.IsSerialized;
  return ticket;
}

void World::sendOffer(const AttemptPtr &attempt, const std::string &gate) {
  Ticket ticket = ticketFor(*attempt);
  ticket.AcceptsDoubtful = attempt->DoubtfulGates.contains(gate);
  send(attempt->Request->Entry, gate, [this, attempt, gate, ticket] {
    Node &node = Nodes.at(gate);
    node.AttemptsById[attempt->Id] = attempt;
    carryOut(node, offer(node.LocalGate, ticket, Now));
  });
}

void World::sendClaim(const AttemptPtr &attempt, const std::string &gate) {
  send(attempt->Request->Entry, gate, [this, attempt, gate] {
    Node &node = Nodes.at(gate);
    carryOut(node, claim(node.LocalGate, attempt->Id, Now));
  });
}

void World::removeGate(const AttemptPtr &attempt, const std::string &gate) {
  if (attempt->Gates.erase(gate) == 0)
    return;
  --Nodes.at(attempt->Request->Entry).Outstanding[gate];
}

void World::handleRefusal(const AttemptPtr &attempt, const std::string &gate,
                          const Error &error) {
  if (attempt->IsFinished)
    return;
  bool isChosen = attempt->ChosenGate == gate;
  removeGate(attempt, gate);
  if (isChosen || (attempt->ChosenGate.empty() && attempt->Gates.empty()))
    finishAttempt(attempt,
                  error.Run == RunState::NotRun ? CallOutcome::NotRun
                                                : CallOutcome::Unknown,
                  error);
}

void World::finishAttempt(const AttemptPtr &attempt, CallOutcome outcome,
                          const Error &error) {
  if (attempt->IsFinished)
    return;
  attempt->IsFinished = true;
  for (const std::string &gate : std::set<std::string>(attempt->Gates))
    removeGate(attempt, gate);
  const std::shared_ptr<Call> &call = attempt->Request;
  if (outcome == CallOutcome::Answered)
    return finishCall(call, outcome, ErrorKind::Internal);
  if (error.Kind != ErrorKind::SlotTaken && !attempt->ChosenGate.empty())
    call->Tried.insert(attempt->ChosenGate);
  call->WasSlotTaken = call->WasSlotTaken || error.Kind == ErrorKind::SlotTaken;
  if (error.Kind == ErrorKind::ContentSuspect)
    call->Crashes = std::max(call->Crashes, 1);
  call->MayHaveRun = call->MayHaveRun || error.Run == RunState::Unknown;
  bool isSafe = call->IsIdempotent || !isEnabled(Mechanism::Retry);
  call->FreeRetries += isFreeRetry(error.Kind);
  RetryDecision decision =
      decideRetry({error, isSafe, call->Attempts - call->FreeRetries,
                   call->Deadline - Now, Micros(0)},
                  Nodes.at(call->Entry).Budget);
  if (decision.Verdict == RetryVerdict::Retry &&
      call->FreeRetries < FreeRetryLimit)
    return tryOnce(call);
  failCall(call, error);
}

void World::failCall(const std::shared_ptr<Call> &call, const Error &error) {
  bool isUnknown = finalError(error, call->MayHaveRun).Run == RunState::Unknown;
  if (call->Outcome == CallOutcome::Pending)
    call->RetryAfter = suggestRetryAfter(
        error.RetryAfter, toMillis(call->Deadline - Now), RetryAfterRng);
  finishCall(call, isUnknown ? CallOutcome::Unknown : CallOutcome::NotRun,
             error.Kind);
}

/// Resolves an attempt that is overdue. While the link is down, the entry
/// avoids the gate; otherwise it sends a revoke, which either fences the
/// attempt or returns its result.
void World::resolveAttempt(const AttemptPtr &attempt) {
  const std::shared_ptr<Call> &call = attempt->Request;
  if (attempt->IsFinished || call->Outcome != CallOutcome::Pending)
    return;
  std::string entry = call->Entry;
  std::string gate = attempt->ChosenGate.empty() ? *attempt->Gates.begin()
                                                 : attempt->ChosenGate;
  bool isSilent = !isLinkUp(entry, gate) || !isLinkUp(gate, entry);
  Node &entryNode = Nodes.at(entry);
  if (isSilent) {
    entryNode.DownUntil[gate] = Now + milliseconds(500);
    if (!isEnabled(Mechanism::Fence))
      return finishAttempt(attempt, CallOutcome::NotRun,
                           {ErrorKind::GateLost, RunState::NotRun, {}, {}});
    if (attempt->ChosenGate.empty()) {
      removeGate(attempt, gate);
      if (attempt->Gates.empty())
        return finishAttempt(attempt, CallOutcome::NotRun,
                             {ErrorKind::GateLost, RunState::NotRun, {}, {}});
    }
  } else if (!attempt->ChosenGate.empty()) {
    send(entry, gate, [this, attempt, gate, entry] {
      Node &gateNode = Nodes.at(gate);
      GateActions actions;
      StartState state = revoke(gateNode.LocalGate, attempt->Id,
                                Now + seconds(60), Now, actions);
      carryOut(gateNode, actions);
      send(gate, entry, [this, attempt, state] {
        if (state == StartState::Fenced)
          finishAttempt(attempt, CallOutcome::NotRun,
                        {ErrorKind::GateLost, RunState::NotRun, {}, {}});
        if (state == StartState::Finished)
          finishAttempt(attempt, attempt->Result, attempt->ResultError);
      });
    });
  }
  at(Now + ResolvePeriod, [this, attempt] { resolveAttempt(attempt); });
}

} // namespace hickoryglade::world
