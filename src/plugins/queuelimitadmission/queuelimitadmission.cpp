#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Admits every request while the queue is short enough. The baseline that
/// the deadline policy is measured against.

namespace hickoryglade {

namespace {

AdmissionAnswer admitByLength(const AdmissionQuestion &question) {
  Micros wait = question.CostAhead / std::max(question.Slots, 1);
  return {question.Queued < question.QueueLimit, wait};
}

const Registrar<AdmissionPolicy> Registered("queue_limit", {admitByLength});

} // namespace

} // namespace hickoryglade
