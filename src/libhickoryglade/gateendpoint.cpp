#include "libhickoryglade/gateendpoint.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A freshly started endpoint is allowed slow first answers.
constexpr int WarmCompletions = 3;
constexpr int ColdAllowance = 3;

/// How much slower a freshly started endpoint usually is.
constexpr int ColdSlowdown = 2;

/// Bounds the shift; the policy bounds the rest itself.
constexpr int MaxDoublings = 16;

Micros overdueBy(const GateEndpoint &endpoint, const SlotHolder &holder,
                 const ServicePolicy &policy, Instant now) {
  Micros allowed = std::max<Micros>(
      policy.StallAfter, OverdueFactor * holder.Request.ExpectedCost);
  if (endpoint.Completions < WarmCompletions)
    allowed *= ColdAllowance;
  return std::max(now - holder.Since - allowed, Micros{0});
}

/// Log of how much likelier it is of an endpoint that hangs on three quarters
/// of its work that a request still runs, at a multiple of its expected time:
/// run times of a class are spread by half, and one in 30 takes far longer.
double hangLogOddsOf(double multiple) {
  constexpr double leastMultiple = 0.55;
  constexpr double perMultiple = 1.4;
  constexpr double most = 3.2;
  return std::clamp((multiple - leastMultiple) * perMultiple, 0.0, most);
}

/// By how much a completion speaks against a hang: the log of four, since such
/// an endpoint completes one request in four.
constexpr double CompletionLogOdds = 1.4;

constexpr std::size_t MaxCompleted = 16;

double hangLogOdds(const GateEndpoint &endpoint, Instant now) {
  double odds = 0;
  Instant oldest = now;
  int cold = endpoint.Completions < WarmCompletions ? ColdSlowdown : 1;
  for (const SlotHolder &it : endpoint.Holders) {
    if (!it.IsStarted || it.Since < endpoint.EvidenceSince ||
        it.Request.ExpectedCost == Micros{0})
      continue;
    odds += hangLogOddsOf(double((now - it.Since).count()) /
                          double(it.Request.ExpectedCost.count() * cold));
    oldest = std::min(oldest, it.Since);
  }
  auto later = std::ranges::count_if(endpoint.Completed,
                                     [&](Instant it) { return it >= oldest; });
  return odds - CompletionLogOdds * double(later);
}

/// Multiple of its expected time after which a request of a hanging endpoint
/// is given to another, and the time that it needs there.
constexpr int RetryElsewhereFactor = 2;
constexpr double RetryTimeFactor = 1.25;

} // namespace

void noteCompletion(GateEndpoint &endpoint, Instant now) {
  endpoint.LastCompletion = now;
  endpoint.Completed.push_back(now);
  if (endpoint.Completed.size() > MaxCompleted)
    endpoint.Completed.pop_front();
}

bool hasStartedSinceChange(const GateEndpoint &endpoint) {
  return std::ranges::any_of(endpoint.Holders, [&](const SlotHolder &it) {
    return it.Since >= endpoint.StateSince;
  });
}

bool shouldRetryElsewhere(const SlotHolder &holder, const ServicePolicy &policy,
                          Instant now) {
  const Ticket &ticket = holder.Request;
  Micros usual = RetryElsewhereFactor * ticket.ExpectedCost;
  bool isOverdue =
      now - holder.Since > std::max<Micros>(policy.StallAfter, usual);
  bool hasTime = ticket.Deadline - now > RetryTimeFactor * ticket.ExpectedCost;
  return ticket.IsIdempotent && !ticket.IsLastTry && isOverdue && hasTime;
}

int freeSlots(const GateEndpoint &endpoint) {
  return std::max(endpoint.Announced.Slots - int(endpoint.Holders.size()), 0);
}

int longHeld(const GateEndpoint &endpoint, Instant now, Micros longAfter) {
  return int(std::ranges::count_if(endpoint.Holders, [&](const auto &it) {
    return it.Request.IsLong || (it.IsStarted && now - it.Since > longAfter);
  }));
}

EndpointEvidence evidenceOf(const GateEndpoint &endpoint,
                            const ServicePolicy &policy, Instant now) {
  EndpointEvidence evidence;
  evidence.ConsecutiveFailures = endpoint.ConsecutiveFailures;
  evidence.ConsecutiveSheds = endpoint.ConsecutiveSheds;
  evidence.IsListening = endpoint.IsListening;
  Instant idleSince = endpoint.LastCompletion;
  Instant oldestStart = now;
  for (const SlotHolder &holder : endpoint.Holders) {
    if (!holder.IsStarted || holder.Since < endpoint.EvidenceSince)
      continue;
    ++evidence.Running;
    oldestStart = std::min(oldestStart, holder.Since);
    Micros overdue = overdueBy(endpoint, holder, policy, now);
    evidence.Overdue += overdue > Micros{0};
    evidence.MaxOverdue = std::max(evidence.MaxOverdue, overdue);
  }
  evidence.HangLogOdds = hangLogOdds(endpoint, now);
  if (evidence.Running > 0)
    evidence.SinceCompletion = now - std::max(idleSince, oldestStart);
  return evidence;
}

Micros restBeforeTrial(const ServicePolicy &policy, int relapses) {
  Micros rest = policy.FirstRest * (1 << std::min(relapses, MaxDoublings));
  return std::min<Micros>(rest, policy.MostRest);
}

} // namespace hickoryglade
