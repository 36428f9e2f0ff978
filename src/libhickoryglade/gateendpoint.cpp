#include "libhickoryglade/gateendpoint.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A freshly started endpoint is allowed slow first answers.
constexpr int WarmCompletions = 3;
constexpr int ColdAllowance = 3;

/// Bounds the shift; the policy bounds the rest itself.
constexpr int MostDoublings = 16;

Micros overdueBy(const GateEndpoint &endpoint, const SlotHolder &holder,
                 const ServicePolicy &policy, Instant now) {
  Micros allowed = std::max<Micros>(
      policy.StallAfter, OverdueFactor * holder.Request.ExpectedCost);
  if (endpoint.Completions < WarmCompletions)
    allowed *= ColdAllowance;
  return std::max(now - holder.Since - allowed, Micros{0});
}

} // namespace

int freeSlots(const GateEndpoint &endpoint) {
  return std::max(endpoint.Facts.Slots - int(endpoint.Holders.size()), 0);
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
    if (!holder.IsStarted)
      continue;
    ++evidence.Running;
    oldestStart = std::min(oldestStart, holder.Since);
    Micros overdue = overdueBy(endpoint, holder, policy, now);
    evidence.Overdue += overdue > Micros{0};
    evidence.MostOverdue = std::max(evidence.MostOverdue, overdue);
  }
  if (evidence.Running > 0)
    evidence.SinceCompletion = now - std::max(idleSince, oldestStart);
  return evidence;
}

Micros restBeforeTrial(const ServicePolicy &policy, int relapses) {
  Micros rest = policy.FirstRest * (1 << std::min(relapses, MostDoublings));
  return std::min<Micros>(rest, policy.MostRest);
}

} // namespace hickoryglade
