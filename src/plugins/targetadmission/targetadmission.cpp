#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Refuses a request whose answer would exceed the service's target latency,
/// even if it would meet its deadline. For services whose late answers are
/// useless to callers.

namespace hickoryglade {

namespace {

AdmissionDecision admitByTarget(const AdmissionInput &input) {
  Micros wait = input.CostAhead / std::max(input.Slots, 1);
  Micros limit = std::min(input.TargetLatency, input.TimeLeft);
  bool hasRoom = input.Queued < input.QueueLimit;
  return {hasRoom && wait + input.Cost <= limit, wait};
}

const Registrar<AdmissionPolicy> Registered("target", {admitByTarget});

} // namespace

} // namespace hickoryglade
