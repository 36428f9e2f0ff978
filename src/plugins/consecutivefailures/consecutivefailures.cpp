#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/registry.h"

/// Judges an endpoint by failures in a row alone. The baseline that the
/// comparison with peers is measured against.

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
