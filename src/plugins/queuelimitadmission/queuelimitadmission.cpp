#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Admits every request while the queue is below its limit. Serves as the
/// baseline in measurements of the deadline policy.

namespace hickoryglade {

namespace {

AdmissionDecision admitByLength(const AdmissionInput &input) {
  Micros wait = input.CostAhead / std::max(input.Slots, 1);
  return {input.Queued < input.QueueLimit, wait};
}

const Registrar<AdmissionPolicy> Registered("queue_limit", {admitByLength});

} // namespace

} // namespace hickoryglade
