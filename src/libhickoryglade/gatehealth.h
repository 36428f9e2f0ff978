#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Uneventful time after which relapses are forgiven.
constexpr Micros RelapseWindow = std::chrono::seconds(60);

/// Changes a standing and tells of it, if it is news.
void setStanding(GateEndpoint &endpoint, Standing state, std::string reason,
                 Instant now, GateActions &actions);

/// Asks the health policy and acts on its verdict.
void assessHealth(Gate &gate, GateEndpoint &endpoint, Instant now,
                  GateActions &actions);

/// A sick endpoint that has rested may try one request. One that nobody has
/// tried for long is taken for healthy: its service may have no idempotent
/// work.
void considerTrial(const Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions);

/// Takes down what an attempt shows of its endpoint.
void noteOutcome(Gate &gate, GateEndpoint &endpoint, const SlotHolder &holder,
                 AttemptOutcome outcome, Instant now, GateActions &actions);

/// A new incarnation starts without the history of the old one.
void replaceIncarnation(Gate &gate, GateEndpoint &endpoint,
                        GateActions &actions, Instant now);

} // namespace hickoryglade
