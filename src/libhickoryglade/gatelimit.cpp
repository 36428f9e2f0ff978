#include "libhickoryglade/gatelimit.h"

#include "libhickoryglade/gateadmission.h"
#include "libhickoryglade/gatequeue.h"
#include "libhickoryglade/gaterules.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// Lowest rate at which requests are sent, whatever the limit: the end of a
/// limit shows only in an answer.
constexpr double MinRequestsPerSecond = 0.5;

} // namespace

bool setLimit(GateEndpoint &endpoint, std::optional<double> limit, Instant now,
              GateActions &actions) {
  std::optional<double> before;
  if (endpoint.Limit)
    before = endpoint.Limit->PerSecond;
  if (before == limit)
    return false;
  actions.push_back(LimitAction{endpoint.Announced.Name,
                                endpoint.Announced.Service, before, limit});
  bool isLower = limit && (!before || *limit < *before);
  if (!limit) {
    endpoint.Limit.reset();
    return false;
  }
  double rate = std::max(*limit, MinRequestsPerSecond);
  TokenBucket tokens = endpoint.Limit
                           ? withRate(endpoint.Limit->Tokens, rate, now)
                           : makeTokenBucket(rate, now);
  Instant since = isLower ? now : endpoint.Limit->LoweredAt;
  endpoint.Limit = EndpointLimit{*limit, tokens, since};
  return isLower;
}

Micros limitWait(const Gate &gate, const std::string &service,
                 std::size_t ahead, Instant now) {
  double rate = 0;
  double tokens = 0;
  for (const auto &[name, it] : gate.Endpoints) {
    if (!isInRotation(it, service, now))
      continue;
    if (!it.Limit)
      return Micros{0};
    rate += it.Limit->Tokens.PerSecond;
    tokens += tokensAt(it.Limit->Tokens, now) - grantedSlots(it);
  }
  if (rate == 0)
    return Micros{0};
  std::chrono::duration<double> wait((double(ahead) + 1 - tokens) / rate);
  return std::max(std::chrono::duration_cast<Micros>(wait), Micros{0});
}

bool isHeldByLimit(const Gate &gate, const GateService &service,
                   const Ticket &ticket, Instant now) {
  return std::ranges::any_of(gate.Endpoints, [&](const auto &entry) {
    const GateEndpoint &it = entry.second;
    return it.Limit && isInRotation(it, ticket.Service, now) &&
           !isDoubtfulFor(it, service, ticket) && freeSlots(it) > 0 &&
           openSlots(it, now) == 0;
  });
}

void refuseBeyondLimit(Gate &gate, const std::string &name, Instant now,
                       GateActions &actions) {
  GateService &service = gate.Services[name];
  for (Ticket &ticket : service.Queue.takeAll()) {
    if (auto fault = admissionError(gate, service, ticket, now)) {
      refuse(actions, ticket.AttemptId, std::move(*fault));
      continue;
    }
    ticket.WaitingSince = now;
    enqueue(service, std::move(ticket));
  }
}

} // namespace hickoryglade
