#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/overload/shedcomparison.h"
#include "libhickoryglade/registry.h"

#include <cmath>

/// Assesses an endpoint passively, by its real requests: compares their run
/// times with those of the same class of request at its peers.

namespace hickoryglade {

namespace {

constexpr int UnhealthyThreshold = 6;

bool isStalled(const EndpointEvidence &it, const ServicePolicy &policy) {
  return it.Overdue > 0 && it.SinceCompletion > policy.StallAfter;
}

/// One slow request alone is no proof of a stall. It is confirmed if all of
/// several running requests are overdue, or if one is overdue by more than the
/// stall time again.
bool isStallConfirmed(const EndpointEvidence &it, const ServicePolicy &policy) {
  bool isAllOverdue = it.Overdue == it.Running && it.Overdue > 1;
  return isAllOverdue || it.MaxOverdue > policy.StallAfter;
}

std::string shedReason(const EndpointEvidence &it) {
  std::string reason = "sheds with slots free";
  if (it.ServiceShedShare)
    reason += ", " + std::to_string(it.ConsecutiveSheds) +
              " in a row while its service sheds " +
              std::to_string(std::lround(*it.ServiceShedShare * 100)) + "%";
  return reason;
}

HealthAssessment assessByPeers(const EndpointEvidence &evidence,
                               const ServicePolicy &policy) {
  if (evidence.ConsecutiveFailures >= UnhealthyThreshold)
    return {HealthVerdict::Unhealthy, "fails every request"};
  if (isStalled(evidence, policy) && isStallConfirmed(evidence, policy))
    return {HealthVerdict::Unhealthy,
            "stalls while its peers complete such work"};
  if (!evidence.IsListening)
    return {HealthVerdict::Doubtful, "does not listen"};
  if (evidence.ConsecutiveFailures >= policy.FailuresForDoubt)
    return {HealthVerdict::Doubtful, "failed requests in a row"};
  if (evidence.ConsecutiveSheds >=
      rareShedRun(evidence.ServiceShedShare, policy.ShedsForDoubt))
    return {HealthVerdict::Doubtful, shedReason(evidence), false, true};
  if (isStalled(evidence, policy))
    return {HealthVerdict::Doubtful, "completes nothing"};
  return {};
}

const Registrar<HealthPolicy> Registered("peer_comparison", {assessByPeers});

} // namespace

} // namespace hickoryglade
