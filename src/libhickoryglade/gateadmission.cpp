#include "libhickoryglade/gateadmission.h"

#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/gatelimit.h"
#include "libhickoryglade/gaterules.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// Time within which the crash of an endpoint by a running request is detected
/// and reported to this gate.
constexpr Micros SettleDelay = std::chrono::milliseconds(100);

int weightOf(const GateService &service, const Ticket &ticket) {
  auto share = service.Shares.find(ticket.Workspace);
  return share == service.Shares.end() ? 1 : share->second;
}

/// Slot time of running and waiting requests that delay this one. Only requests
/// of the same class count: short requests overtake waiting long ones, and long
/// ones compete only for the slots that long requests may hold.
Micros slotTimeAhead(const Gate &gate, const GateService &service,
                     const Ticket &ticket, Instant now) {
  Micros running{0};
  for (const auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Announced.Service != ticket.Service)
      continue;
    for (const SlotHolder &holder : endpoint.Holders)
      if (holder.Request.IsLong == ticket.IsLong)
        running += std::max(holder.Request.ExpectedCost - (now - holder.Since),
                            Micros{0});
  }
  return running + service.Queue.costAhead(ticket, weightOf(service, ticket),
                                           service.Policy.Order);
}

std::size_t requestsAhead(const GateService &service, const Ticket &ticket) {
  return service.Queue.countAhead(ticket, weightOf(service, ticket),
                                  service.Policy.Order);
}

/// Longest wait that the request accepts. A wait after which the answer still
/// meets its target is always accepted.
Micros longestWait(const ServicePolicy &policy, const Ticket &ticket,
                   Instant now) {
  if (ticket.MaxWait)
    return *ticket.MaxWait;
  if (!ticket.Target)
    return policy.MaxWait;
  return std::max<Micros>(policy.MaxWait,
                          *ticket.Target - now - ticket.ExpectedCost);
}

/// Part of the gate's retry budget that the request may use. The rest is kept
/// for the most urgent priority in use.
double repeatPart(const GateService &service, const Ticket &ticket,
                  Instant now) {
  bool isMostUrgent =
      countMoreUrgent(service.Priorities, ticket.Priority, 1, now) == 0;
  constexpr double percent = 100;
  return isMostUrgent ? 1 : 1 - service.Policy.RepeatReservePercent / percent;
}

} // namespace

Millis jitteredRetryAfter(Gate &gate, Micros wait) {
  Micros base = std::max(wait, MinRetryAfter);
  auto spread = uniform(gate.Rng, std::uint64_t(base.count()) + 1);
  return toMillis(base + Micros(spread));
}

void refuse(GateActions &actions, const std::string &attempt, Error reason) {
  actions.push_back(RefuseAction{attempt, std::move(reason)});
}

Error notRun(ErrorKind kind, std::string detail, Millis retryAfter) {
  return {kind, RunState::NotRun, std::move(detail), retryAfter};
}

bool isSerialized(const Gate &gate, const Ticket &ticket, Instant now) {
  return ruleFor(gate.Crashes, ticket.Fingerprint, now, ticket.KnownCrashes) ==
         QuarantineRule::Serialized;
}

bool isAtWrongGate(const Gate &gate, const GateService &service,
                   const Ticket &ticket, Instant now) {
  return service.Gates > 1 && !ticket.IsSerialized &&
         isSerialized(gate, ticket, now);
}

Error wrongGateError() {
  return notRun(ErrorKind::ContentSuspect, "its copies meet at another gate",
                Millis{0});
}

bool isSerializedBusy(const Gate &gate, GateService &service,
                      const Ticket &ticket, Instant now) {
  if (!isSerialized(gate, ticket, now))
    return false;
  auto [settle, isNew] =
      service.SettleUntil.try_emplace(ticket.Fingerprint, now + SettleDelay);
  return now < settle->second ||
         service.Serialized.contains(ticket.Fingerprint);
}

std::optional<HoldReason> holdReason(const Gate &gate,
                                     const GateService &service,
                                     const Ticket &ticket, Instant now) {
  if (isHeldByLimit(gate, service, ticket, now))
    return HoldReason::Limit;
  if (isHeldByReserve(gate, service, ticket, now))
    return HoldReason::Reserved;
  return std::nullopt;
}

std::string noSlotText(std::optional<HoldReason> hold) {
  if (!hold)
    return "no free slot";
  return *hold == HoldReason::Limit ? "held back by a limit"
                                    : "the free slots are reserved";
}

bool exceedsRepeatBudget(GateService &service, const Ticket &ticket,
                         Instant now) {
  const ServicePolicy &policy = service.Policy;
  double allowance = double(policy.RetryAllowance) / std::max(service.Gates, 1);
  return ticket.IsRepeat &&
         !service.Repeats.allowsRepeat(policy.RetryBudgetPercent, allowance,
                                       now, repeatPart(service, ticket, now));
}

std::optional<Error> admissionError(Gate &gate, GateService &service,
                                    Ticket &ticket, Instant now) {
  const auto *admission =
      Registry<AdmissionPolicy>::instance().find(service.Policy.Admission);
  if (!admission)
    return std::nullopt;
  int slots = std::max(slotsForClass(gate, service, ticket, now), 1);
  Micros ahead = slotTimeAhead(gate, service, ticket, now);
  Micros heldFor =
      limitWait(gate, ticket.Service, requestsAhead(service, ticket), now);
  bool isLimited = heldFor > ahead / slots;
  if (isLimited)
    ahead = heldFor * slots;
  ticket.EstimatedWait = ahead / slots;
  Micros maxWait = longestWait(service.Policy, ticket, now);
  AdmissionDecision decision = admission->Admit(
      {service.Queue.size(), std::size_t(service.Policy.QueueLimit), slots,
       service.Waits.correct(ticket.Priority, ahead, now), ticket.ExpectedCost,
       ticket.Deadline - now, maxWait, service.Policy.TargetLatency});
  if (decision.IsAdmitted)
    return std::nullopt;
  return notRun(isLimited ? ErrorKind::EndpointLimited : ErrorKind::Overloaded,
                "expected wait " +
                    std::to_string(toMillis(decision.ExpectedWait).count()) +
                    " ms",
                jitteredRetryAfter(gate, decision.ExpectedWait));
}

std::optional<Error> offerError(const Gate &gate, const Ticket &ticket,
                                Instant now) {
  if (gate.IsDraining)
    return notRun(ErrorKind::ShuttingDown, "the node is leaving", Millis{0});
  if (ticket.Deadline <= now)
    return notRun(ErrorKind::DeadlineExceeded, "arrived after its deadline",
                  toMillis(MinRetryAfter));
  if (gate.Ledger.stateOf(ticket.AttemptId) != StartState::Unseen)
    return notRun(ErrorKind::WrongGeneration, "the attempt is fenced",
                  Millis{0});
  if (ruleFor(gate.Crashes, ticket.Fingerprint, now, ticket.KnownCrashes) ==
      QuarantineRule::Refused)
    return notRun(
        ErrorKind::Quarantined, fingerprintName(ticket.Fingerprint),
        toMillis(remainingQuarantine(gate.Crashes, ticket.Fingerprint, now)));
  int slots = slotsInRotation(gate, ticket.Service, now);
  if (slots == 0)
    return notRun(ErrorKind::NoEndpoint, "no endpoint at this gate",
                  toMillis(NoEndpointRetryAfter));
  return std::nullopt;
}

} // namespace hickoryglade
