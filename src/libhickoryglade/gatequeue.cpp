#include "libhickoryglade/gatequeue.h"

#include "libhickoryglade/gateadmission.h"
#include "libhickoryglade/gaterules.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// Time that a granted slot is held for the request's body.
constexpr Micros GrantTimeout = std::chrono::milliseconds(250);

/// Time after an attempt's deadline for which late copies are recognized.
constexpr Micros LedgerMargin = std::chrono::seconds(60);

} // namespace

void noteWait(GateService &service, const Ticket &ticket, Instant now) {
  service.Waits.record(ticket.Priority, ticket.EstimatedWait,
                       now - ticket.WaitingSince, now);
}

Instant ledgerExpiry(const Ticket &ticket) {
  return ticket.Deadline + LedgerMargin;
}

void start(Gate &gate, GateEndpoint &endpoint, SlotHolder &holder, Instant now,
           GateActions &actions) {
  const Ticket &ticket = holder.Request;
  holder.IsStarted = true;
  holder.Since = now;
  if (gate.Ledger.tryStart(ticket.AttemptId, ledgerExpiry(ticket))) {
    if (endpoint.Limit)
      endpoint.Limit->Tokens = withTokenTaken(endpoint.Limit->Tokens, now);
    gate.Services[ticket.Service].Repeats.record(ticket.IsRepeat, now);
    actions.push_back(StartAction{ticket.AttemptId, endpoint.Announced.Name});
    return;
  }
  refuse(
      actions, ticket.AttemptId,
      notRun(ErrorKind::WrongGeneration, "the attempt is fenced", Millis{0}));
}

void assign(Gate &gate, GateService &service, GateEndpoint &endpoint,
            const Ticket &ticket, Instant now, GateActions &actions) {
  endpoint.Holders.push_back({ticket, now, false});
  gate.EndpointByAttempt[ticket.AttemptId] = endpoint.Announced.Name;
  if (isSerialized(gate, ticket, now))
    service.Serialized.insert(ticket.Fingerprint);
  if (ticket.AwaitsClaim)
    actions.push_back(GrantAction{ticket.AttemptId, endpoint.Announced.Name});
  else
    start(gate, endpoint, endpoint.Holders.back(), now, actions);
}

void enqueue(GateService &service, Ticket ticket) {
  auto share = service.Shares.find(ticket.Workspace);
  service.Queue.push(std::move(ticket),
                     share == service.Shares.end() ? 1 : share->second,
                     service.Policy.Order);
}

void dispatch(Gate &gate, const std::string &name, Instant now,
              GateActions &actions) {
  GateService &service = gate.Services[name];
  while (service.Queue.size() > 0 && now >= gate.HoldUntil) {
    GateEndpoint *endpoint = nullptr;
    auto mayRun = [&](const Ticket &it) {
      if (isSerializedBusy(gate, service, it, now))
        return false;
      endpoint = chooseEndpoint(gate, service, it, now);
      return endpoint != nullptr;
    };
    auto ticket = service.Policy.Order == QueueOrder::Workspace
                      ? service.Queue.popRanked(mayRun, now)
                      : service.Queue.pop(mayRun);
    if (!ticket)
      return;
    noteWait(service, *ticket, now);
    if (ruleFor(gate.Crashes, ticket->Fingerprint, now, ticket->KnownCrashes) ==
        QuarantineRule::Refused) {
      refuse(actions, ticket->AttemptId,
             notRun(ErrorKind::Quarantined,
                    fingerprintName(ticket->Fingerprint),
                    toMillis(remainingQuarantine(gate.Crashes,
                                                 ticket->Fingerprint, now))));
      continue;
    }
    if (isAtWrongGate(gate, service, *ticket, now)) {
      refuse(actions, ticket->AttemptId, wrongGateError());
      continue;
    }
    if (ticket->Deadline < now + ticket->ExpectedCost) {
      refuse(actions, ticket->AttemptId,
             notRun(ErrorKind::Overloaded, "too late to finish in time",
                    jitteredRetryAfter(gate, service.Policy.MaxWait)));
      continue;
    }
    assign(gate, service, *endpoint, *ticket, now, actions);
  }
}

bool startsPastQueue(Gate &gate, GateService &service, const Ticket &ticket,
                     Instant now, GateActions &actions) {
  bool mayPass = service.Policy.Order == QueueOrder::Workspace ||
                 service.Policy.ReservedSlotsPercent > 0;
  if (!mayPass || service.Queue.size() == 0)
    return false;
  enqueue(service, ticket);
  dispatch(gate, ticket.Service, now, actions);
  return !service.Queue.remove(ticket.AttemptId);
}

std::optional<SlotHolder> release(Gate &gate, const std::string &attempt,
                                  GateEndpoint *&endpoint) {
  auto held = gate.EndpointByAttempt.find(attempt);
  if (held == gate.EndpointByAttempt.end())
    return std::nullopt;
  auto it = gate.Endpoints.find(held->second);
  gate.EndpointByAttempt.erase(held);
  if (it == gate.Endpoints.end())
    return std::nullopt;
  endpoint = &it->second;
  auto slot = std::ranges::find_if(endpoint->Holders, [&](const auto &h) {
    return h.Request.AttemptId == attempt;
  });
  if (slot == endpoint->Holders.end())
    return std::nullopt;
  SlotHolder holder = std::move(*slot);
  endpoint->Holders.erase(slot);
  gate.Services[holder.Request.Service].Serialized.erase(
      holder.Request.Fingerprint);
  return holder;
}

void expireHolders(Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions) {
  std::vector<std::string> lapsed;
  std::vector<std::string> late;
  for (const SlotHolder &holder : endpoint.Holders) {
    if (!holder.IsStarted && now - holder.Since > GrantTimeout)
      lapsed.push_back(holder.Request.AttemptId);
    if (holder.IsStarted && holder.Request.Deadline <= now)
      late.push_back(holder.Request.AttemptId);
  }
  for (const std::string &attempt : lapsed) {
    GateEndpoint *unused = nullptr;
    auto holder = release(gate, attempt, unused);
    if (holder)
      gate.Ledger.revoke(attempt, ledgerExpiry(holder->Request));
    refuse(actions, attempt,
           notRun(ErrorKind::GrantLapsed, "the body did not arrive in time",
                  Millis{0}));
  }
  for (const std::string &attempt : late)
    actions.push_back(
        AbortAction{attempt, makeError(ErrorKind::DeadlineExceeded,
                                       "the endpoint did not answer in time")});
}

void expireQueue(GateService &service, Instant now, GateActions &actions) {
  for (const Ticket &ticket : service.Queue.takeExpired(now)) {
    noteWait(service, ticket, now);
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::DeadlineExceeded, "no slot became free in time",
                  toMillis(MinRetryAfter)));
  }
}

void flushIfNoEndpoint(Gate &gate, const std::string &name, Instant now,
                       GateActions &actions) {
  if (!gate.IsDraining && slotsInRotation(gate, name, now) > 0)
    return;
  for (const Ticket &ticket : gate.Services[name].Queue.takeAll())
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::NoEndpoint, "no endpoint left at this gate",
                  toMillis(NoEndpointRetryAfter)));
}

void flushIfDoubtful(Gate &gate, const std::string &name,
                     GateActions &actions) {
  GateService &service = gate.Services[name];
  if (service.Queue.size() == 0)
    return;
  auto refused = service.Queue.takeWhere([&](const Ticket &it) {
    return isEveryEndpointDoubtful(gate, service, it);
  });
  for (const Ticket &ticket : refused)
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint has failed",
                  Millis{0}));
}

} // namespace hickoryglade
