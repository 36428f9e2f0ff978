#include "libfleet/entry/entry.h"

#include "libfleet/entry/entryattempt.h"
#include "libfleet/keys/keyedcall.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/hash.h"
#include "libhickoryglade/registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

/// How long a request waits for its service to have a candidate.
constexpr Micros CandidatePatience = std::chrono::milliseconds(200);

/// A gate's report older than this says nothing any more.
constexpr Micros LoadTerm = std::chrono::milliseconds(500);

/// Part of its target latency that a class of requests is taken to need until
/// one has been seen: operators set targets to a few times the usual run time.
constexpr int UnseenCostPart = 3;

/// How long a gate's word on its endpoint's standing counts: a doubtful
/// endpoint rests for about as long.
constexpr Micros ReportedStandingTerm = std::chrono::seconds(1);

/// Between tries of a request that a stopping node still has to place.
constexpr Micros OwedTryPause = std::chrono::milliseconds(100);

constexpr std::size_t MostKeyBytes = 255;
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

/// An endpoint's report of a failure is worth another try where that is safe.
bool isFinalAnswer(const EntryResult &result, bool isIdempotent) {
  constexpr int leastServerError = 500;
  const auto *answer = std::get_if<HttpAnswer>(&result);
  return answer && (!isIdempotent || answer->Status < leastServerError);
}

} // namespace

Entry::Entry(asio::any_io_executor ex, const NodeSettings &settings,
             std::int64_t bootId, std::size_t worker,
             const HttpDialect &dialect, Metrics &metrics)
    : Executor(ex), Node(settings.Node), DataCentre(settings.DataCentre),
      Service(settings.Service), HasKeepers(settings.Platform.empty()),
      BootId(bootId), Worker(worker), Dialect(dialect), Counters(metrics),
      Links(ex, makeHello(Node, bootId, DataCentre), metrics.traffic()),
      Rng(std::uint64_t(bootId) + worker) {}

void Entry::applyView(FleetViewPtr view) { View = std::move(view); }

std::string Entry::nextId() {
  std::uint64_t hash = stableHash(Node, std::uint64_t(BootId));
  hash = stableHash(std::to_string(Worker), hash);
  return fingerprintName(hash) + "-" + std::to_string(++Requests);
}

asio::awaitable<HttpAnswer> Entry::serve(HttpRequest request,
                                         std::shared_ptr<CallScope> scope) {
  Instant start = now();
  std::string id = nextId();
  std::string callerId = headerValue(request.Headers, Dialect.RequestIdHeader);
  ++InFlight;
  std::string service;
  Micros timeLeft{0};
  std::variant<Inquiry, Error> examined =
      examine(std::move(request), std::move(scope), id);
  EntryResult result = Error{};
  if (auto *fault = std::get_if<Error>(&examined)) {
    result = *fault;
  } else {
    Inquiry &inquiry = std::get<Inquiry>(examined);
    service = inquiry.Way.Service;
    bool isKeyed =
        HasKeepers && !inquiry.IsIdempotent && !inquiry.IdempotencyKey.empty();
    if (isKeyed)
      result = co_await performKeyed(inquiry);
    else
      result = co_await perform(inquiry);
    timeLeft = inquiry.Deadline - now();
  }
  HttpAnswer answer;
  if (auto *error = std::get_if<Error>(&result))
    answer = problem(*error, id, timeLeft);
  else
    answer = std::move(std::get<HttpAnswer>(result));
  const std::string &shownId = Dialect.IsIdFromCaller ? callerId : id;
  if (headerValue(answer.Headers, Dialect.RequestIdHeader).empty())
    answer.Headers.push_back({Dialect.RequestIdHeader, shownId});
  --InFlight;
  logEvent(LogLevel::Info, "answered",
           {{"request", id},
            {"caller_id", callerId},
            {"service", service},
            {"status", answer.Status},
            {"ms", toMillis(now() - start).count()},
            {"own", std::holds_alternative<Error>(result)}});
  Counters.countAnswer(service, answer.Status,
                       std::chrono::duration<double>(now() - start).count());
  co_return answer;
}

/// The caller's time or the setting's default, within the route's limit.
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

std::variant<Inquiry, Error> Entry::examine(HttpRequest request,
                                            std::shared_ptr<CallScope> scope,
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
  Inquiry inquiry;
  inquiry.Id = std::move(id);
  inquiry.CallerId = headerValue(request.Headers, Dialect.RequestIdHeader);
  inquiry.Way = *route;
  inquiry.Way.Service = Splits.choose(*route, Rng);
  inquiry.Deadline = now() + timeout;
  inquiry.Target = now() + policy.TargetLatency;
  inquiry.Fingerprint = fingerprintOf(request, inquiry.Way.Service);
  inquiry.Class = {route->Path, request.Method, std::uint64_t(bytes)};
  inquiry.Cost = Costs.estimate(inquiry.Class, policy.LongAfter);
  bool isUnseen = inquiry.Cost.Expected == Micros{0};
  if (isUnseen && policy.TargetLatency < policy.Timeout)
    inquiry.Cost.Expected = policy.TargetLatency / UnseenCostPart;
  inquiry.IsIdempotent = policy.isIdempotent(request.Method);
  inquiry.IdempotencyKey = headerValue(request.Headers, "Idempotency-Key");
  if (inquiry.IdempotencyKey.size() > MostKeyBytes)
    return makeError(ErrorKind::BadRequest, "Idempotency-Key is too long");
  dropNodeHeaders(Dialect, request.Headers);
  if (!Dialect.CallerServiceHeader.empty())
    request.Headers.push_back({Dialect.CallerServiceHeader, Service});
  inquiry.Http = std::move(request);
  inquiry.Scope = std::move(scope);
  if (ruleFor(View->Crashes, inquiry.Fingerprint, now()) ==
      QuarantineRule::Refused)
    return makeError(
        ErrorKind::Quarantined, fingerprintName(inquiry.Fingerprint),
        toMillis(remainingTerm(View->Crashes, inquiry.Fingerprint, now())));
  return inquiry;
}

asio::awaitable<EntryResult> Entry::performKeyed(Inquiry &inquiry) {
  KeyedCall call(Executor, Links, View);
  KeyedCall::Run run = [this](Inquiry &it) { return perform(it); };
  co_return co_await call.perform(inquiry, run);
}

asio::awaitable<EntryResult> Entry::perform(Inquiry &inquiry) {
  RetryBudget &budget = Budgets[inquiry.Way.Service];
  budget.noteFresh(inquiry.Way.Policy.RetryBudgetPercent);
  RetryBudget &errors =
      ErrorBudgets.try_emplace(inquiry.Way.Service, makeErrorBudget())
          .first->second;
  errors.noteFresh(ErrorRetryPercent);
  int freeTries = 0;
  std::optional<HttpAnswer> failure;
  for (int number = 1;; ++number) {
    EntryResult result = co_await tryOnce(inquiry, number);
    if (isFinalAnswer(result, inquiry.IsIdempotent))
      co_return result;
    bool isReport = std::holds_alternative<HttpAnswer>(result);
    if (isReport && !errors.tryTake())
      co_return result;
    if (auto *answer = std::get_if<HttpAnswer>(&result)) {
      failure = std::move(*answer);
      ++inquiry.Arrivals;
      result = makeError(ErrorKind::EndpointFailed,
                         "answered " + std::to_string(failure->Status));
    }
    const Error &error = std::get<Error>(result);
    inquiry.RoomRefusals += error.Kind == ErrorKind::SlotTaken;
    inquiry.DoubtRefusals += error.Kind == ErrorKind::EndpointDoubtful;
    bool hasFailed = error.Kind != ErrorKind::SlotTaken;
    freeTries += isFreeRetry(error.Kind);
    if (hasFailed && !inquiry.LastGate.empty())
      inquiry.Tried.push_back(std::exchange(inquiry.LastGate, {}));
    inquiry.Runs += error.Run == RunState::Unknown;
    if (error.Run == RunState::Unknown && inquiry.Arrivals == 0)
      inquiry.Arrivals = 1;
    RetryAnswer answer =
        decideRetry({error, inquiry.IsIdempotent, number - freeTries,
                     inquiry.Deadline - now(), inquiry.Cost.Expected,
                     inquiry.Runs, inquiry.Way.Policy.MaxAttempts},
                    budget);
    Counters.countRetryDecision(std::string(answer.Reason));
    logEvent(LogLevel::Warn, "attempt_failed",
             {{"request", inquiry.Id},
              {"attempt", number},
              {"kind", answerFor(error.Kind).Name},
              {"run", toString(error.Run)},
              {"detail", error.Detail},
              {"retry", answer.Verdict == RetryVerdict::Retry},
              {"reason", answer.Reason}});
    bool mayContinue = freeTries < MostFreeTries && !isTooLateToStart(inquiry);
    if (answer.Verdict == RetryVerdict::Retry && mayContinue)
      continue;
    if (isOwedAnotherTry(inquiry, error)) {
      inquiry.Tried.clear();
      asio::steady_timer pause(Executor, OwedTryPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (failure)
      co_return std::move(*failure);
    co_return finalError(error, inquiry.Runs > 0);
  }
}

// Work that a gate has taken from its endpoint is not given up by a stopping
// node because there is no room elsewhere at this moment.
bool Entry::isOwedAnotherTry(const Inquiry &inquiry, const Error &error) const {
  bool mayRunAgain = inquiry.IsIdempotent && inquiry.Runs > 0 &&
                     inquiry.Runs < inquiry.Way.Policy.MaxAttempts;
  bool hasTime = inquiry.Deadline - now() > inquiry.Cost.Expected &&
                 !isTooLateToStart(inquiry);
  return IsWinding && mayRunAgain && error.Run == RunState::NotRun && hasTime &&
         !inquiry.Scope->IsCancelled;
}

/// Members of other data centres do not hear of passing standings; what a gate
/// said of itself a moment ago goes before.
Standing Entry::standingOf(const GateView &gate, const GateLoadView &load,
                           Instant now) {
  bool isTold = load.Load.standing > 0 &&
                load.Load.standing <= 1 + int(Standing::Draining);
  bool isFresh = load.At != Instant{} && now - load.At < ReportedStandingTerm;
  bool isRecord =
      gate.State == Standing::Draining || gate.State == Standing::Ejected;
  return isTold && isFresh && !isRecord ? Standing(load.Load.standing - 1)
                                        : gate.State;
}

std::vector<Candidate> Entry::candidates(const Inquiry &inquiry, Instant now) {
  const std::string &service = inquiry.Way.Service;
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
      Links.tryAgain(gate.Node, node->second, now);
    it.WasTried =
        std::ranges::find(inquiry.Tried, gate.Node) != inquiry.Tried.end();
    const GateLoadView &load = Loads[loadKey(gate.Node, service)];
    it.State = standingOf(gate, load, now);
    bool isFresh = now - load.At < LoadTerm && load.At != Instant{};
    it.FreeSlots = isFresh ? load.Load.freeSlots
                           : std::max(gate.Slots - load.Outstanding, 0);
    it.Queued = isFresh ? load.Load.queued : 0;
    it.Outstanding = load.Outstanding;
    all.push_back(std::move(it));
  }
  return all;
}

/// Waits a little for a candidate to appear, since news of a change may be on
/// its way.
asio::awaitable<RoutePlan> Entry::planRoute(Inquiry &inquiry, bool isSerialized,
                                            std::vector<Candidate> &all) {
  const auto *router =
      Registry<RouterPolicy>::instance().find(inquiry.Way.Policy.Router);
  Instant until = std::min(now() + CandidatePatience, inquiry.Deadline);
  RouteQuestion question{inquiry.Cost.IsLong,
                         inquiry.IsIdempotent,
                         inquiry.RoomRefusals > 0,
                         isSerialized,
                         inquiry.Fingerprint,
                         inquiry.Way.Policy.TrialOdds,
                         inquiry.Way.Policy.SpillsToDoubtful,
                         inquiry.RoomRefusals};
  while (true) {
    all = candidates(inquiry, now());
    RoutePlan plan = router->Plan(all, question, Rng);
    if (!plan.Targets.empty() || now() >= until)
      co_return plan;
    asio::steady_timer pause(Executor, ResolvePause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<EntryResult> Entry::tryOnce(Inquiry &inquiry, int number) {
  QuarantineRule rule =
      ruleFor(View->Crashes, inquiry.Fingerprint, now(), inquiry.Crashes);
  if (rule == QuarantineRule::Refused)
    co_return makeError(ErrorKind::Quarantined,
                        fingerprintName(inquiry.Fingerprint),
                        inquiry.Way.Policy.QuarantineTerm);
  bool isSerialized = rule == QuarantineRule::Serialized;
  std::vector<Candidate> all;
  RoutePlan plan = co_await planRoute(inquiry, isSerialized, all);
  Attempt attempt;
  attempt.Request = &inquiry;
  attempt.Id = inquiry.Id + "/" + std::to_string(number);
  attempt.AwaitsGrant = plan.AwaitsGrant;
  attempt.OnlyIfFree = plan.OnlyIfFree;
  attempt.IsWaitBounded = plan.IsWaitBounded;
  attempt.IsSpill = isSpill(all, plan);
  attempt.IsSerialized = isSerialized;
  attempt.Box = std::make_shared<StreamMailbox>(Executor);
  for (std::size_t i : plan.Targets) {
    auto node = View->Nodes.find(all[i].Node);
    const auto &gates = View->Services.at(inquiry.Way.Service).Gates;
    if (node == View->Nodes.end())
      continue;
    GateView gate = gates[i];
    gate.State = all[i].State;
    attempt.Targets.push_back({gate, node->second, nullptr, 0, false});
  }
  logRoute(inquiry, number, attempt, plan);
  if (attempt.Targets.empty())
    co_return makeError(ErrorKind::NoEndpoint, plan.Reason, DefaultRetryAfter);
  if (inquiry.Scope->IsCancelled)
    co_return makeError(ErrorKind::Cancelled);
  inquiry.Scope->OnCancel = [box = attempt.Box] {
    box->put({0, CancelledEvent{}});
  };
  Attempts.insert(&attempt);
  EntryResult result;
  if (attempt.AwaitsGrant)
    result = co_await leaveTickets(attempt);
  else
    result = co_await sendDirect(attempt);
  Attempts.erase(&attempt);
  inquiry.Scope->OnCancel = nullptr;
  for (std::size_t i = 0; i < attempt.Targets.size(); ++i)
    withdraw(attempt, i);
  // Another data centre may have room.
  auto *error = std::get_if<Error>(&result);
  if (error && attempt.IsWaitBounded && error->Kind == ErrorKind::Overloaded)
    error->Kind = ErrorKind::SlotTaken;
  co_return result;
}

void Entry::logRoute(const Inquiry &inquiry, int number, const Attempt &attempt,
                     const RoutePlan &plan) const {
  if (!isLogged(LogLevel::Info))
    return;
  json chosen = json::array();
  for (const Attempt::Target &it : attempt.Targets)
    chosen.push_back(it.Gate.Node);
  auto view = View->Services.find(inquiry.Way.Service);
  logEvent(LogLevel::Info, "route",
           {{"request", inquiry.Id},
            {"caller_id", inquiry.CallerId},
            {"attempt", number},
            {"route", inquiry.Way.Path},
            {"service", inquiry.Way.Service},
            {"settings_revision", View->SettingsNext},
            {"priority", inquiry.Way.Policy.Priority},
            {"left_ms", toMillis(inquiry.Deadline - now()).count()},
            {"candidates",
             view == View->Services.end() ? 0 : view->second.Gates.size()},
            {"choice", chosen},
            {"reason", plan.Reason}});
}

HttpAnswer Entry::problem(const Error &error, const std::string &id,
                          Micros timeLeft) {
  const ErrorAnswer &row = answerFor(error.Kind);
  Counters.countError(std::string(row.Name));
  HttpAnswer answer;
  answer.Status = statusOf(error);
  json body = {{"type", "about:blank"},   {"title", row.Title},
               {"status", answer.Status}, {"detail", error.Detail},
               {"kind", row.Name},        {"run", toString(error.Run)},
               {"request_id", id}};
  if (row.IsRetryable && error.Run == RunState::NotRun) {
    Millis wait = retryAdvice(error.RetryAfter, toMillis(timeLeft), Rng);
    body["retry_after_ms"] = wait.count();
    answer.Headers.push_back({"Retry-After", formatRetryAfter(Dialect, wait)});
  }
  answer.Headers.push_back({"Content-Type", "application/problem+json"});
  answer.Content = std::make_shared<const std::string>(
      body.dump(-1, ' ', false, json::error_handler_t::replace));
  logEvent(LogLevel::Warn, "problem",
           {{"request", id},
            {"kind", row.Name},
            {"run", toString(error.Run)},
            {"detail", error.Detail}});
  return answer;
}

} // namespace hickoryglade::fleet
