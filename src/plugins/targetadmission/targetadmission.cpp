#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Refuses a request whose answer would come later than the service's target
/// latency, though it may still be in time. For services whose late answers are
/// worth nothing.

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
