#include "libhickoryglade/gatestop.h"

#include "libhickoryglade/gatehealth.h"
#include "libhickoryglade/gatequeue.h"
#include "libhickoryglade/retry.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// Multiple of its expected run time that a run elsewhere is given, and the
/// least time.
constexpr int ReplacementFactor = 2;
constexpr Micros MinReplacementTime = std::chrono::milliseconds(500);

/// An entry that stops together with the gate ends earlier by less than this.
constexpr Micros EntryEndLead = std::chrono::milliseconds(600);

Error endError() {
  return makeError(ErrorKind::GateLost, "the node of the endpoint ends",
                   DefaultRetryAfter);
}

/// True for a run that another attempt could replace in time, but not much
/// later. Entries of earlier releases would have it ended at once.
bool isReplacementDue(const SlotHolder &holder, Instant endsAt, Instant now) {
  const Ticket &ticket = holder.Request;
  Micros needed = std::max<Micros>(ReplacementFactor * ticket.ExpectedCost,
                                   MinReplacementTime);
  return ticket.IsIdempotent && ticket.DecidesRetry &&
         now + needed + EntryEndLead >= endsAt;
}

} // namespace

GateActions drain(Gate &gate, Instant endsAt, Instant now) {
  GateActions actions;
  gate.IsDraining = true;
  gate.EndsAt = endsAt;
  for (auto &[name, service] : gate.Services)
    flushIfNoEndpoint(gate, name, now, actions);
  return actions;
}

void reviewRunsOfStop(const Gate &gate, GateEndpoint &endpoint, Instant now,
                      GateActions &actions) {
  if (!gate.EndsAt)
    return;
  for (SlotHolder &holder : endpoint.Holders) {
    if (!holder.IsStarted)
      continue;
    if (now >= *gate.EndsAt)
      actions.push_back(AbortAction{holder.Request.AttemptId, endError()});
    else if (isReplacementDue(holder, *gate.EndsAt, now))
      reportToEntry(holder, *gate.EndsAt - now, now, actions);
  }
}

} // namespace hickoryglade
