#include "libfleet/entry/entry.h"

#include "libfleet/entry/entryattempt.h"
#include "libfleet/keys/keyedcall.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libfleet/workspaces/calleridentity.h"
#include "libhickoryglade/hash.h"
#include "libhickoryglade/registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

/// How long a request waits until its service has a candidate gate.
constexpr Micros CandidateWait = std::chrono::milliseconds(200);

/// A gate's load report older than this is ignored.
constexpr Micros LoadReportMaxAge = std::chrono::milliseconds(500);

/// Until a request of a class has been observed, its expected cost is the
/// target latency divided by this: operators set targets to a few times the
/// usual run time.
constexpr int UnknownCostDivisor = 3;

/// How long the standing that a gate reported for its endpoints is used: a
/// doubtful endpoint gets no requests for about as long.
constexpr Micros ReportedStandingMaxAge = std::chrono::seconds(1);

/// Pause between the retries that mayRetryDuringDrain() allows.
constexpr Micros DrainRetryPause = std::chrono::milliseconds(100);

/// How long the limits that a gate reported for its endpoints are used.
constexpr Micros LimitReportMaxAge = std::chrono::seconds(10);

/// Least run time by which a wait for a limit is compared with a queue.
constexpr Micros MinLimitedCost = std::chrono::milliseconds(10);

constexpr std::size_t MaxKeyBytes = 255;
constexpr Millis LongestTimeout = std::chrono::hours(24);

std::optional<Millis> parseTimeout(const std::string &text) {
  std::int64_t ms = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc{} || at != end || ms <= 0 || Millis(ms) > LongestTimeout)
    return std::nullopt;
  return Millis(ms);
}

std::uint64_t fingerprintOf(const HttpRequest &request,
                            const std::string &service) {
  std::uint64_t hash = stableHash(request.Method);
  hash = stableHash(service, hash);
  hash = stableHash(request.Target, hash);
  hash = stableHash(*request.Content, hash);
  return hash;
}

} // namespace

bool isFinalResponse(const EntryResult &result, bool isIdempotent) {
  constexpr int leastServerError = 500;
  const auto *response = std::get_if<HttpResponse>(&result);
  return response && (!isIdempotent || response->Status < leastServerError);
}

Entry::Entry(asio::any_io_executor ex, const NodeSettings &settings,
             std::int64_t bootId, std::size_t worker,
             const HttpDialect &dialect, BodyBudgetPtr budget, Metrics &metrics)
    : Executor(ex), Node(settings.Node), DataCentre(settings.DataCentre),
      Service(settings.Service), HasKeepers(settings.Platform.empty()),
      BootId(bootId), Worker(worker), Dialect(dialect), Counters(metrics),
      Links(ex, makeHello(Node, bootId, DataCentre), std::move(budget),
            metrics.traffic()),
      Quotas(ex, Links, View, metrics), Rng(std::uint64_t(bootId) + worker),
      StartedAt(now()) {}

void Entry::applyView(FleetViewPtr view) {
  View = std::move(view);
  expireNotices(Notices, now());
}

void Entry::takeNotice(const std::string &service, HeardNotice notice) {
  hearNotice(Notices, service, std::move(notice));
}

std::string Entry::nextId() {
  std::uint64_t hash = stableHash(Node, std::uint64_t(BootId));
  hash = stableHash(std::to_string(Worker), hash);
  return fingerprintName(hash) + "-" + std::to_string(++Requests);
}

asio::awaitable<HttpResponse> Entry::serve(HttpRequest request,
                                           std::shared_ptr<CallScope> scope) {
  Instant start = now();
  std::string id = nextId();
  std::string callerId = headerValue(request.Headers, Dialect.RequestIdHeader);
  ++InFlight;
  std::string service;
  Micros timeLeft{0};
  int runs = 0;
  std::variant<RequestContext, Error> prepared =
      prepareRequest(std::move(request), std::move(scope), id);
  EntryResult result = Error{};
  if (auto *fault = std::get_if<Error>(&prepared)) {
    result = *fault;
  } else {
    RequestContext &context = std::get<RequestContext>(prepared);
    service = context.MatchedRoute.Service;
    bool isKeyed =
        HasKeepers && !context.IsIdempotent && !context.IdempotencyKey.empty();
    std::optional<Error> refusal;
    if (isTooLateToTake(context))
      refusal = shutdownError(RunState::NotRun);
    else
      refusal = co_await Quotas.admit(context.MatchedRoute.Workspace,
                                      context.Deadline);
    if (refusal) {
      result = std::move(*refusal);
    } else {
      if (isKeyed)
        result = co_await performKeyed(context);
      else
        result = co_await perform(context);
      result = withholdNotRunStatus(context, std::move(result));
      Quotas.noteResult(context.MatchedRoute.Workspace, start, context.Arrivals,
                        std::get_if<Error>(&result));
    }
    timeLeft = context.Deadline - now();
    runs = context.Runs;
  }
  HttpResponse response;
  if (auto *error = std::get_if<Error>(&result))
    response = problem(*error, id, timeLeft, runs);
  else
    response = std::move(std::get<HttpResponse>(result));
  const std::string &shownId = Dialect.IsIdFromCaller ? callerId : id;
  if (headerValue(response.Headers, Dialect.RequestIdHeader).empty())
    response.Headers.push_back({Dialect.RequestIdHeader, shownId});
  --InFlight;
  logEvent(LogLevel::Info, "answered",
           {{"request", id},
            {"caller_id", callerId},
            {"service", service},
            {"status", response.Status},
            {"ms", toMillis(now() - start).count()},
            {"own", std::holds_alternative<Error>(result)}});
  Counters.countAnswer(service, response.Status,
                       std::chrono::duration<double>(now() - start).count());
  co_return response;
}

/// The caller's timeout, or the configured default, capped at the route's
/// limit.
Millis Entry::allowedTime(const HttpRequest &request,
                          const ServicePolicy &policy,
                          std::optional<Error> &fault) const {
  std::string text = headerValue(request.Headers, Dialect.TimeoutHeader);
  if (text.empty())
    return std::min(policy.Timeout, policy.TimeLimit);
  std::optional<Millis> parsed = parseTimeout(text);
  if (parsed)
    return std::min(*parsed, policy.TimeLimit);
  fault = makeError(ErrorKind::BadRequest,
                    Dialect.TimeoutHeader +
                        " must be a positive number of milliseconds of at "
                        "most a day");
  return {};
}

std::variant<RequestContext, Error>
Entry::prepareRequest(HttpRequest request, std::shared_ptr<CallScope> scope,
                      std::string id) {
  if (!View->HasSettings)
    return makeError(ErrorKind::NoSettings, {}, DefaultRetryAfter);
  const Route *route =
      View->Routes->find(headerValue(request.Headers, "Host"), request.Target);
  if (!route)
    return makeError(ErrorKind::NoRoute);
  const ServicePolicy &policy = route->Policy;
  auto bytes = std::int64_t(request.Content->size());
  if (bytes > policy.MaxBodyBytes)
    return makeError(ErrorKind::BodyTooLarge,
                     "limit " + std::to_string(policy.MaxBodyBytes));
  std::optional<Error> fault;
  Millis timeout = allowedTime(request, policy, fault);
  if (fault)
    return *fault;
  RequestContext context;
  context.Id = std::move(id);
  context.CallerId = headerValue(request.Headers, Dialect.RequestIdHeader);
  context.MatchedRoute = *route;
  if (auto refusal =
          identifyCaller(*View, Dialect, now(), request, context.MatchedRoute))
    return *refusal;
  context.MatchedRoute.Service = Splits.choose(*route, Rng);
  context.Deadline = now() + timeout;
  context.Target = now() + policy.TargetLatency;
  context.Fingerprint = fingerprintOf(request, context.MatchedRoute.Service);
  context.Class = {route->Path, request.Method, std::uint64_t(bytes)};
  context.Cost = Costs.estimate(context.Class, policy.LongAfter);
  bool isUnseen = context.Cost.Expected == Micros{0};
  if (isUnseen && policy.TargetLatency < policy.Timeout)
    context.Cost.Expected = policy.TargetLatency / UnknownCostDivisor;
  MeanCost &mean = MeanCosts[context.MatchedRoute.Service];
  context.IsShort = mean.isMuchAbove(context.Cost.Expected);
  mean.add(context.Cost.Expected);
  context.IsIdempotent = policy.isIdempotent(request.Method);
  context.IdempotencyKey = headerValue(request.Headers, "Idempotency-Key");
  if (context.IdempotencyKey.size() > MaxKeyBytes)
    return makeError(ErrorKind::BadRequest, "Idempotency-Key is too long");
  dropNodeHeaders(Dialect, request.Headers);
  if (!Dialect.CallerServiceHeader.empty())
    request.Headers.push_back({Dialect.CallerServiceHeader, Service});
  context.Http = std::move(request);
  context.Scope = std::move(scope);
  if (ruleFor(View->Crashes, context.Fingerprint, now()) ==
      QuarantineRule::Refused)
    return makeError(ErrorKind::Quarantined,
                     fingerprintName(context.Fingerprint),
                     toMillis(remainingQuarantine(View->Crashes,
                                                  context.Fingerprint, now())));
  return context;
}

asio::awaitable<EntryResult> Entry::performKeyed(RequestContext &context) {
  KeyedCall call(Executor, Links, View);
  KeyedCall::Run run = [this](RequestContext &it) { return perform(it); };
  co_return co_await call.perform(context, run);
}

asio::awaitable<EntryResult> Entry::perform(RequestContext &context) {
  if (cannotEnd(context))
    co_return shutdownError(RunState::NotRun);
  RetryBudget &budget = Budgets[context.MatchedRoute.Service];
  budget.noteFresh(context.MatchedRoute.Policy.RetryBudgetPercent);
  RetryBudget &errors =
      ErrorBudgets.try_emplace(context.MatchedRoute.Service, makeErrorBudget())
          .first->second;
  errors.noteFresh(ErrorRetryPercent);
  while (true) {
    int number = ++context.LastNumber;
    ++context.CountedAttempts;
    EntryResult result = co_await tryOnce(context, number);
    if (isFinalResponse(result, context.IsIdempotent))
      co_return result;
    bool isErrorResponse = std::holds_alternative<HttpResponse>(result);
    if (isErrorResponse && !errors.tryTake())
      co_return result;
    Error error = noteFailure(context, std::move(result));
    const ServicePolicy &policy = context.MatchedRoute.Policy;
    if (isFreeRetry(error.Kind, policy.ComparesSheds)) {
      ++context.FreeTries;
      --context.CountedAttempts;
    }
    bool isLimited = error.Kind == ErrorKind::EndpointLimited;
    RetryDecision answer = decideRetry(
        {error, context.IsIdempotent, context.CountedAttempts,
         context.Deadline - now(), context.Cost.Expected, context.Runs,
         policy.MaxAttempts, policy.ComparesSheds, context.BudgetRefusals},
        budget);
    Counters.countRetryDecision(std::string(answer.Reason));
    logEvent(LogLevel::Warn, "attempt_failed",
             {{"request", context.Id},
              {"attempt", number},
              {"kind", errorInfo(error.Kind).Name},
              {"run", toString(error.Run)},
              {"detail", error.Detail},
              {"retry", answer.Verdict == RetryVerdict::Retry},
              {"reason", answer.Reason}});
    bool mayContinue = context.FreeTries < FreeRetryLimit &&
                       !isTooLateToStart(context) &&
                       (!isLimited || hasRoomForLimited(context));
    if (answer.Verdict == RetryVerdict::Retry && mayContinue)
      continue;
    if (mayRetryDuringDrain(context, error)) {
      context.Tried.clear();
      asio::steady_timer pause(Executor, DrainRetryPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (context.ServerError)
      co_return std::move(*context.ServerError);
    co_return finalError(error, context.Runs > 0);
  }
}

/// Replaces a response whose status would tell the caller of a non-idempotent
/// request that it has not run. Responses in which an endpoint states this are
/// errors of the attempt and do not get here.
EntryResult Entry::withholdNotRunStatus(const RequestContext &context,
                                        EntryResult result) {
  const auto *response = std::get_if<HttpResponse>(&result);
  if (!response || context.IsIdempotent ||
      !impliesNotRun(Dialect, response->Status))
    return result;
  const std::string &service = context.MatchedRoute.Service;
  Counters.countWithheldAnswer(service, response->Status);
  logEvent(LogLevel::Warn, "answer_withheld",
           {{"request", context.Id},
            {"caller_id", context.CallerId},
            {"service", service},
            {"gate", context.LastGate},
            {"endpoint_status", response->Status},
            {"reason", "the status implies that the request has not run"}});
  return makeError(ErrorKind::EndpointFailed,
                   "answered " + std::to_string(response->Status) +
                       " without stating that the request has not run");
}

/// Records a failed attempt for the ones after it; returns its error.
Error Entry::noteFailure(RequestContext &context, EntryResult result) {
  if (auto *response = std::get_if<HttpResponse>(&result)) {
    context.ServerError = std::move(*response);
    ++context.Arrivals;
    result =
        makeError(ErrorKind::EndpointFailed,
                  "answered " + std::to_string(context.ServerError->Status));
  }
  Error error = std::get<Error>(std::move(result));
  bool isLimited = error.Kind == ErrorKind::EndpointLimited;
  context.CapacityRefusals += error.Kind == ErrorKind::SlotTaken || isLimited;
  context.BudgetRefusals += error.Kind == ErrorKind::RetriesExhausted;
  context.DoubtRefusals += error.Kind == ErrorKind::EndpointDoubtful;
  bool hasFailed = error.Kind != ErrorKind::SlotTaken;
  if (hasFailed && !context.LastGate.empty())
    context.Tried.push_back(std::exchange(context.LastGate, {}));
  context.Runs += error.Run == RunState::Unknown;
  if (error.Run == RunState::Unknown && context.Arrivals == 0)
    context.Arrivals = 1;
  return error;
}

/// Wait with which a request still completes by a time, as a multiple of its
/// expected run time.
double Entry::maxLimitLoad(const RequestContext &context, Instant end) {
  Micros cost = std::max(context.Cost.Expected, MinLimitedCost);
  Micros spare = std::max(end - now() - cost, Micros{0});
  return double(spare.count()) / double(cost.count());
}

/// True if another gate may start a request in time that a limit has kept from
/// the gates tried so far.
bool Entry::hasRoomForLimited(const RequestContext &context) {
  return hasRoomElsewhere(candidates(context, now()), context.IsIdempotent,
                          maxLimitLoad(context, context.Deadline));
}

// A stopping node keeps retrying an idempotent request whose earlier attempt
// was aborted at its endpoint. Without this, the request would fail because no
// slot is free elsewhere at the moment.
bool Entry::mayRetryDuringDrain(const RequestContext &context,
                                const Error &error) {
  bool mayRunAgain = context.IsIdempotent && context.Runs > 0 &&
                     context.Runs < context.MatchedRoute.Policy.MaxAttempts;
  bool hasTime = context.Deadline - now() > context.Cost.Expected &&
                 !isTooLateToStart(context);
  return IsDraining && mayRunAgain && error.Run == RunState::NotRun &&
         hasTime && !context.Scope->IsCancelled && hasUsableGate(context);
}

/// True if a gate of the service is reached and not leaving.
bool Entry::hasUsableGate(const RequestContext &context) {
  return std::ranges::any_of(
      candidates(context, now()), [](const Candidate &it) {
        return it.IsPathUp && it.State != Standing::Draining &&
               it.State != Standing::Ejected;
      });
}

/// Prefers the standing that the gate itself reported a moment ago: short-lived
/// standings are not sent to members in other data centres.
Standing Entry::standingOf(const GateView &gate, const GateLoadView &load,
                           Instant now) {
  bool isReported = load.Load.standing > 0 &&
                    load.Load.standing <= 1 + int(Standing::Draining);
  bool isFresh = load.At != Instant{} && now - load.At < ReportedStandingMaxAge;
  bool isRecord =
      gate.State == Standing::Draining || gate.State == Standing::Ejected;
  return isReported && isFresh && !isRecord ? Standing(load.Load.standing - 1)
                                            : gate.State;
}

/// Applies the limits of a gate's endpoints, which hold for longer than a load
/// report.
void Entry::applyLimit(Candidate &candidate, const GateLoadView &load,
                       Micros cost, Instant now) {
  Micros age = now - load.At;
  if (!load.Load.__isset.limitPerSecond || age > LimitReportMaxAge)
    return;
  Micros wait = std::max(Millis(load.Load.limitWaitMs) - age, Micros{0});
  candidate.IsLimited = true;
  candidate.LimitLoad =
      double(wait.count()) / double(std::max(cost, MinLimitedCost).count());
  // Other entries may have used what has become free since the report.
  bool isFresh = age < LoadReportMaxAge;
  int open = wait > Micros{0} ? 0 : 1;
  if (!isFresh)
    candidate.FreeSlots = std::min(candidate.FreeSlots, open);
}

std::vector<Candidate> Entry::candidates(const RequestContext &context,
                                         Instant now) {
  const std::string &service = context.MatchedRoute.Service;
  std::vector<Candidate> all;
  auto view = View->Services.find(service);
  if (view == View->Services.end())
    return all;
  for (const GateView &gate : view->second.Gates) {
    Candidate it;
    it.Node = gate.Node;
    it.DataCentre = gate.DataCentre;
    it.Slots = gate.Slots;
    it.State = gate.State;
    it.IsLocal = gate.Node == Node;
    it.IsNear = gate.DataCentre == DataCentre;
    it.IsPathUp = Links.isPathUp(gate.Node, now);
    auto node = View->Nodes.find(gate.Node);
    if (!it.IsPathUp && node != View->Nodes.end())
      Links.reconnectIfDue(gate.Node, node->second, now);
    it.WasTried =
        std::ranges::find(context.Tried, gate.Node) != context.Tried.end();
    const GateLoadView &load = Loads[loadKey(gate.Node, service)];
    it.State = standingOf(gate, load, now);
    bool isFresh = now - load.At < LoadReportMaxAge && load.At != Instant{};
    it.FreeSlots = isFresh ? load.Load.freeSlots
                           : std::max(gate.Slots - load.Outstanding, 0);
    applyLimit(it, load, context.Cost.Expected, now);
    it.Queued = isFresh ? load.Load.queued : 0;
    it.Outstanding = load.Outstanding;
    noteReport(it, load, now);
    all.push_back(std::move(it));
  }
  return all;
}

/// Waits up to CandidateWait for a candidate, because a membership update may
/// be in flight.
asio::awaitable<RoutePlan> Entry::planRoute(RequestContext &context,
                                            bool isSerialized,
                                            std::vector<Candidate> &all) {
  const auto *router = Registry<RouterPolicy>::instance().find(
      context.MatchedRoute.Policy.Router);
  Instant until = std::min(now() + CandidateWait, context.Deadline);
  RouteRequest question{context.Cost.IsLong,
                        context.IsIdempotent,
                        context.CapacityRefusals > 0,
                        isSerialized,
                        context.Fingerprint,
                        context.MatchedRoute.Policy.TrialOdds,
                        context.MatchedRoute.Policy.SpillsToDoubtful,
                        context.CapacityRefusals,
                        context.IsShort,
                        maxLimitLoad(context, context.Target),
                        comparedGates(context)};
  while (true) {
    all = candidates(context, now());
    RoutePlan plan = router->Plan(all, question, Rng);
    if (!plan.Targets.empty() || now() >= until)
      co_return plan;
    asio::steady_timer pause(Executor, ResolvePause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<EntryResult> Entry::tryOnce(RequestContext &context,
                                            int number) {
  QuarantineRule rule =
      ruleFor(View->Crashes, context.Fingerprint, now(), context.Crashes);
  if (rule == QuarantineRule::Refused)
    co_return makeError(ErrorKind::Quarantined,
                        fingerprintName(context.Fingerprint),
                        context.MatchedRoute.Policy.QuarantineTerm);
  bool isSerialized = rule == QuarantineRule::Serialized;
  std::vector<Candidate> all;
  RoutePlan plan = co_await planRoute(context, isSerialized, all);
  Attempt attempt;
  attempt.Request = &context;
  attempt.Id = context.Id + "/" + std::to_string(number);
  attempt.AwaitsGrant = plan.AwaitsGrant;
  attempt.OnlyIfFree = plan.OnlyIfFree;
  attempt.IsWaitBounded = plan.IsWaitBounded;
  attempt.IsSpill = isSpill(all, plan);
  attempt.IsSerialized = isSerialized;
  attempt.IsComparison = plan.IsComparison;
  attempt.Box = std::make_shared<StreamMailbox>(Executor);
  for (std::size_t i : plan.Targets) {
    auto node = View->Nodes.find(all[i].Node);
    const auto &gates = View->Services.at(context.MatchedRoute.Service).Gates;
    if (node == View->Nodes.end())
      continue;
    GateView gate = gates[i];
    gate.State = all[i].State;
    attempt.Targets.push_back({gate, node->second, nullptr, 0, false});
  }
  logRoute(context, number, attempt, plan);
  if (attempt.Targets.empty())
    co_return makeError(ErrorKind::NoEndpoint, plan.Reason, DefaultRetryAfter);
  if (context.Scope->IsCancelled)
    co_return makeError(ErrorKind::Cancelled);
  context.Scope->OnCancel = [box = attempt.Box] {
    box->put({0, CancelledEvent{}});
  };
  Attempts.insert(&attempt);
  EntryResult result;
  if (attempt.IsComparison)
    result = co_await compareGates(attempt);
  else if (attempt.AwaitsGrant)
    result = co_await sendTickets(attempt);
  else
    result = co_await sendDirect(attempt);
  Attempts.erase(&attempt);
  cancelReplacement(attempt);
  context.Scope->OnCancel = nullptr;
  for (std::size_t i = 0; i < attempt.Targets.size(); ++i)
    cancelStream(attempt, i);
  // Counts as a taken slot, so that the next attempt may go to another data
  // centre.
  auto *error = std::get_if<Error>(&result);
  if (error && attempt.IsWaitBounded && error->Kind == ErrorKind::Overloaded)
    error->Kind = ErrorKind::SlotTaken;
  co_return result;
}

void Entry::logRoute(const RequestContext &context, int number,
                     const Attempt &attempt, const RoutePlan &plan) const {
  if (!isLogged(LogLevel::Info))
    return;
  json chosen = json::array();
  for (const Attempt::Target &it : attempt.Targets)
    chosen.push_back(it.Gate.Node);
  auto view = View->Services.find(context.MatchedRoute.Service);
  logEvent(LogLevel::Info, "route",
           {{"request", context.Id},
            {"caller_id", context.CallerId},
            {"attempt", number},
            {"route", context.MatchedRoute.Path},
            {"service", context.MatchedRoute.Service},
            {"settings_revision", View->SettingsNext},
            {"priority", context.MatchedRoute.Policy.Priority},
            {"left_ms", toMillis(context.Deadline - now()).count()},
            {"candidates",
             view == View->Services.end() ? 0 : view->second.Gates.size()},
            {"choice", chosen},
            {"reason", plan.Reason}});
}

HttpResponse Entry::problem(const Error &error, const std::string &id,
                            Micros timeLeft, int runs) {
  const ErrorInfo &row = errorInfo(error.Kind);
  Counters.countError(std::string(row.Name));
  HttpResponse response;
  response.Status = statusOf(error);
  json body = {{"type", "about:blank"},     {"title", row.Title},
               {"status", response.Status}, {"detail", error.Detail},
               {"kind", row.Name},          {"run", toString(error.Run)},
               {"request_id", id}};
  if (row.IsRetryable && error.Run == RunState::NotRun) {
    Millis wait = suggestRetryAfter(error.RetryAfter, toMillis(timeLeft), Rng);
    body["retry_after_ms"] = wait.count();
    response.Headers.push_back(
        {"Retry-After", formatRetryAfter(Dialect, wait)});
  }
  response.Headers.push_back({"Content-Type", "application/problem+json"});
  response.Content = std::make_shared<const std::string>(
      body.dump(-1, ' ', false, json::error_handler_t::replace));
  logEvent(LogLevel::Warn, "problem",
           {{"request", id},
            {"kind", row.Name},
            {"run", toString(error.Run)},
            {"detail", error.Detail},
            {"runs", runs},
            {"left_ms", toMillis(timeLeft).count()},
            {"stopping", IsDraining.load()},
            {"process_age_ms", toMillis(now() - StartedAt).count()}});
  return response;
}

} // namespace hickoryglade::fleet
