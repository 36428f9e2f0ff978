#include "libhickoryglade/gateendpoint.h"

#include <algorithm>
#include <cmath>

namespace hickoryglade {

namespace {

/// Until an endpoint has completed this many requests after its start, its
/// answers may take longer by the factor below.
constexpr int WarmCompletions = 3;
constexpr int ColdAllowance = 3;

/// Factor by which a freshly started endpoint is usually slower.
constexpr int ColdSlowdown = 2;

/// Keeps the shift from overflowing; MostRest bounds the time without traffic.
constexpr int MaxDoublings = 16;

Micros overdueBy(const GateEndpoint &endpoint, const SlotHolder &holder,
                 const ServicePolicy &policy, Instant now) {
  Micros allowed = std::max<Micros>(
      policy.StallAfter, OverdueFactor * holder.Request.ExpectedCost);
  if (endpoint.Completions < WarmCompletions)
    allowed *= ColdAllowance;
  return std::max(now - holder.Since - allowed, Micros{0});
}

/// Log-likelihood ratio of a request that still runs at a multiple of its
/// expected time: of an endpoint that hangs on three quarters of its requests
/// against a healthy one. It assumes that run times of a class spread by half,
/// and that one request in 30 takes far longer.
double hangLogOddsOf(double multiple) {
  constexpr double leastMultiple = 0.55;
  constexpr double perMultiple = 1.4;
  constexpr double most = 3.2;
  return std::clamp((multiple - leastMultiple) * perMultiple, 0.0, most);
}

/// Evidence of a completion against a hang: the log of four, since an endpoint
/// that hangs on three quarters of its requests completes one in four.
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

/// Multiple of its expected run time after which a request at a hanging
/// endpoint is retried elsewhere, and the multiple that the retry needs.
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
  bool mayRetry = ticket.DecidesRetry || !ticket.IsLastTry;
  return ticket.IsIdempotent && mayRetry && isOverdue && hasTime;
}

int freeSlots(const GateEndpoint &endpoint) {
  return std::max(endpoint.Announced.Slots - int(endpoint.Holders.size()), 0);
}

int grantedSlots(const GateEndpoint &endpoint) {
  return int(
      std::ranges::count(endpoint.Holders, false, &SlotHolder::IsStarted));
}

int openSlots(const GateEndpoint &endpoint, Instant now) {
  int slots = freeSlots(endpoint);
  if (!endpoint.Limit)
    return slots;
  double tokens = tokensAt(endpoint.Limit->Tokens, now);
  double open = std::floor(tokens) - grantedSlots(endpoint);
  return int(std::clamp(open, 0.0, double(slots)));
}

Micros limitWaitOf(const GateEndpoint &endpoint, Instant now) {
  if (!endpoint.Limit)
    return Micros{0};
  const TokenBucket &bucket = endpoint.Limit->Tokens;
  double missing = 1 + grantedSlots(endpoint) - tokensAt(bucket, now);
  std::chrono::duration<double> wait(missing / bucket.PerSecond);
  return std::max(std::chrono::duration_cast<Micros>(wait), Micros{0});
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
