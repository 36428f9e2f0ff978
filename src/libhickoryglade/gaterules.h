#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// True while the latest announcement is within the announcement limit.
bool isAnnounced(const GateEndpoint &endpoint, Instant now);

/// True while an ejection lease is in force.
bool isEjected(const GateEndpoint &endpoint, Instant now);

/// True for an endpoint of the service that is neither ejected, draining nor
/// silent.
bool isInRotation(const GateEndpoint &endpoint, const std::string &service,
                  Instant now);

/// True if the endpoint can take at least one more request.
bool takesWork(const GateEndpoint &endpoint, Instant now);

/// Number of slots that long requests may hold while short ones wait.
int longCap(const GateEndpoint &endpoint, const ServicePolicy &policy);

/// True if the endpoint is doubtful and the request should go to another gate:
/// its entry does not know of the doubt yet, or spills over to an endpoint that
/// fails most requests.
bool isDoubtfulFor(const GateEndpoint &endpoint, const GateService &service,
                   const Ticket &ticket);

/// True if a request that must not be repeated should go to another gate, since
/// every endpoint here has had requests running for suspiciously long.
bool isEveryEndpointSilent(const Gate &gate, const GateService &service,
                           const Ticket &ticket, Instant now);

/// True if the endpoint has a slot that this request may take.
bool mayTake(const GateEndpoint &endpoint, const GateService &service,
             const Ticket &ticket, Instant now);

/// Chooses a healthy endpoint before a suspect one, then the one with the most
/// free slots; nullptr if there is none.
GateEndpoint *chooseEndpoint(Gate &gate, const GateService &service,
                             const Ticket &ticket, Instant now);

/// True if an endpoint has a slot that the request may not take only because it
/// is reserved for more urgent ones.
bool isHeldByReserve(const Gate &gate, const GateService &service,
                     const Ticket &ticket, Instant now);

/// Total number of slots that requests of the ticket's class may hold.
int slotsForClass(const Gate &gate, const GateService &service,
                  const Ticket &ticket, Instant now);

/// Total number of slots of endpoints in rotation.
int slotsInRotation(const Gate &gate, const std::string &service, Instant now);

/// True if every endpoint here is on trial or draining. No request waits for an
/// endpoint on trial, which takes one request at a time.
bool isEveryEndpointOnTrial(const Gate &gate, const std::string &service);

/// True if isDoubtfulFor holds for every endpoint here that is not draining.
bool isEveryEndpointDoubtful(const Gate &gate, const GateService &service,
                             const Ticket &ticket);

} // namespace hickoryglade
