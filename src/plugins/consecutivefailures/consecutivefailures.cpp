#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/registry.h"

/// Assesses an endpoint by its consecutive failures alone. Serves as the
/// baseline in measurements of the peer comparison.

namespace hickoryglade {

namespace {

constexpr int UnhealthyThreshold = 5;

HealthAssessment assessByFailures(const EndpointEvidence &evidence,
                                  const ServicePolicy &) {
  if (evidence.ConsecutiveFailures >= UnhealthyThreshold)
    return {HealthVerdict::Unhealthy, "failed several requests in a row"};
  return {};
}

const Registrar<HealthPolicy> Registered("consecutive_failures",
                                         {assessByFailures});

} // namespace

} // namespace hickoryglade
