#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

/// Refuses a request whose expected wait and run time exceed the time left
/// until its deadline.

namespace hickoryglade {

namespace {

/// Factor on the expected wait, in percent, as a margin for the variance of run
/// times.
constexpr int WaitMarginPercent = 125;

AdmissionDecision admitByDeadline(const AdmissionInput &input) {
  Micros wait = input.CostAhead / std::max(input.Slots, 1);
  bool isInTime = wait * WaitMarginPercent / 100 + input.Cost <= input.TimeLeft;
  bool hasRoom = input.Queued < input.QueueLimit;
  return {isInTime && hasRoom && wait <= input.MaxWait, wait};
}

const Registrar<AdmissionPolicy> Registered("deadline", {admitByDeadline});

} // namespace

} // namespace hickoryglade
