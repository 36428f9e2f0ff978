#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Refuses a request whose expected wait and run time do not fit into the
/// time it has left.

namespace hickoryglade {

namespace {

/// Margin on the expected wait, in percent, for the spread of run times.
constexpr int WaitMarginPercent = 125;

AdmissionAnswer admitByDeadline(const AdmissionQuestion &question) {
  Micros wait = question.CostAhead / std::max(question.Slots, 1);
  bool isInTime =
      wait * WaitMarginPercent / 100 + question.Cost <= question.TimeLeft;
  bool hasRoom = question.Queued < question.QueueLimit;
  return {isInTime && hasRoom && wait <= question.MaxWait, wait};
}

const Registrar<AdmissionPolicy> Registered("deadline", {admitByDeadline});

} // namespace

} // namespace hickoryglade
