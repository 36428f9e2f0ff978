#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Until when late copies of an attempt must be recognized.
Instant forgetAt(const Ticket &ticket);

/// Gives a slot to a request: starts it, or grants the slot to its body.
void assign(Gate &gate, GateService &service, GateEndpoint &endpoint,
            const Ticket &ticket, Instant now, GateActions &actions);

/// Sends the request of a held slot off, unless it has been fenced.
void start(Gate &gate, GateEndpoint &endpoint, SlotHolder &holder, Instant now,
           GateActions &actions);

/// Gives free slots to waiting requests.
void dispatch(Gate &gate, const std::string &name, Instant now,
              GateActions &actions);

/// Releases an attempt's slot; returns nothing if it holds none.
std::optional<SlotHolder> release(Gate &gate, const std::string &attempt,
                                  GateEndpoint *&endpoint);

/// Ends grants whose body did not come, and runs past their deadline.
void expireHolders(Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions);

/// Refuses waiting requests whose deadline has passed.
void expireQueue(GateService &service, Instant now, GateActions &actions);

/// Waiting requests leave a gate that has no endpoint for them any more.
void flushIfNoEndpoint(Gate &gate, const std::string &name, Instant now,
                       GateActions &actions);

/// Waiting requests whose entries do not know that the gate's endpoint has
/// become doubtful are better served elsewhere.
void flushIfDoubtful(Gate &gate, const std::string &name, GateActions &actions);

} // namespace hickoryglade
