#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// True while an endpoint announces itself often enough.
bool isAnnounced(const GateEndpoint &endpoint, Instant now);

/// True while an ejection lease holds.
bool isEjected(const GateEndpoint &endpoint, Instant now);

/// True if a slot of the endpoint could take some request.
bool takesWork(const GateEndpoint &endpoint, Instant now);

/// Slots that long requests may hold while short ones wait.
int longCap(const GateEndpoint &endpoint, const ServicePolicy &policy);

/// An entry that does not know yet that an endpoint is doubtful has better
/// choices.
bool isDoubtfulFor(const GateEndpoint &endpoint, const GateService &service,
                   const Ticket &ticket);

/// True if the running work of every endpoint here is silent for so long that a
/// request that may run only once had better go elsewhere.
bool isEveryEndpointSilent(const Gate &gate, const GateService &service,
                           const Ticket &ticket, Instant now);

/// True if this request may take a slot of the endpoint.
bool mayTake(const GateEndpoint &endpoint, const GateService &service,
             const Ticket &ticket, Instant now);

/// Prefers the healthy, then the emptiest endpoint.
GateEndpoint *chooseEndpoint(Gate &gate, const GateService &service,
                             const Ticket &ticket, Instant now);

/// Slots that requests of a class can count on in the long run.
int slotsForClass(const Gate &gate, const GateService &service,
                  const Ticket &ticket, Instant now);

/// Slots of all endpoints that are not ejected or leaving.
int slotsInRotation(const Gate &gate, const std::string &service, Instant now);

/// No request waits behind an endpoint that takes one at a time.
bool isEveryEndpointOnTrial(const Gate &gate, const std::string &service);

/// True if every endpoint here is doubtful and the request's entry does not
/// know.
bool isEveryEndpointDoubtful(const Gate &gate, const GateService &service,
                             const Ticket &ticket);

} // namespace hickoryglade
