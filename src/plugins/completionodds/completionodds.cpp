#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/registry.h"

/// Judges like the comparison with peers, and besides doubts an endpoint as
/// soon as the silence of its running requests is much likelier of one that
/// hangs on most of its work. For services whose requests take a second or
/// more: six times their run time, after which the comparison takes a request
/// for overdue, would be past their target latency.

namespace hickoryglade {

namespace {

/// Seven to one, as a log. A wrong doubt ends with the next completion.
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
