#include "libfleet/entry/entryattempt.h"

#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of Entry that sends attempts to gates and processes their replies.

namespace hickoryglade::fleet {

namespace {

/// Subtracted from the caller's deadline for the gate, so that a reply at the
/// gate's deadline arrives in time.
constexpr Micros AnswerMargin = std::chrono::milliseconds(2);

/// Time reserved for writing the last responses before the node exits.
constexpr Micros AnswerWriteTime = std::chrono::milliseconds(150);

/// After this many refusals by doubtful endpoints, a non-idempotent request
/// also accepts an endpoint whose running work is silent.
constexpr int MaxDoubtRefusals = 4;

/// Most requests complete within this multiple of their expected run time.
constexpr int UsualRunFactor = 2;

} // namespace

Error shutdownError(RunState run) {
  return {ErrorKind::ShuttingDown, run, "the node ends", DefaultRetryAfter};
}

std::string loadKey(const std::string &node, const std::string &service) {
  return node + ' ' + service;
}

/// Returns nullptr as soon as the attempt is over: a wait for the connection
/// may be longer than the time that is left to write the response.
asio::awaitable<std::shared_ptr<GateClient>>
Entry::connect(const Attempt &attempt, std::string node, NodeView view) {
  std::function<bool()> isOver = [&attempt] { return attempt.isOver(); };
  co_return co_await Links.connect(std::move(node), view,
                                   attempt.Request->Deadline, isOver);
}

asio::awaitable<bool> Entry::openTarget(Attempt &attempt, std::size_t target) {
  Attempt::Target &it = attempt.Targets[target];
  auto client = co_await connect(attempt, it.Gate.Node, it.Node);
  if (!client)
    co_return false;
  openStream(attempt, target, std::move(client));
  co_return true;
}

void Entry::openStream(Attempt &attempt, std::size_t target,
                       std::shared_ptr<GateClient> client) {
  Attempt::Target &it = attempt.Targets[target];
  it.Client = std::move(client);
  it.Stream = it.Client->open(attempt.Box, target);
  it.IsOpen = true;
  ++Loads[loadKey(it.Gate.Node, attempt.Request->MatchedRoute.Service)]
        .Outstanding;
}

wire::Ticket Entry::makeTicket(const Attempt &attempt,
                               std::size_t target) const {
  const RequestContext &context = *attempt.Request;
  const Attempt::Target &it = attempt.Targets[target];
  wire::Ticket ticket;
  ticket.attemptId = attempt.Id;
  ticket.workspace = context.MatchedRoute.Workspace;
  ticket.serviceName = context.MatchedRoute.Service;
  ticket.gateBootId = it.Node.BootId;
  ticket.timeoutMs = toMillis(context.Deadline - AnswerMargin - now()).count();
  ticket.linkAgeMs = it.Client->channel().ageMs();
  ticket.targetMs = std::max<std::int64_t>(
      toMillis(context.Target - AnswerMargin - now()).count(), 1);
  ticket.expectedCostUs = context.Cost.Expected.count();
  ticket.isLong = context.Cost.IsLong;
  ticket.isIdempotent = context.IsIdempotent;
  ticket.fingerprint = std::int64_t(context.Fingerprint);
  ticket.knownCrashes = context.Crashes;
  ticket.onlyIfFree = attempt.OnlyIfFree;
  ticket.isSpill = attempt.IsSpill;
  ticket.awaitsClaim = attempt.AwaitsGrant;
  ticket.isRepeat = context.Arrivals > 0;
  ticket.acceptsDoubtful = it.Gate.State != Standing::Healthy;
  ticket.acceptsSilent = context.DoubtRefusals >= MaxDoubtRefusals;
  if (attempt.IsWaitBounded)
    ticket.maxWaitMs = context.MatchedRoute.Policy.NearWait.count();
  ticket.decidesRetry = true;
  ticket.isLastTry =
      IsDraining || context.Runs + 1 >= context.MatchedRoute.Policy.MaxAttempts;
  ticket.priority = context.MatchedRoute.Policy.Priority;
  ticket.isSerialized = attempt.IsSerialized;
  auto sheds = Sheds.find(context.MatchedRoute.Service);
  if (context.MatchedRoute.Policy.ComparesSheds && sheds != Sheds.end())
    if (auto percent = shedPercent(sheds->second, now()))
      ticket.__set_shedPercent(*percent);
  std::vector<wire::EndpointNotice> notices = noticesFor(attempt, target);
  if (!notices.empty())
    ticket.__set_notices(notices);
  return ticket;
}

std::vector<wire::EndpointNotice> Entry::noticesFor(const Attempt &attempt,
                                                    std::size_t target) const {
  const GateView &gate = attempt.Targets[target].Gate;
  std::vector<wire::EndpointNotice> all;
  for (const HeardNotice &it : hickoryglade::noticesFor(
           Notices, attempt.Request->MatchedRoute.Service,
           {gate.Node, gate.BootId}, gate.EndpointHashes)) {
    wire::EndpointNotice out;
    out.endpoint = it.Endpoint;
    out.incarnation = it.Incarnation;
    out.isLeaving = it.Notice.IsLeaving;
    if (it.Notice.Limit)
      out.__set_limit(*it.Notice.Limit);
    out.ageMs = toMillis(now() - it.HeardAt).count();
    all.push_back(std::move(out));
  }
  return all;
}

/// Remembers what the endpoint said about itself in an answer.
void Entry::noteAnswer(Attempt &attempt, std::size_t target,
                       const AnswerEvent &answer) {
  const GateView &gate = attempt.Targets[target].Gate;
  HeardNotice notice;
  notice.Endpoint = answer.Endpoint;
  notice.Gate = {gate.Node, gate.BootId};
  notice.HeardAt = now();
  if (answer.Notice) {
    notice.Incarnation = answer.Notice->incarnation;
    notice.Notice.IsLeaving = answer.Notice->isLeaving;
    if (answer.Notice->__isset.limit)
      notice.Notice.Limit = answer.Notice->limit;
  }
  const std::string &service = attempt.Request->MatchedRoute.Service;
  if (OnNotice)
    OnNotice(service, notice);
  takeNotice(service, std::move(notice));
  noteResult(Sheds[service], false, now());
}

void Entry::sendCall(Attempt &attempt, std::size_t target) {
  const HttpRequest &http = attempt.Request->Http;
  Attempt::Target &it = attempt.Targets[target];
  attempt.SentAt = now();
  wire::Frame frame;
  frame.stream = it.Stream;
  frame.call.ticket = makeTicket(attempt, target);
  frame.call.method = http.Method;
  frame.call.target = http.Target;
  for (const HttpHeader &header : http.Headers) {
    if (isHopByHop(header.Name))
      continue;
    wire::Header out;
    out.name = header.Name;
    out.value = header.Value;
    frame.call.headers.push_back(std::move(out));
  }
  frame.call.bodyBytes = std::int64_t(http.Content->size());
  frame.__isset.call = true;
  it.Client->channel().send(std::move(frame));
  it.Client->channel().sendBody(it.Stream, http.Content, BodyKind::Http);
}

// Gates of earlier releases end overdue runs by themselves, for a retry that
// might not complete before this node exits.
void Entry::beginDrain(Instant end, Instant lateAfter) {
  IsDraining = true;
  EndsAt = end;
  LateAfter = lateAfter;
  for (Attempt *attempt : Attempts)
    for (Attempt::Target &it : attempt->Targets) {
      if (!it.IsOpen)
        continue;
      wire::Frame frame;
      frame.stream = it.Stream;
      frame.__set_keep({});
      it.Client->channel().send(std::move(frame));
    }
}

/// The refusal lets the caller safely send the request to another node, and a
/// run that takes longer than expected would be broken off.
bool Entry::isTooLateToTake(const RequestContext &context) const {
  return EndsAt && now() >= LateAfter &&
         context.Deadline + AnswerWriteTime >= *EndsAt;
}

/// Says so only of requests whose expected run time does not fit, since most
/// callers are served worse by a refusal than by a run that may end in time.
bool Entry::cannotEnd(const RequestContext &context) const {
  Micros work = context.Cost.Expected;
  return EndsAt && now() + work + AnswerWriteTime >= *EndsAt;
}

bool Entry::isTooLateToStart(const RequestContext &context) const {
  Micros work = UsualRunFactor * context.Cost.Expected;
  return EndsAt && now() + work + AnswerWriteTime >= *EndsAt;
}

// A waiting request that starts too late would be aborted halfway. Failing it
// before it runs lets the caller safely send it to another node.
void Entry::enforceShutdownDeadline(Instant end) {
  EndsAt = end;
  bool isOver = now() + AnswerWriteTime >= end;
  for (Attempt *attempt : Attempts) {
    bool isHopeless =
        isOver || (attempt->isWaiting() && isTooLateToStart(*attempt->Request));
    if (attempt->IsStopped || !isHopeless)
      continue;
    attempt->IsStopped = true;
    attempt->Box->put({0, StoppedEvent{}});
  }
}

/// Closes a stream that is still open and sends the gate a cancel frame.
void Entry::cancelStream(Attempt &attempt, std::size_t target) {
  Attempt::Target &it = attempt.Targets[target];
  if (!it.IsOpen)
    return;
  it.IsOpen = false;
  --Loads[loadKey(it.Gate.Node, attempt.Request->MatchedRoute.Service)]
        .Outstanding;
  it.Client->closeStream(it.Stream);
  wire::Frame frame;
  frame.stream = it.Stream;
  frame.__set_cancel({});
  it.Client->channel().send(std::move(frame));
}

asio::awaitable<EntryResult> Entry::sendDirect(Attempt &attempt) {
  bool isOpen = co_await openTarget(attempt, 0);
  if (!isOpen)
    co_return makeError(ErrorKind::NoEndpoint, "the gate cannot be reached",
                        DefaultRetryAfter);
  if (attempt.Request->Scope->IsCancelled)
    co_return Error{ErrorKind::Cancelled, RunState::NotRun, {}, {}};
  attempt.Request->LastGate = attempt.Targets[0].Gate.Node;
  sendCall(attempt, 0);
  co_return co_await awaitAnswer(attempt, 0);
}

/// Returns the number of gates that the tickets were sent to.
asio::awaitable<std::size_t> Entry::offerTickets(Attempt &attempt) {
  attempt.Request->LastGate.clear();
  std::size_t open = 0;
  for (std::size_t i = 0; i < attempt.Targets.size(); ++i) {
    bool isOpen = co_await openTarget(attempt, i);
    if (!isOpen)
      continue;
    ++open;
    Attempt::Target &it = attempt.Targets[i];
    wire::Frame frame;
    frame.stream = it.Stream;
    frame.__set_ticket(makeTicket(attempt, i));
    it.Client->channel().send(std::move(frame));
  }
  co_return open;
}

/// Sends the request to a gate that has granted a slot, and cancels the others.
asio::awaitable<EntryResult> Entry::claimGrant(Attempt &attempt,
                                               std::size_t target) {
  attempt.IsGranted = true;
  for (std::size_t i = 0; i < attempt.Targets.size(); ++i)
    if (i != target)
      cancelStream(attempt, i);
  attempt.Request->LastGate = attempt.Targets[target].Gate.Node;
  sendCall(attempt, target);
  co_return co_await awaitAnswer(attempt, target);
}

asio::awaitable<EntryResult> Entry::sendTickets(Attempt &attempt) {
  std::size_t open = co_await offerTickets(attempt);
  Error last = makeError(ErrorKind::NoEndpoint, "no gate can be reached",
                         DefaultRetryAfter);
  while (open > 0) {
    std::optional<StreamEvent> event =
        co_await attempt.Box->next(attempt.waitUntil());
    if (!event)
      co_return Error{ErrorKind::DeadlineExceeded, RunState::NotRun,
                      "no slot became free in time", DefaultRetryAfter};
    bool isCancelled = std::holds_alternative<CancelledEvent>(event->Content);
    if (isCancelled || attempt.Request->Scope->IsCancelled)
      co_return Error{ErrorKind::Cancelled, RunState::NotRun, {}, {}};
    if (std::holds_alternative<StoppedEvent>(event->Content))
      co_return shutdownError(RunState::NotRun);
    if (std::holds_alternative<GrantEvent>(event->Content))
      co_return co_await claimGrant(attempt, event->Tag);
    if (auto *failure = std::get_if<wire::Failure>(&event->Content)) {
      bool wasLimited = last.Kind == ErrorKind::EndpointLimited;
      Error refusal = toError(attempt, *failure);
      // Gates that are merely limited may have kept the request from others
      // with room.
      if (!wasLimited || refusal.Kind != ErrorKind::Overloaded)
        last = refusal;
      if (refusal.Kind != ErrorKind::Overloaded)
        attempt.Request->Tried.push_back(attempt.Targets[event->Tag].Gate.Node);
      noteLoad(attempt.Targets[event->Tag].Gate.Node,
               attempt.Request->MatchedRoute.Service, failure->load);
    }
    cancelStream(attempt, event->Tag);
    --open;
  }
  co_return last;
}

asio::awaitable<EntryResult> Entry::awaitAnswer(Attempt &attempt,
                                                std::size_t target) {
  bool isIdempotent = attempt.Request->IsIdempotent;
  // Result of this attempt that a replacement may still improve.
  std::optional<EntryResult> held;
  while (true) {
    std::optional<StreamEvent> event =
        co_await attempt.Box->next(attempt.nextLook());
    bool isLook = !event && now() < attempt.waitUntil();
    bool isStopped =
        event && std::holds_alternative<StoppedEvent>(event->Content);
    bool isCancelled =
        event && std::holds_alternative<CancelledEvent>(event->Content);
    bool isOver = (!event && !isLook) || isStopped;
    if (isOver && held)
      co_return std::move(*held);
    if (isOver || isCancelled)
      co_return endedResult(attempt, target, event);
    if (event && std::holds_alternative<ReplacementEvent>(event->Content)) {
      std::optional<EntryResult> answer = takeReplacement(attempt, target);
      if (answer)
        co_return std::move(*answer);
      if (held)
        co_return std::move(*held);
      replaceLostAgain(attempt, target);
      continue;
    }
    if (event && event->Tag != target)
      continue;
    auto *lost = event ? std::get_if<LostEvent>(&event->Content) : nullptr;
    if (lost && !lost->HasNotRun && !isIdempotent)
      co_return co_await resolveOutcome(attempt, target);
    std::optional<EntryResult> result =
        isLook ? lookForGate(attempt, target)
               : takeOwnEvent(attempt, target, *event);
    if (!result)
      continue;
    if (!attempt.ActiveReplacement || isFinalResponse(*result, isIdempotent))
      co_return std::move(*result);
    held = std::move(result);
    promoteReplacement(attempt);
  }
}

/// The result of an attempt whose caller, time or node ends before the gate has
/// answered.
EntryResult Entry::endedResult(const Attempt &attempt, std::size_t target,
                               const std::optional<StreamEvent> &event) {
  if (!event)
    return abandonRun(attempt, target,
                      makeError(ErrorKind::DeadlineExceeded,
                                "no word from the gate in time",
                                DefaultRetryAfter));
  if (std::holds_alternative<CancelledEvent>(event->Content))
    return abandonRun(
        attempt, target,
        makeError(ErrorKind::Cancelled, attempt.Request->Scope->Reason));
  return abandonRun(attempt, target, shutdownError(RunState::Unknown));
}

/// Processes an event of the attempt's own stream; returns its result if the
/// event ends it.
std::optional<EntryResult>
Entry::takeOwnEvent(Attempt &attempt, std::size_t target, StreamEvent &event) {
  if (auto *overdue = std::get_if<OverdueEvent>(&event.Content)) {
    takeOverdue(attempt, target, *overdue);
    return std::nullopt;
  }
  if (auto *lost = std::get_if<LostEvent>(&event.Content)) {
    if (lost->HasNotRun && !attempt.LostAt)
      return Error{ErrorKind::ShuttingDown, RunState::NotRun,
                   "the node of the gate has ended", DefaultRetryAfter};
    takeLoss(attempt, target);
    return std::nullopt;
  }
  return attempt.IsAsked ? outcomeFrom(attempt, target, event)
                         : ownResult(attempt, target, event);
}

/// The result that a gate's message gives to an attempt; nullopt if it is not
/// about the result.
std::optional<EntryResult>
Entry::ownResult(Attempt &attempt, std::size_t target, StreamEvent &event) {
  const std::string &service = attempt.Request->MatchedRoute.Service;
  const std::string &node = attempt.Targets[target].Gate.Node;
  if (auto *answer = std::get_if<AnswerEvent>(&event.Content)) {
    noteLoad(node, service, answer->Load);
    noteAnswer(attempt, target, *answer);
    Costs.observe(attempt.Request->Class, answer->RunTime);
    return std::move(answer->Answer);
  }
  if (auto *failure = std::get_if<wire::Failure>(&event.Content)) {
    noteLoad(node, service, failure->load);
    return toError(attempt, *failure);
  }
  if (std::holds_alternative<RevokedEvent>(event.Content))
    return makeError(ErrorKind::GateLost, "the gate holds no answer",
                     DefaultRetryAfter);
  return std::nullopt;
}

/// Logs that the entry no longer waits for an attempt whose endpoint may be at
/// work; returns the error.
Error Entry::abandonRun(const Attempt &attempt, std::size_t target,
                        Error error) {
  Counters.countAbandonedRun(std::string(errorInfo(error.Kind).Name));
  logEvent(
      LogLevel::Info, "run_abandoned",
      {{"request", attempt.Request->Id},
       {"attempt", attempt.Id},
       {"gate", attempt.Targets[target].Gate.Node},
       {"kind", errorInfo(error.Kind).Name},
       {"detail", error.Detail},
       {"ran_ms", toMillis(now() - attempt.SentAt.value_or(now())).count()},
       {"left_ms", toMillis(attempt.Request->Deadline - now()).count()},
       {"stopping", IsDraining.load()},
       {"process_age_ms", toMillis(now() - StartedAt).count()}});
  return error;
}

void Entry::noteLoad(const std::string &node, const std::string &service,
                     const wire::Load &load) {
  GateLoadView &view = Loads[loadKey(node, service)];
  view.Load = load;
  view.At = now();
}

Error Entry::toError(Attempt &attempt, const wire::Failure &failure) {
  bool isShed = errorKindFromWire(failure.kind) == ErrorKind::EndpointShed;
  if (failure.hasReached)
    noteResult(Sheds[attempt.Request->MatchedRoute.Service], isShed, now());
  attempt.Request->Crashes += failure.isCrash;
  attempt.Request->Arrivals += failure.hasReached;
  // A crash that another copy of the request caused counts for this one before
  // its crash record arrives here.
  if (errorKindFromWire(failure.kind) == ErrorKind::ContentSuspect)
    attempt.Request->Crashes = std::max(attempt.Request->Crashes, 1);
  RunState run = failure.run == int(RunState::NotRun) ? RunState::NotRun
                                                      : RunState::Unknown;
  return {errorKindFromWire(failure.kind), run, failure.detail,
          Millis(failure.retryAfterMs)};
}

} // namespace hickoryglade::fleet
