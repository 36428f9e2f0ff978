#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Refuses a request whose answer would come later than the service's target
/// latency, though it may still be in time. For services whose late answers are
/// worth nothing.

namespace hickoryglade {

namespace {

AdmissionAnswer admitByTarget(const AdmissionQuestion &question) {
  Micros wait = question.CostAhead / std::max(question.Slots, 1);
  Micros limit = std::min(question.TargetLatency, question.TimeLeft);
  bool hasRoom = question.Queued < question.QueueLimit;
  return {hasRoom && wait + question.Cost <= limit, wait};
}

const Registrar<AdmissionPolicy> Registered("target", {admitByTarget});

} // namespace

} // namespace hickoryglade
