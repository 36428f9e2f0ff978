#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/servicepolicy.h"

#include <optional>
#include <string>

namespace hickoryglade {

/// A gate's own observations of an endpoint, input of a health policy.
struct EndpointEvidence {
  int Running = 0;
  /// Running requests that have taken much longer than such requests take
  /// elsewhere in the fleet.
  int Overdue = 0;
  /// Longest time by which a running request is overdue.
  Micros MaxOverdue{0};
  Micros SinceCompletion{0};
  /// Log-likelihood ratio of the running requests' lack of answers: of an
  /// endpoint that hangs on most requests against a healthy one.
  double HangLogOdds = 0;
  int ConsecutiveFailures = 0;
  /// Consecutive refusals by the endpoint although it had a free slot.
  int ConsecutiveSheds = 0;
  /// Share of arrivals that the service's endpoints shed, from 0 to 1; nothing
  /// if it is unknown or the settings do not ask for the comparison.
  std::optional<double> ServiceShedShare;
  /// False after an attempt found nothing listening at its address.
  bool IsListening = true;

  bool operator==(const EndpointEvidence &) const = default;
};

enum class HealthVerdict { Healthy, Doubtful, Unhealthy };

struct HealthAssessment {
  HealthVerdict Verdict = HealthVerdict::Healthy;
  std::string Reason;
  /// True if its overdue idempotent requests should be retried elsewhere.
  bool IsHanging = false;
  /// True for doubt because of sheds, which may turn out to be usual.
  bool IsForSheds = false;

  bool operator==(const HealthAssessment &) const = default;
};

/// Assesses an endpoint's health from evidence. Policies are registered under
/// the names that the settings use.
struct HealthPolicy {
  HealthAssessment (*Assess)(const EndpointEvidence &evidence,
                             const ServicePolicy &policy);
};

} // namespace hickoryglade
