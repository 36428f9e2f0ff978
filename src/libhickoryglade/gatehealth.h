#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Time in good standing after which the count of relapses is reset.
constexpr Micros RelapseWindow = std::chrono::seconds(60);

/// Sets an endpoint's standing and reports it if it differs from the old one.
void setStanding(GateEndpoint &endpoint, Standing state, std::string reason,
                 Instant now, GateActions &actions);

/// Reports a run to its entry, unless this was done a moment ago.
void reportToEntry(SlotHolder &holder, std::optional<Micros> endsIn,
                   Instant now, GateActions &actions);

/// Runs the health policy and applies its verdict.
void assessHealth(Gate &gate, GateEndpoint &endpoint, Instant now,
                  GateActions &actions);

/// Assesses the endpoints of a service that are suspect for their sheds, since
/// a ticket may have shown that the whole service sheds.
void reviewShedDoubts(Gate &gate, const std::string &service, Instant now,
                      GateActions &actions);

/// Puts an ejected or suspect endpoint on trial once its time without traffic
/// is over. An endpoint on trial that receives no request for TrialIdleTimeout
/// becomes healthy, since its service may have no idempotent requests.
void considerTrial(const Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions);

/// Updates an endpoint's health data with the outcome of an attempt.
void noteOutcome(Gate &gate, GateEndpoint &endpoint, const SlotHolder &holder,
                 AttemptOutcome outcome, Instant now, GateActions &actions);

/// Resets the health data of an endpoint whose process has been restarted.
void replaceIncarnation(Gate &gate, GateEndpoint &endpoint,
                        GateActions &actions, Instant now);

} // namespace hickoryglade
