#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/servicepolicy.h"

#include <string>

namespace hickoryglade {

/// What a gate has seen of an endpoint, first hand.
struct EndpointEvidence {
  int Running = 0;
  /// Running requests that have taken much longer than entries have seen
  /// such requests take anywhere in the fleet.
  int Overdue = 0;
  /// Greatest time by which a running request has passed its expected time.
  Micros MaxOverdue{0};
  Micros SinceCompletion{0};
  /// Log of how much likelier the running requests' silence is of an endpoint
  /// that hangs on most of its work than of one that is well.
  double HangLogOdds = 0;
  int ConsecutiveFailures = 0;
  /// Refusals in a row though the endpoint had a slot free.
  int ConsecutiveSheds = 0;
  /// False once nothing has been found listening at its address.
  bool IsListening = true;

  bool operator==(const EndpointEvidence &) const = default;
};

enum class HealthVerdict { Healthy, Doubtful, Unhealthy };

struct HealthAssessment {
  HealthVerdict Verdict = HealthVerdict::Healthy;
  std::string Reason;
  /// Its overdue idempotent work is better run elsewhere until it answers.
  bool IsHanging = false;

  bool operator==(const HealthAssessment &) const = default;
};

/// Judges evidence. Registered under the names that settings use.
struct HealthPolicy {
  HealthAssessment (*Assess)(const EndpointEvidence &evidence,
                             const ServicePolicy &policy);
};

} // namespace hickoryglade
