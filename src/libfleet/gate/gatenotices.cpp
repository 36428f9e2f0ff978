#include "libfleet/gate/gateexchange.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

/// The part of GateService that processes and reports what endpoints say about
/// themselves.

namespace hickoryglade::fleet {

void GateService::logResult(const Exchange &exchange,
                            const EndpointResult &result) const {
  LogLevel level = result.Answer ? LogLevel::Info : LogLevel::Warn;
  if (!isLogged(level))
    return;
  const std::string &attempt = exchange.Request.AttemptId;
  auto from = exchange.Origin.Channel.lock();
  nlohmann::json line = {
      {"request", attempt.substr(0, attempt.rfind('/'))},
      {"attempt", attempt},
      {"from", from ? from->peerName() : ""},
      {"endpoint", exchange.Endpoint},
      {"last_try", exchange.Request.IsLastTry},
      {"outcome", toString(result.Outcome)},
      {"status", result.Answer ? result.Answer->Status : 0},
      {"detail", result.Failure.Detail},
      {"ms", toMillis(result.RunTime).count()},
      {"expected_ms", toMillis(exchange.Request.ExpectedCost).count()}};
  if (result.Headers && result.Headers->Notice.Limit)
    line["limit"] = *result.Headers->Notice.Limit;
  if (result.Headers && result.Headers->Notice.IsLeaving)
    line["leaving"] = true;
  logEvent(level, "endpoint_result", line);
}

void GateService::logOrphan(const Exchange &exchange,
                            std::string_view reason) const {
  const std::string &attempt = exchange.Request.AttemptId;
  auto from = exchange.Origin.Channel.lock();
  Counters.countOrphanedRun(std::string(reason));
  logEvent(LogLevel::Warn, "run_orphaned",
           {{"request", attempt.substr(0, attempt.rfind('/'))},
            {"attempt", attempt},
            {"from", from ? from->peerName() : ""},
            {"endpoint", exchange.Endpoint},
            {"reason", reason},
            {"idempotent", exchange.Request.IsIdempotent},
            {"last_try", exchange.Request.IsLastTry},
            {"ran_ms", toMillis(now() - *exchange.SentAt).count()},
            {"left_ms", toMillis(exchange.Request.Deadline - now()).count()}});
}

void GateService::noteLinkLost(const std::shared_ptr<FrameChannel> &channel) {
  dropWaiting(channel);
  for (const auto &[attempt, it] : Exchanges)
    if (it->SentAt && it->Origin.Channel.lock() == channel) {
      it->LostAt = now();
      logOrphan(*it, "the link to the entry was lost");
    }
}

std::size_t GateService::reportRuns() const {
  std::size_t n = 0;
  for (const auto &[attempt, it] : Exchanges) {
    if (!it->SentAt)
      continue;
    logOrphan(*it, "the node ends");
    ++n;
  }
  return n;
}

/// Processes what the endpoint says about itself. A value that is not a limit
/// is logged once for each endpoint and value.
void GateService::takeHeaders(const Exchange &exchange,
                              const EndpointResult &result) {
  if (!result.Headers)
    return;
  const std::string &bad = result.Headers->BadLimit;
  if (!bad.empty() && BadLimits[exchange.Endpoint] != bad) {
    BadLimits[exchange.Endpoint] = bad;
    logEvent(LogLevel::Warn, "endpoint_limit_malformed",
             {{"endpoint", exchange.Endpoint}, {"value", bad}});
  }
  carryOut(noteNotice(State, exchange.Endpoint, result.Headers->Notice,
                      result.HeadAt, now()));
}

void GateService::carryOutOne(const HoldAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  if (it == Exchanges.end())
    return;
  const std::string &attempt = action.AttemptId;
  const std::string &service = it->second->Request.Service;
  bool isReserved = action.Reason == HoldReason::Reserved;
  logEvent(LogLevel::Info, isReserved ? "gate_reserved" : "gate_held",
           {{"request", attempt.substr(0, attempt.rfind('/'))},
            {"attempt", attempt},
            {"expected_ms", toMillis(action.ExpectedWait).count()}});
  if (isReserved)
    Counters.countReservedWait(service);
  else
    Counters.countLimited(service, "held");
}

void GateService::carryOutOne(const LimitAction &action) {
  std::string_view change = !action.After    ? "lifted"
                            : !action.Before ? "named"
                                             : "changed";
  nlohmann::json line = {{"endpoint", action.Endpoint},
                         {"service", action.Service},
                         {"change", change}};
  if (action.Before)
    line["before"] = *action.Before;
  if (action.After)
    line["limit"] = *action.After;
  logEvent(LogLevel::Warn, "endpoint_limit", line);
  Counters.countLimitChange(action.Service, std::string(change));
  Counters.setLimit(action.Service, limitOf(State, action.Service));
}

/// Processes the notices that an entry sends along with a request.
void GateService::takeNotices(const wire::Ticket &ticket) {
  if (!ticket.__isset.notices)
    return;
  for (const wire::EndpointNotice &it : ticket.notices) {
    EndpointNotice notice;
    if (it.__isset.limit && it.limit >= 0 && std::isfinite(it.limit))
      notice.Limit = it.limit;
    notice.IsLeaving = it.isLeaving;
    Millis age(std::max<std::int64_t>(it.ageMs, 0));
    carryOut(noteForeignNotice(State, it.endpoint, it.incarnation, notice,
                               now() - age, now()));
  }
}

/// What the fleet must remember of an endpoint even if this process ends.
std::optional<wire::EndpointNotice>
GateService::wireNotice(const std::string &endpoint) const {
  auto it = State.Endpoints.find(endpoint);
  if (it == State.Endpoints.end() ||
      !(it->second.Limit || it->second.IsLeaving))
    return std::nullopt;
  wire::EndpointNotice out;
  out.endpoint = endpoint;
  out.incarnation = it->second.Announced.Incarnation;
  out.isLeaving = it->second.IsLeaving;
  if (it->second.Limit)
    out.__set_limit(it->second.Limit->PerSecond);
  return out;
}

} // namespace hickoryglade::fleet
