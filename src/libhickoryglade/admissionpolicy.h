#pragma once

#include "libhickoryglade/instant.h"

#include <cstddef>

namespace hickoryglade {

/// State of a gate's queue when a request arrives.
struct AdmissionInput {
  std::size_t Queued = 0;
  std::size_t QueueLimit = 0;
  /// Slots of this gate's endpoints that requests of this class may hold.
  int Slots = 0;
  /// Slot time of the running and waiting requests ahead of this one.
  Micros CostAhead{0};
  /// Expected slot time of this request.
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

/// Decides whether a request may wait. Policies are registered under the names
/// that the settings use.
struct AdmissionPolicy {
  AdmissionDecision (*Admit)(const AdmissionInput &input);
};

} // namespace hickoryglade
