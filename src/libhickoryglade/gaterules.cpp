#include "libhickoryglade/gaterules.h"

#include "libhickoryglade/overload/slotreservation.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A long request exceeds the cap only if another slot stays free and no short
/// request waits.
bool mayHoldLong(const GateEndpoint &endpoint, const GateService &service,
                 Instant now) {
  int held = longHeld(endpoint, now, service.Policy.LongAfter);
  if (held < longCap(endpoint, service.Policy))
    return true;
  return freeSlots(endpoint) > 1 && !service.Queue.hasShort();
}

/// True if only more urgent requests hold slots of the endpoint.
bool isShutOut(const GateEndpoint &endpoint, const Ticket &ticket) {
  return std::ranges::all_of(endpoint.Holders, [&](const SlotHolder &it) {
    return it.Request.Priority < ticket.Priority;
  });
}

/// Slots of an endpoint that the request must leave free for more urgent ones.
/// An endpoint on trial takes one request at a time anyway.
int reservedAgainst(const GateEndpoint &endpoint, const GateService &service,
                    const Ticket &ticket, Instant now) {
  int percent = service.Policy.ReservedSlotsPercent;
  if (percent == 0 || endpoint.State == Standing::Trial ||
      (ticket.IsDue && isShutOut(endpoint, ticket)))
    return 0;
  return reservedSlots(endpoint.Announced.Slots, percent,
                       countMoreUrgent(service.Priorities, ticket.Priority,
                                       MaxReservingPriorities, now));
}

/// Log-odds of a hang above which an endpoint gets no requests that may run
/// only once: two to one. A low bound suffices, since a refusal costs just one
/// message to another gate.
constexpr double MaxSilentLogOdds = 0.7;

} // namespace

bool isAnnounced(const GateEndpoint &endpoint, Instant now) {
  return now - endpoint.LastAnnounced <= endpoint.AnnouncementLimit;
}

bool isEjected(const GateEndpoint &endpoint, Instant now) {
  return endpoint.EjectedUntil && now < *endpoint.EjectedUntil;
}

bool isInRotation(const GateEndpoint &endpoint, const std::string &service,
                  Instant now) {
  return endpoint.Announced.Service == service &&
         endpoint.State != Standing::Draining && isAnnounced(endpoint, now) &&
         !isEjected(endpoint, now);
}

bool takesWork(const GateEndpoint &endpoint, Instant now) {
  if (endpoint.State == Standing::Draining || !isAnnounced(endpoint, now) ||
      isEjected(endpoint, now))
    return false;
  int slots = openSlots(endpoint, now);
  return endpoint.State == Standing::Trial
             ? slots > 0 && !hasStartedSinceChange(endpoint)
             : slots > 0;
}

int longCap(const GateEndpoint &endpoint, const ServicePolicy &policy) {
  return std::max(1, endpoint.Announced.Slots * policy.LongSlotsPercent / 100);
}

bool isDoubtfulFor(const GateEndpoint &endpoint, const GateService &service,
                   const Ticket &ticket) {
  bool isDoubtful =
      endpoint.State == Standing::Suspect || endpoint.State == Standing::Trial;
  if (!isDoubtful || service.Gates <= 1)
    return false;
  bool isFailing = endpoint.State == Standing::Suspect &&
                   endpoint.FailureShare > MaxFailureShare;
  return !ticket.AcceptsDoubtful || (ticket.IsSpill && isFailing);
}

bool mayTake(const GateEndpoint &endpoint, const GateService &service,
             const Ticket &ticket, Instant now) {
  if (!takesWork(endpoint, now) || isDoubtfulFor(endpoint, service, ticket))
    return false;
  if (freeSlots(endpoint) <= reservedAgainst(endpoint, service, ticket, now))
    return false;
  bool isTrial = endpoint.State == Standing::Trial;
  // A request that hangs at an endpoint on trial must be able to be retried.
  bool suitsTrial = !ticket.IsLong && ticket.IsIdempotent && !ticket.IsLastTry;
  if (isTrial && !suitsTrial)
    return false;
  return !ticket.IsLong || mayHoldLong(endpoint, service, now);
}

bool isEveryEndpointSilent(const Gate &gate, const GateService &service,
                           const Ticket &ticket, Instant now) {
  bool isExempt = !service.Policy.AvoidsSilent || service.Gates <= 1 ||
                  ticket.IsIdempotent || ticket.AcceptsSilent;
  return !isExempt && std::ranges::all_of(gate.Endpoints, [&](const auto &it) {
    return it.second.Announced.Service != ticket.Service ||
           evidenceOf(it.second, service.Policy, now).HangLogOdds >
               MaxSilentLogOdds;
  });
}

GateEndpoint *chooseEndpoint(Gate &gate, const GateService &service,
                             const Ticket &ticket, Instant now) {
  GateEndpoint *best = nullptr;
  auto rank = [now](const GateEndpoint &it) {
    return std::pair(it.State == Standing::Suspect, -openSlots(it, now));
  };
  for (auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Announced.Service != ticket.Service ||
        !mayTake(endpoint, service, ticket, now))
      continue;
    if (!best || rank(endpoint) < rank(*best))
      best = &endpoint;
  }
  return best;
}

bool isHeldByReserve(const Gate &gate, const GateService &service,
                     const Ticket &ticket, Instant now) {
  return std::ranges::any_of(gate.Endpoints, [&](const auto &entry) {
    const GateEndpoint &it = entry.second;
    return it.Announced.Service == ticket.Service && takesWork(it, now) &&
           !isDoubtfulFor(it, service, ticket) &&
           freeSlots(it) <= reservedAgainst(it, service, ticket, now);
  });
}

int slotsForClass(const Gate &gate, const GateService &service,
                  const Ticket &ticket, Instant now) {
  int slots = 0;
  for (const auto &[name, it] : gate.Endpoints) {
    if (!isInRotation(it, ticket.Service, now))
      continue;
    int most = ticket.IsLong ? longCap(it, service.Policy) : it.Announced.Slots;
    int reserved = reservedAgainst(it, service, ticket, now);
    slots +=
        reserved > 0 ? std::min(most, it.Announced.Slots - reserved) : most;
  }
  return slots;
}

int slotsInRotation(const Gate &gate, const std::string &service, Instant now) {
  int slots = 0;
  for (const auto &[name, it] : gate.Endpoints)
    if (isInRotation(it, service, now))
      slots += it.Announced.Slots;
  return slots;
}

bool isEveryEndpointOnTrial(const Gate &gate, const std::string &service) {
  return std::ranges::all_of(gate.Endpoints, [&](const auto &it) {
    return it.second.Announced.Service != service ||
           it.second.State == Standing::Trial ||
           it.second.State == Standing::Draining;
  });
}

bool isEveryEndpointDoubtful(const Gate &gate, const GateService &service,
                             const Ticket &ticket) {
  return std::ranges::all_of(gate.Endpoints, [&](const auto &it) {
    return it.second.Announced.Service != ticket.Service ||
           it.second.State == Standing::Draining ||
           isDoubtfulFor(it.second, service, ticket);
  });
}

} // namespace hickoryglade
