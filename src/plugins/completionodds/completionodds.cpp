#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/registry.h"

/// Extends the peer comparison by a likelihood-ratio test: an endpoint is also
/// doubtful as soon as its running requests make it much likelier that it hangs
/// on most requests than that it is healthy. For services whose requests take a
/// second or more: the peer comparison regards a request as overdue after six
/// times its run time, which would be past their target latency.

namespace hickoryglade {

namespace {

/// Log of odds of seven to one. A low bound suffices, since a false alarm ends
/// with the next completion.
constexpr double DoubtfulLogOdds = 2.0;

HealthAssessment assessByOdds(const EndpointEvidence &evidence,
                              const ServicePolicy &policy) {
  const auto *peers =
      Registry<HealthPolicy>::instance().find("peer_comparison");
  HealthAssessment assessment =
      peers ? peers->Assess(evidence, policy) : HealthAssessment{};
  if (evidence.HangLogOdds < DoubtfulLogOdds)
    return assessment;
  if (assessment.Verdict == HealthVerdict::Healthy)
    assessment = {HealthVerdict::Doubtful, "hangs on running requests", false};
  assessment.IsHanging = true;
  return assessment;
}

const Registrar<HealthPolicy> Registered("completion_odds", {assessByOdds});

} // namespace

} // namespace hickoryglade
