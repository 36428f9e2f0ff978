#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Time until which late copies of an attempt must be recognized.
Instant ledgerExpiry(const Ticket &ticket);

/// Assigns a slot to a request: starts it, or grants the slot until its body
/// arrives.
void assign(Gate &gate, GateService &service, GateEndpoint &endpoint,
            const Ticket &ticket, Instant now, GateActions &actions);

/// Starts the request that holds a slot, unless it has been fenced.
void start(Gate &gate, GateEndpoint &endpoint, SlotHolder &holder, Instant now,
           GateActions &actions);

/// Records the wait of a request, whether it got a slot or not.
void noteWait(GateService &service, const Ticket &ticket, Instant now);

/// Adds an admitted request to the queue of its service.
void enqueue(GateService &service, Ticket ticket);

/// Assigns free slots to waiting requests.
void dispatch(Gate &gate, const std::string &name, Instant now,
              GateActions &actions);

/// Starts a request although others wait, if the queue order and the reserved
/// slots let it take a free slot before them.
bool startsPastQueue(Gate &gate, GateService &service, const Ticket &ticket,
                     Instant now, GateActions &actions);

/// Releases an attempt's slot; returns nothing if it holds none.
std::optional<SlotHolder> release(Gate &gate, const std::string &attempt,
                                  GateEndpoint *&endpoint);

/// Refuses granted requests whose body did not arrive in time, and aborts
/// running requests that are past their deadline.
void expireHolders(Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions);

/// Refuses waiting requests whose deadline has passed.
void expireQueue(GateService &service, Instant now, GateActions &actions);

/// Refuses all waiting requests of a service that has no endpoint left here, or
/// if the gate is draining.
void flushIfNoEndpoint(Gate &gate, const std::string &name, Instant now,
                       GateActions &actions);

/// Refuses waiting requests for which every endpoint here is doubtful, so that
/// their entries choose another gate.
void flushIfDoubtful(Gate &gate, const std::string &name, GateActions &actions);

} // namespace hickoryglade
