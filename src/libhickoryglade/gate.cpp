#include "libhickoryglade/gate.h"

#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>
#include <ranges>

namespace hickoryglade {

namespace {

/// How long announcements of an endpoint that has left may still arrive.
constexpr Micros DepartedMemory = std::chrono::seconds(60);

/// A silent endpoint with nothing running is forgotten after this time.
constexpr Micros ForgetSilentAfter = std::chrono::seconds(30);

/// How long a granted slot waits for the body.
constexpr Micros GrantTerm = std::chrono::milliseconds(250);

/// Time after an attempt's deadline during which late copies are recognized.
constexpr Micros LedgerMargin = std::chrono::seconds(60);

/// Uneventful time after which relapses are forgiven.
constexpr Micros RelapseMemory = std::chrono::seconds(60);

/// Time after a broken connection in which a restart counts as its cause.
constexpr Micros DroppedMemory = std::chrono::seconds(10);

/// A tick that is later than this shows a pause. A gate that wakes from one
/// first hears what it has missed before it starts anything.
constexpr Micros PauseLimit = std::chrono::milliseconds(450);
constexpr Micros HoldAfterPause = std::chrono::milliseconds(100);

/// Time in which an endpoint that runs a crashing request is found crashed.
constexpr Micros SettleTerm = std::chrono::milliseconds(100);
constexpr Micros SettleMemory = std::chrono::seconds(10);

/// Least wait that a refused caller is told.
constexpr Micros LeastRetryAfter = std::chrono::milliseconds(200);

/// Answers that end a trial of an endpoint that has relapsed.
constexpr int AnswersAfterRelapse = 2;

constexpr Micros EmptyServiceRetry = std::chrono::seconds(1);

bool isAnnounced(const GateEndpoint &endpoint, Instant now) {
  return now - endpoint.LastHeard <= endpoint.AnnouncementLimit;
}

bool isEjected(const GateEndpoint &endpoint, Instant now) {
  return endpoint.EjectedUntil && now < *endpoint.EjectedUntil;
}

bool takesWork(const GateEndpoint &endpoint, Instant now) {
  if (endpoint.State == Standing::Draining || !isAnnounced(endpoint, now) ||
      isEjected(endpoint, now))
    return false;
  int slots = freeSlots(endpoint);
  return endpoint.State == Standing::Trial
             ? slots > 0 && endpoint.Holders.empty()
             : slots > 0;
}

Instant forgetAt(const Ticket &ticket) {
  return ticket.Deadline + LedgerMargin;
}

/// Spreads callers so that they do not come back together.
Millis spreadRetry(Gate &gate, Micros wait) {
  Micros base = std::max(wait, LeastRetryAfter);
  auto spread = uniform(gate.Rng, std::uint64_t(base.count()) + 1);
  return toMillis(base + Micros(spread));
}

void refuse(GateActions &actions, const std::string &attempt, Error reason) {
  actions.push_back(RefuseAction{attempt, std::move(reason)});
}

Error notRun(ErrorKind kind, std::string detail, Millis retryAfter) {
  return {kind, RunState::NotRun, std::move(detail), retryAfter};
}

int longCap(const GateEndpoint &endpoint, const ServicePolicy &policy) {
  return std::max(1, endpoint.Facts.Slots * policy.LongSlotsPercent / 100);
}

/// A long request takes a slot beyond the cap only where it leaves one free
/// and no short request waits.
bool mayHoldLong(const GateEndpoint &endpoint, const GateService &service,
                 Instant now) {
  int held = longHeld(endpoint, now, service.Policy.LongAfter);
  if (held < longCap(endpoint, service.Policy))
    return true;
  return freeSlots(endpoint) > 1 && !service.Queue.hasShort();
}

/// An entry that does not know yet that an endpoint is doubtful has better
/// choices.
bool isUnawares(const GateEndpoint &endpoint, const GateService &service,
                const Ticket &ticket) {
  bool isDoubtful =
      endpoint.State == Standing::Suspect || endpoint.State == Standing::Trial;
  return isDoubtful && service.Gates > 1 && !ticket.AcceptsDoubtful;
}

bool mayTake(const GateEndpoint &endpoint, const GateService &service,
             const Ticket &ticket, Instant now) {
  if (!takesWork(endpoint, now) || isUnawares(endpoint, service, ticket))
    return false;
  bool isTrial = endpoint.State == Standing::Trial;
  if (isTrial && (ticket.IsLong || !ticket.IsIdempotent))
    return false;
  return !ticket.IsLong || mayHoldLong(endpoint, service, now);
}

/// Prefers the healthy, then the emptiest endpoint.
GateEndpoint *chooseEndpoint(Gate &gate, const GateService &service,
                             const Ticket &ticket, Instant now) {
  GateEndpoint *best = nullptr;
  auto rank = [](const GateEndpoint &it) {
    return std::pair(it.State == Standing::Suspect, -freeSlots(it));
  };
  for (auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Facts.Service != ticket.Service ||
        !mayTake(endpoint, service, ticket, now))
      continue;
    if (!best || rank(endpoint) < rank(*best))
      best = &endpoint;
  }
  return best;
}

void noticePause(Gate &gate, Instant now) {
  if (gate.TickDue && now - *gate.TickDue > PauseLimit)
    gate.HoldUntil = now + HoldAfterPause;
}

bool isSerialized(const Gate &gate, const Ticket &ticket, Instant now) {
  return ruleFor(gate.Crashes, ticket.Fingerprint, now, ticket.KnownCrashes) ==
         QuarantineRule::Serialized;
}

/// A copy that was sent off before its entry knew of the crash must not run
/// beside one that the others have been sent to.
bool isOutOfPlace(const Gate &gate, const GateService &service,
                  const Ticket &ticket, Instant now) {
  return service.Gates > 1 && !ticket.IsSerialized &&
         isSerialized(gate, ticket, now);
}

Error outOfPlace() {
  return notRun(ErrorKind::ContentSuspect, "its copies meet at another gate",
                Millis{0});
}

bool isSerializedBusy(const Gate &gate, GateService &service,
                      const Ticket &ticket, Instant now) {
  if (!isSerialized(gate, ticket, now))
    return false;
  auto [settle, isNew] =
      service.SettleUntil.try_emplace(ticket.Fingerprint, now + SettleTerm);
  return now < settle->second ||
         service.Serialized.contains(ticket.Fingerprint);
}

void start(Gate &gate, GateEndpoint &endpoint, SlotHolder &holder, Instant now,
           GateActions &actions) {
  const Ticket &ticket = holder.Request;
  holder.IsStarted = true;
  holder.Since = now;
  if (gate.Ledger.tryStart(ticket.AttemptId, forgetAt(ticket))) {
    gate.Services[ticket.Service].Repeats.note(ticket.IsRepeat, now);
    actions.push_back(StartAction{ticket.AttemptId, endpoint.Facts.Name});
    return;
  }
  refuse(
      actions, ticket.AttemptId,
      notRun(ErrorKind::WrongGeneration, "the attempt is fenced", Millis{0}));
}

void assign(Gate &gate, GateService &service, GateEndpoint &endpoint,
            const Ticket &ticket, Instant now, GateActions &actions) {
  endpoint.Holders.push_back({ticket, now, false});
  gate.Held[ticket.AttemptId] = endpoint.Facts.Name;
  if (isSerialized(gate, ticket, now))
    service.Serialized.insert(ticket.Fingerprint);
  if (ticket.AwaitsClaim)
    actions.push_back(GrantAction{ticket.AttemptId, endpoint.Facts.Name});
  else
    start(gate, endpoint, endpoint.Holders.back(), now, actions);
}

/// Gives free slots to waiting requests.
void dispatch(Gate &gate, const std::string &name, Instant now,
              GateActions &actions) {
  GateService &service = gate.Services[name];
  while (service.Queue.size() > 0 && now >= gate.HoldUntil) {
    GateEndpoint *endpoint = nullptr;
    auto ticket = service.Queue.pop([&](const Ticket &it) {
      if (isSerializedBusy(gate, service, it, now))
        return false;
      endpoint = chooseEndpoint(gate, service, it, now);
      return endpoint != nullptr;
    });
    if (!ticket)
      return;
    if (ruleFor(gate.Crashes, ticket->Fingerprint, now, ticket->KnownCrashes) ==
        QuarantineRule::Refused) {
      refuse(
          actions, ticket->AttemptId,
          notRun(
              ErrorKind::Quarantined, fingerprintName(ticket->Fingerprint),
              toMillis(remainingTerm(gate.Crashes, ticket->Fingerprint, now))));
      continue;
    }
    if (isOutOfPlace(gate, service, *ticket, now)) {
      refuse(actions, ticket->AttemptId, outOfPlace());
      continue;
    }
    if (ticket->Deadline < now + ticket->ExpectedCost) {
      refuse(actions, ticket->AttemptId,
             notRun(ErrorKind::Overloaded, "too late to finish in time",
                    spreadRetry(gate, service.Policy.MaxWait)));
      continue;
    }
    assign(gate, service, *endpoint, *ticket, now, actions);
  }
}

/// Slots that requests of a class can count on in the long run.
int slotsForClass(const Gate &gate, const GateService &service,
                  const Ticket &ticket, Instant now) {
  int slots = 0;
  for (const auto &[name, it] : gate.Endpoints)
    if (it.Facts.Service == ticket.Service && it.State != Standing::Draining &&
        isAnnounced(it, now) && !isEjected(it, now))
      slots += ticket.IsLong ? longCap(it, service.Policy) : it.Facts.Slots;
  return slots;
}

int slotsInRotation(const Gate &gate, const std::string &service, Instant now) {
  int slots = 0;
  for (const auto &[name, it] : gate.Endpoints)
    if (it.Facts.Service == service && it.State != Standing::Draining &&
        isAnnounced(it, now) && !isEjected(it, now))
      slots += it.Facts.Slots;
  return slots;
}

/// No request waits behind an endpoint that takes one at a time.
bool isOnlyTrials(const Gate &gate, const std::string &service) {
  return std::ranges::all_of(gate.Endpoints, [&](const auto &it) {
    return it.second.Facts.Service != service ||
           it.second.State == Standing::Trial ||
           it.second.State == Standing::Draining;
  });
}

bool isOnlyUnawares(const Gate &gate, const GateService &service,
                    const Ticket &ticket) {
  return std::ranges::all_of(gate.Endpoints, [&](const auto &it) {
    return it.second.Facts.Service != ticket.Service ||
           it.second.State == Standing::Draining ||
           isUnawares(it.second, service, ticket);
  });
}

bool isOverRepeats(GateService &service, const Ticket &ticket, Instant now) {
  const ServicePolicy &policy = service.Policy;
  double allowance = double(policy.RetryAllowance) / std::max(service.Gates, 1);
  return ticket.IsRepeat && !service.Repeats.allowsRepeat(
                                policy.RetryBudgetPercent, allowance, now);
}

void setStanding(GateEndpoint &endpoint, Standing state, std::string reason,
                 Instant now, GateActions &actions) {
  if (endpoint.State == state)
    return;
  endpoint.State = state;
  endpoint.StateSince = now;
  actions.push_back(
      StandingAction{endpoint.Facts.Name, state, std::move(reason)});
}

/// Releases an attempt's slot; returns nothing if it holds none.
std::optional<SlotHolder> release(Gate &gate, const std::string &attempt,
                                  GateEndpoint *&endpoint) {
  auto held = gate.Held.find(attempt);
  if (held == gate.Held.end())
    return std::nullopt;
  auto it = gate.Endpoints.find(held->second);
  gate.Held.erase(held);
  if (it == gate.Endpoints.end())
    return std::nullopt;
  endpoint = &it->second;
  auto slot = std::ranges::find_if(endpoint->Holders, [&](const auto &h) {
    return h.Request.AttemptId == attempt;
  });
  if (slot == endpoint->Holders.end())
    return std::nullopt;
  SlotHolder holder = std::move(*slot);
  endpoint->Holders.erase(slot);
  gate.Services[holder.Request.Service].Serialized.erase(
      holder.Request.Fingerprint);
  return holder;
}

void fallIll(GateEndpoint &endpoint, const std::string &reason, bool isSick,
             Instant now, GateActions &actions) {
  if (endpoint.State == Standing::Trial)
    ++endpoint.Relapses;
  if (endpoint.RecoveredAt && now - *endpoint.RecoveredAt < RelapseMemory)
    ++endpoint.Relapses;
  endpoint.RecoveredAt.reset();
  setStanding(endpoint, Standing::Suspect, reason, now, actions);
  if (isSick)
    actions.push_back(
        EjectionAction{endpoint.Facts.Name, endpoint.Facts.Service, true});
}

void recover(GateEndpoint &endpoint, Instant now, GateActions &actions) {
  if (endpoint.State == Standing::Healthy)
    return;
  ++endpoint.TrialAnswers;
  bool isOnTrial = endpoint.State == Standing::Trial && endpoint.Relapses > 0;
  if (isOnTrial && endpoint.TrialAnswers < AnswersAfterRelapse)
    return;
  endpoint.RecoveredAt = now;
  setStanding(endpoint, Standing::Healthy, "completes work", now, actions);
  actions.push_back(
      EjectionAction{endpoint.Facts.Name, endpoint.Facts.Service, false});
}

/// Idempotent work of a stalled endpoint is handed back, so that the entry
/// can run it elsewhere.
void handBack(const GateEndpoint &endpoint, const ServicePolicy &policy,
              Instant now, GateActions &actions) {
  std::vector<std::string> given;
  for (const SlotHolder &holder : endpoint.Holders)
    if (holder.IsStarted && holder.Request.IsIdempotent &&
        now - holder.Since > policy.StallAfter)
      given.push_back(holder.Request.AttemptId);
  for (const std::string &attempt : given)
    actions.push_back(AbortAction{
        attempt, makeError(ErrorKind::EndpointFailed, "the endpoint stalls")});
}

void judge(Gate &gate, GateEndpoint &endpoint, Instant now,
           GateActions &actions) {
  const ServicePolicy &policy = gate.Services[endpoint.Facts.Service].Policy;
  const auto *health = Registry<HealthPolicy>::instance().find(policy.Health);
  if (!health)
    return;
  HealthJudgement judgement =
      health->Judge(evidenceOf(endpoint, policy, now), policy);
  if (judgement.Verdict == HealthVerdict::Well)
    return;
  bool isNews =
      endpoint.State == Standing::Healthy || endpoint.State == Standing::Trial;
  bool isSick = judgement.Verdict == HealthVerdict::Sick;
  if (isNews)
    fallIll(endpoint, judgement.Reason, isSick, now, actions);
  else if (isSick && !isEjected(endpoint, now))
    actions.push_back(
        EjectionAction{endpoint.Facts.Name, endpoint.Facts.Service, true});
  if (isSick)
    handBack(endpoint, policy, now, actions);
}

/// A sick endpoint that has rested may try one request. One that nobody has
/// tried for long is taken for healthy: its service may have no idempotent
/// work.
void considerTrial(const Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions) {
  auto service = gate.Services.find(endpoint.Facts.Service);
  static const ServicePolicy defaults;
  const ServicePolicy &policy =
      service == gate.Services.end() ? defaults : service->second.Policy;
  bool isForgotten = endpoint.State == Standing::Trial &&
                     endpoint.Holders.empty() &&
                     now - endpoint.StateSince > policy.TrialPatience;
  if (isForgotten)
    setStanding(endpoint, Standing::Healthy, "no trial came", now, actions);
  if (endpoint.State != Standing::Suspect &&
      endpoint.State != Standing::Ejected)
    return;
  bool hasRested =
      now - endpoint.StateSince >= restBeforeTrial(policy, endpoint.Relapses);
  if (!hasRested || !endpoint.Holders.empty())
    return;
  endpoint.ConsecutiveFailures = 0;
  endpoint.ConsecutiveSheds = 0;
  endpoint.IsListening = true;
  endpoint.EjectedUntil.reset();
  endpoint.TrialAnswers = 0;
  setStanding(endpoint, Standing::Trial, "has rested", now, actions);
}

void expireHolders(Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions) {
  std::vector<std::string> lapsed;
  std::vector<std::string> late;
  for (const SlotHolder &holder : endpoint.Holders) {
    if (!holder.IsStarted && now - holder.Since > GrantTerm)
      lapsed.push_back(holder.Request.AttemptId);
    if (holder.IsStarted && holder.Request.Deadline <= now)
      late.push_back(holder.Request.AttemptId);
  }
  for (const std::string &attempt : lapsed) {
    GateEndpoint *unused = nullptr;
    auto holder = release(gate, attempt, unused);
    if (holder)
      gate.Ledger.revoke(attempt, forgetAt(holder->Request));
    refuse(actions, attempt,
           notRun(ErrorKind::GrantLapsed, "the body did not arrive in time",
                  Millis{0}));
  }
  for (const std::string &attempt : late)
    actions.push_back(
        AbortAction{attempt, makeError(ErrorKind::DeadlineExceeded,
                                       "the endpoint did not answer in time")});
}

void expireQueue(GateService &service, Instant now, GateActions &actions) {
  for (const Ticket &ticket : service.Queue.takeExpired(now))
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::DeadlineExceeded, "the deadline passed in queue",
                  toMillis(LeastRetryAfter)));
}

/// Waiting requests leave a gate that has no endpoint for them any more.
void emptyQueue(Gate &gate, const std::string &name, Instant now,
                GateActions &actions) {
  if (!gate.IsDraining && slotsInRotation(gate, name, now) > 0)
    return;
  for (const Ticket &ticket : gate.Services[name].Queue.takeAll())
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::NoEndpoint, "no endpoint left at this gate",
                  toMillis(EmptyServiceRetry)));
}

/// Waiting requests whose entries do not know that the gate's endpoint has
/// become doubtful are better served elsewhere.
void handBackWaiting(Gate &gate, const std::string &name,
                     GateActions &actions) {
  GateService &service = gate.Services[name];
  if (service.Queue.size() == 0)
    return;
  auto unawares = service.Queue.takeWhere(
      [&](const Ticket &it) { return isOnlyUnawares(gate, service, it); });
  for (const Ticket &ticket : unawares)
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint has failed",
                  Millis{0}));
}

/// Only work of the ticket's class stands in its way: short requests pass
/// waiting long ones, long ones share the slots that they may hold.
Micros slotTimeAhead(const Gate &gate, const GateService &service,
                     const Ticket &ticket, Instant now) {
  Micros running{0};
  for (const auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Facts.Service != ticket.Service)
      continue;
    for (const SlotHolder &holder : endpoint.Holders)
      if (holder.Request.IsLong == ticket.IsLong)
        running += std::max(holder.Request.ExpectedCost - (now - holder.Since),
                            Micros{0});
  }
  auto share = service.Shares.find(ticket.Workspace);
  int weight = share == service.Shares.end() ? 1 : share->second;
  return running +
         service.Queue.costAhead(ticket.Workspace, weight, ticket.IsLong);
}

std::optional<Error> admissionFault(Gate &gate, GateService &service,
                                    const Ticket &ticket, int slots,
                                    Instant now) {
  const auto *admission =
      Registry<AdmissionPolicy>::instance().find(service.Policy.Admission);
  if (!admission)
    return std::nullopt;
  Micros ahead = slotTimeAhead(gate, service, ticket, now);
  AdmissionAnswer answer = admission->Admit(
      {service.Queue.size(), std::size_t(service.Policy.QueueLimit), slots,
       ahead, ticket.ExpectedCost, ticket.Deadline - now,
       service.Policy.MaxWait});
  if (answer.IsAdmitted)
    return std::nullopt;
  return notRun(ErrorKind::Overloaded,
                "expected wait " +
                    std::to_string(toMillis(answer.ExpectedWait).count()) +
                    " ms",
                spreadRetry(gate, answer.ExpectedWait));
}

std::optional<Error> offerFault(const Gate &gate, const Ticket &ticket,
                                Instant now) {
  if (gate.IsDraining)
    return notRun(ErrorKind::ShuttingDown, "the node is leaving", Millis{0});
  if (ticket.Deadline <= now)
    return notRun(ErrorKind::DeadlineExceeded, "arrived after its deadline",
                  toMillis(LeastRetryAfter));
  if (gate.Ledger.stateOf(ticket.AttemptId) != StartState::Unseen)
    return notRun(ErrorKind::WrongGeneration, "the attempt is fenced",
                  Millis{0});
  if (ruleFor(gate.Crashes, ticket.Fingerprint, now, ticket.KnownCrashes) ==
      QuarantineRule::Refused)
    return notRun(
        ErrorKind::Quarantined, fingerprintName(ticket.Fingerprint),
        toMillis(remainingTerm(gate.Crashes, ticket.Fingerprint, now)));
  int slots = slotsInRotation(gate, ticket.Service, now);
  if (slots == 0)
    return notRun(ErrorKind::NoEndpoint, "no endpoint at this gate",
                  toMillis(EmptyServiceRetry));
  return std::nullopt;
}

void blame(Gate &gate, const GateEndpoint &endpoint, std::uint64_t fingerprint,
           Instant now, GateActions &actions) {
  const std::string &service = endpoint.Facts.Service;
  noteCrash(gate.Crashes, fingerprint, gate.Node,
            now + gate.Services[service].Policy.QuarantineTerm);
  actions.push_back(CrashAction{fingerprint, service});
}

/// A restart soon after connections broke was a crash.
void blameDropped(Gate &gate, GateEndpoint &endpoint, Instant now,
                  GateActions &actions) {
  for (const DroppedRequest &it : endpoint.Dropped)
    if (now - it.At < DroppedMemory)
      blame(gate, endpoint, it.Fingerprint, now, actions);
  endpoint.Dropped.clear();
}

/// A deadline that was long enough for such a request, during which the
/// endpoint completed nothing else, speaks against the endpoint.
bool isTellingTimeout(const GateEndpoint &endpoint, const SlotHolder &holder,
                      Instant now) {
  return endpoint.LastCompletion < holder.Since &&
         now - holder.Since > OverdueFactor * holder.Request.ExpectedCost;
}

void noteOutcome(Gate &gate, GateEndpoint &endpoint, const SlotHolder &holder,
                 AttemptOutcome outcome, Instant now, GateActions &actions) {
  switch (outcome) {
  case AttemptOutcome::Answered:
    endpoint.LastCompletion = now;
    endpoint.IsListening = true;
    ++endpoint.Completions;
    endpoint.ConsecutiveFailures = 0;
    endpoint.ConsecutiveSheds = 0;
    if (endpoint.State != Standing::Draining)
      recover(endpoint, now, actions);
    return;
  case AttemptOutcome::ServerError:
    endpoint.LastCompletion = now;
    ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::Shed:
    endpoint.LastCompletion = now;
    ++endpoint.ConsecutiveSheds;
    return;
  case AttemptOutcome::Crashed:
    blame(gate, endpoint, holder.Request.Fingerprint, now, actions);
    endpoint.IsListening = false;
    ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::Unreachable:
    endpoint.IsListening = false;
    ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::Broken:
    std::erase_if(endpoint.Dropped, [&](const DroppedRequest &it) {
      return now - it.At >= DroppedMemory;
    });
    endpoint.Dropped.push_back({holder.Request.Fingerprint, now});
    ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::Failed:
    ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::TimedOut:
    if (isTellingTimeout(endpoint, holder, now))
      ++endpoint.ConsecutiveFailures;
    return;
  case AttemptOutcome::Cancelled:
    return;
  }
}

/// A new incarnation starts without the history of the old one.
void replaceIncarnation(Gate &gate, GateEndpoint &endpoint,
                        GateActions &actions, Instant now) {
  blameDropped(gate, endpoint, now, actions);
  ++endpoint.Generation;
  endpoint.IsListening = true;
  endpoint.ConsecutiveFailures = 0;
  endpoint.ConsecutiveSheds = 0;
  endpoint.Completions = 0;
  endpoint.LastCompletion = now;
  endpoint.EjectedUntil.reset();
  std::vector<std::string> orphans;
  for (const SlotHolder &holder : endpoint.Holders)
    if (holder.IsStarted)
      orphans.push_back(holder.Request.AttemptId);
  for (const std::string &attempt : orphans)
    actions.push_back(AbortAction{
        attempt, makeError(ErrorKind::EndpointFailed,
                           "the endpoint was restarted while it ran")});
  if (endpoint.State != Standing::Trial && endpoint.Relapses > 0)
    setStanding(endpoint, Standing::Trial, "restarted", now, actions);
}

/// An endpoint at whose address another one has started is gone.
void replaceAtAddress(Gate &gate, const Announcement &facts, Instant now,
                      GateActions &actions) {
  std::vector<std::string> gone;
  for (const auto &[name, it] : gate.Endpoints)
    if (name != facts.Name && it.Facts.Address == facts.Address &&
        it.Facts.StartedAtMs < facts.StartedAtMs)
      gone.push_back(name);
  for (const std::string &name : gone) {
    GateActions more = withdraw(gate, name, now);
    std::ranges::move(more, std::back_inserter(actions));
  }
}

} // namespace

std::string_view toString(AttemptOutcome outcome) {
  switch (outcome) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::ServerError:
    return "server_error";
  case AttemptOutcome::Shed:
    return "shed";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::Crashed:
    return "crashed";
  case AttemptOutcome::Unreachable:
    return "unreachable";
  case AttemptOutcome::Failed:
    return "failed";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool isOutdated(const Gate &gate, const Announcement &facts) {
  auto departed = gate.Departed.find(facts.Name);
  if (departed != gate.Departed.end() && departed->second.StartedAtMs > 0 &&
      facts.StartedAtMs <= departed->second.StartedAtMs)
    return true;
  for (const auto &[name, it] : gate.Endpoints) {
    bool isSameProcess =
        name == facts.Name && it.Facts.Incarnation == facts.Incarnation;
    if (isSameProcess && facts.Sequence < it.Facts.Sequence)
      return true;
    bool isSamePlace = name == facts.Name || it.Facts.Address == facts.Address;
    if (isSamePlace && facts.StartedAtMs < it.Facts.StartedAtMs)
      return true;
  }
  return false;
}

GateActions announce(Gate &gate, const Announcement &facts, Instant now) {
  GateActions actions;
  if (isOutdated(gate, facts))
    return actions;
  replaceAtAddress(gate, facts, now, actions);
  auto [it, isNew] = gate.Endpoints.try_emplace(facts.Name);
  GateEndpoint &endpoint = it->second;
  endpoint.AnnouncementLimit = gate.AnnouncementLimit;
  bool isRestart = !isNew && endpoint.Facts.Incarnation != facts.Incarnation;
  endpoint.Facts = facts;
  endpoint.LastHeard = now;
  if (isNew)
    actions.push_back(
        StandingAction{facts.Name, Standing::Healthy, "announced"});
  if (isRestart)
    replaceIncarnation(gate, endpoint, actions, now);
  if (facts.IsDraining)
    setStanding(endpoint, Standing::Draining, "announced", now, actions);
  else if (endpoint.State == Standing::Draining)
    setStanding(endpoint, Standing::Healthy, "announced", now, actions);
  dispatch(gate, facts.Service, now, actions);
  emptyQueue(gate, facts.Service, now, actions);
  return actions;
}

GateActions withdraw(Gate &gate, const std::string &endpoint, Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end())
    return actions;
  std::string service = it->second.Facts.Service;
  gate.Departed[endpoint] = {it->second.Facts.StartedAtMs,
                             now + DepartedMemory};
  if (it->second.Holders.empty())
    gate.Endpoints.erase(it);
  else
    it->second.State = Standing::Draining;
  actions.push_back(StandingAction{endpoint, Standing::Draining, "withdrawn"});
  emptyQueue(gate, service, now, actions);
  return actions;
}

GateActions offer(Gate &gate, const Ticket &ticket, Instant now) {
  GateActions actions;
  noticePause(gate, now);
  GateService &service = gate.Services[ticket.Service];
  if (auto fault = offerFault(gate, ticket, now)) {
    refuse(actions, ticket.AttemptId, std::move(*fault));
    return actions;
  }
  if (isOnlyUnawares(gate, service, ticket)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint has failed",
                  Millis{0}));
    return actions;
  }
  if (isOutOfPlace(gate, service, ticket, now)) {
    refuse(actions, ticket.AttemptId, outOfPlace());
    return actions;
  }
  if (isOverRepeats(service, ticket, now)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::RetriesExhausted, "the budget of this gate",
                  spreadRetry(gate, LeastRetryAfter)));
    return actions;
  }
  bool isBusy =
      now < gate.HoldUntil || isSerializedBusy(gate, service, ticket, now);
  GateEndpoint *endpoint = isBusy || service.Queue.size() > 0
                               ? nullptr
                               : chooseEndpoint(gate, service, ticket, now);
  if (endpoint) {
    assign(gate, service, *endpoint, ticket, now, actions);
    return actions;
  }
  if (isOnlyTrials(gate, ticket.Service)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::NoEndpoint, "the endpoint is on trial",
                  toMillis(EmptyServiceRetry)));
    return actions;
  }
  if (ticket.OnlyIfFree) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::SlotTaken, "no free slot", Millis{0}));
    return actions;
  }
  int slots = slotsForClass(gate, service, ticket, now);
  if (auto fault = admissionFault(gate, service, ticket, slots, now)) {
    refuse(actions, ticket.AttemptId, std::move(*fault));
    return actions;
  }
  gate.Ledger.noteWaiting(ticket.AttemptId, forgetAt(ticket));
  auto share = service.Shares.find(ticket.Workspace);
  service.Queue.push(ticket, share == service.Shares.end() ? 1 : share->second);
  dispatch(gate, ticket.Service, now, actions);
  return actions;
}

GateActions claim(Gate &gate, const std::string &attempt, Instant now) {
  GateActions actions;
  noticePause(gate, now);
  auto held = gate.Held.find(attempt);
  if (held != gate.Held.end() && now >= gate.HoldUntil) {
    GateEndpoint &endpoint = gate.Endpoints.at(held->second);
    auto holder = std::ranges::find_if(endpoint.Holders, [&](const auto &it) {
      return it.Request.AttemptId == attempt;
    });
    bool isWaiting = holder != endpoint.Holders.end() && !holder->IsStarted;
    const GateService &service = gate.Services[endpoint.Facts.Service];
    if (isWaiting && isOutOfPlace(gate, service, holder->Request, now)) {
      GateEndpoint *unused = nullptr;
      release(gate, attempt, unused);
      refuse(actions, attempt, outOfPlace());
      return actions;
    }
    if (isWaiting) {
      start(gate, endpoint, *holder, now, actions);
      return actions;
    }
  }
  refuse(actions, attempt,
         notRun(ErrorKind::GrantLapsed, "no slot is held", Millis{0}));
  return actions;
}

GateActions cancel(Gate &gate, const std::string &attempt, Instant now) {
  GateActions actions;
  for (auto &[name, service] : gate.Services)
    if (service.Queue.remove(attempt))
      return actions;
  auto held = gate.Held.find(attempt);
  if (held == gate.Held.end())
    return actions;
  const GateEndpoint &endpoint = gate.Endpoints.at(held->second);
  bool isStarted = std::ranges::any_of(endpoint.Holders, [&](const auto &it) {
    return it.Request.AttemptId == attempt && it.IsStarted;
  });
  if (isStarted) {
    actions.push_back(AbortAction{
        attempt, makeError(ErrorKind::Cancelled, "the caller went away")});
    return actions;
  }
  std::string service = endpoint.Facts.Service;
  GateEndpoint *unused = nullptr;
  release(gate, attempt, unused);
  dispatch(gate, service, now, actions);
  return actions;
}

GateActions complete(Gate &gate, const std::string &attempt,
                     AttemptOutcome outcome, Instant now) {
  GateActions actions;
  GateEndpoint *endpoint = nullptr;
  auto holder = release(gate, attempt, endpoint);
  gate.Ledger.noteFinished(attempt);
  if (!holder)
    return actions;
  std::string service = endpoint->Facts.Service;
  noteOutcome(gate, *endpoint, *holder, outcome, now, actions);
  judge(gate, *endpoint, now, actions);
  handBackWaiting(gate, service, actions);
  dispatch(gate, service, now, actions);
  return actions;
}

StartState revoke(Gate &gate, const std::string &attempt, Instant forgetAt,
                  Instant now, GateActions &actions) {
  StartState state = gate.Ledger.revoke(attempt, forgetAt);
  if (state != StartState::Fenced)
    return state;
  GateActions more = cancel(gate, attempt, now);
  std::ranges::move(more, std::back_inserter(actions));
  return state;
}

GateActions setEjection(Gate &gate, const std::string &endpoint,
                        std::optional<Instant> until, Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end())
    return actions;
  GateEndpoint &target = it->second;
  bool isIll =
      target.State == Standing::Suspect || target.State == Standing::Ejected;
  if (!isIll)
    return actions;
  target.EjectedUntil = until;
  Instant since = target.StateSince;
  if (until && now < *until)
    setStanding(target, Standing::Ejected, "lease granted", now, actions);
  else
    setStanding(target, Standing::Suspect, "lease ended", now, actions);
  target.StateSince = since;
  emptyQueue(gate, target.Facts.Service, now, actions);
  return actions;
}

GateActions tick(Gate &gate, Instant now) {
  GateActions actions;
  noticePause(gate, now);
  gate.TickDue = now + TickPeriod;
  for (auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.State == Standing::Ejected && !isEjected(endpoint, now))
      setStanding(endpoint, Standing::Suspect, "lease ended", now, actions);
    expireHolders(gate, endpoint, now, actions);
    judge(gate, endpoint, now, actions);
    considerTrial(gate, endpoint, now, actions);
    if (endpoint.State == Standing::Healthy &&
        now - endpoint.StateSince > RelapseMemory)
      endpoint.Relapses = 0;
  }
  std::erase_if(gate.Endpoints, [&](const auto &it) {
    return it.second.Holders.empty() &&
           now - it.second.LastHeard > ForgetSilentAfter;
  });
  for (auto &[name, service] : gate.Services) {
    std::erase_if(service.SettleUntil, [&](const auto &it) {
      return now - it.second > SettleMemory;
    });
    expireQueue(service, now, actions);
    handBackWaiting(gate, name, actions);
    emptyQueue(gate, name, now, actions);
    dispatch(gate, name, now, actions);
  }
  std::erase_if(gate.Departed,
                [&](const auto &it) { return it.second.ForgetAt <= now; });
  gate.Ledger.forget(now);
  expireCrashes(gate.Crashes, now);
  return actions;
}

GateActions drain(Gate &gate, Instant now) {
  GateActions actions;
  gate.IsDraining = true;
  for (auto &[name, service] : gate.Services)
    emptyQueue(gate, name, now, actions);
  return actions;
}

GateLoad loadOf(const Gate &gate, const std::string &service, Instant now) {
  GateLoad load;
  for (const auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Facts.Service != service)
      continue;
    if (takesWork(endpoint, now) && !gate.IsDraining)
      load.FreeSlots += freeSlots(endpoint);
  }
  load.Slots = slotsInRotation(gate, service, now);
  auto it = gate.Services.find(service);
  if (it != gate.Services.end())
    load.Queued = int(it->second.Queue.size());
  return load;
}

bool isIdle(const Gate &gate) {
  return std::ranges::all_of(
             gate.Endpoints,
             [](const auto &it) { return it.second.Holders.empty(); }) &&
         std::ranges::all_of(gate.Services, [](const auto &it) {
           return it.second.Queue.size() == 0;
         });
}

} // namespace hickoryglade
