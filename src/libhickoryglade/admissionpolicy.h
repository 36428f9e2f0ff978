#pragma once

#include "libhickoryglade/instant.h"

#include <cstddef>

namespace hickoryglade {

/// State of a gate's queue when a request arrives.
struct AdmissionInput {
  std::size_t Queued = 0;
  std::size_t QueueLimit = 0;
  /// Slots of the service's endpoints that take work at this gate.
  int Slots = 0;
  /// Slot time of the waiting requests that would run before this one.
  Micros CostAhead{0};
  /// Slot time that this request is expected to take.
  Micros Cost{0};
  Micros TimeLeft{0};
  /// Longest wait that the settings allow.
  Micros MaxWait{0};
  /// Time within which an answer has its full value.
  Micros TargetLatency{0};
};

struct AdmissionDecision {
  bool IsAdmitted = true;
  Micros ExpectedWait{0};

  bool operator==(const AdmissionDecision &) const = default;
};

/// Decides whether a request may wait. Registered under the names that
/// settings use.
struct AdmissionPolicy {
  AdmissionDecision (*Admit)(const AdmissionInput &input);
};

} // namespace hickoryglade
