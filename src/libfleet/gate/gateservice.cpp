#include "libfleet/gate/gateservice.h"

#include "libfleet/gate/gateexchange.h"
#include "libfleet/peers/gateclient.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/gateconfirmation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

/// Period of ticks while no request is queued or running.
constexpr Micros IdleTickPeriod = std::chrono::milliseconds(1'000);

/// Results are kept for entries whose link broke before they received them.
constexpr Micros ResultRetention = std::chrono::seconds(10);
constexpr std::size_t MaxResultBytes = 8 * 1024 * 1024;

/// Delay of a frame in its link up to which its timeout is left unchanged. Any
/// further delay is subtracted from the timeout.
constexpr std::int64_t ToleratedLagMs = 50;

/// How long the entry of a lost link may take to ask for the outcome before an
/// overdue run is ended: it notices the loss after up to half a second, and
/// then tries to reach this node for a second.
constexpr Micros AskAgainTime = std::chrono::milliseconds(1'600);

constexpr Micros RevokeRetention = std::chrono::seconds(60);

std::size_t sizeOf(const EndpointResult &result) {
  return result.Answer ? result.Answer->Content->size() : 0;
}

} // namespace

GateService::GateService(asio::any_io_executor ex, const NodeSettings &settings,
                         std::int64_t bootId, const HttpDialect &dialect,
                         BodyBudgetPtr budget, Metrics &metrics, Events events)
    : Executor(ex), Timer(ex), BootId(bootId), Dialect(dialect),
      Counters(metrics), Handlers(std::move(events)), Budget(budget),
      Client(ex, dialect, std::move(budget)) {
  State.Node = settings.Node;
  State.AnnouncementLimit = settings.AnnouncementLimit;
  State.Rng.seed(std::uint64_t(bootId));
}

void GateService::start() { scheduleTick(); }

/// Uses a short period while requests are queued or running.
void GateService::scheduleTick() {
  Micros period = idle() ? IdleTickPeriod : TickPeriod;
  if (IsTicking && period >= CurrentPeriod)
    return;
  IsTicking = true;
  CurrentPeriod = period;
  State.TickDue = now() + period;
  Timer.expires_after(period);
  Timer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    IsTicking = false;
    carryOut(tick(State, now()));
    while (!Results.empty() && now() - Results.front().At > ResultRetention) {
      ResultBytes -= sizeOf(*Results.front().Result);
      Results.pop_front();
    }
    scheduleTick();
  });
}

void GateService::takeFrame(const std::shared_ptr<FrameChannel> &from,
                            wire::Frame frame) {
  StreamRef ref{from, frame.stream};
  if (frame.__isset.ticket)
    takeTicket(ref, frame.ticket);
  else if (frame.__isset.call)
    takeCall(ref, std::move(frame.call));
  else if (frame.__isset.data)
    takeData(ref, std::move(frame.data));
  else if (frame.__isset.cancel)
    takeCancel(ref);
  else if (frame.__isset.keep)
    takeKeep(ref);
  else if (frame.__isset.giveUp)
    takeGiveUp(ref);
  else if (frame.__isset.revoke)
    takeRevoke(ref, frame.revoke);
  scheduleTick();
}

Ticket GateService::toTicket(const wire::Ticket &in, std::int64_t lagMs) const {
  std::int64_t late = std::max<std::int64_t>(lagMs - ToleratedLagMs, 0);
  Ticket out;
  out.AttemptId = in.attemptId;
  out.Workspace = in.workspace;
  out.Service = in.serviceName;
  out.Deadline = now() + Millis(in.timeoutMs - late);
  if (in.targetMs > 0)
    out.Target = now() + Millis(in.targetMs - late);
  out.ExpectedCost = Micros(in.expectedCostUs);
  out.IsLong = in.isLong;
  out.IsIdempotent = in.isIdempotent;
  out.Fingerprint = std::uint64_t(in.fingerprint);
  out.OnlyIfFree = in.onlyIfFree;
  out.KnownCrashes = in.knownCrashes;
  out.AwaitsClaim = in.awaitsClaim;
  out.IsRepeat = in.isRepeat;
  out.AcceptsDoubtful = in.acceptsDoubtful;
  out.AcceptsSilent = in.acceptsSilent;
  out.IsSpill = in.isSpill;
  out.Priority = in.priority;
  out.IsLastTry = in.isLastTry;
  out.DecidesRetry = in.decidesRetry;
  if (in.maxWaitMs > 0)
    out.MaxWait = Millis(in.maxWaitMs);
  out.IsSerialized = in.isSerialized;
  if (in.__isset.shedPercent)
    out.ShedPercent = in.shedPercent;
  return out;
}

void GateService::takeTicket(const StreamRef &ref, const wire::Ticket &ticket) {
  auto channel = ref.Channel.lock();
  if (ticket.gateBootId != BootId)
    return sendFailure(ref, makeError(ErrorKind::WrongGeneration), "", "");
  if (Exchanges.contains(ticket.attemptId))
    return sendFailure(
        ref, makeError(ErrorKind::WrongGeneration, "attempt seen twice"), "",
        "");
  takeNotices(ticket);
  auto exchange = std::make_shared<Exchange>();
  exchange->Request = toTicket(ticket, channel->ageMs() - ticket.linkAgeMs);
  exchange->Origin = ref;
  Exchanges[ticket.attemptId] = exchange;
  carryOut(offer(State, exchange->Request, now()));
}

void GateService::takeCall(const StreamRef &ref, wire::Call call) {
  auto channel = ref.Channel.lock();
  if (call.ticket.gateBootId != BootId)
    return sendFailure(ref, makeError(ErrorKind::WrongGeneration), "", "");
  takeNotices(call.ticket);
  ExchangePtr &slot = Exchanges[call.ticket.attemptId];
  if (slot && (!slot->IsGranted || slot->HasCall))
    return sendFailure(
        ref, makeError(ErrorKind::WrongGeneration, "attempt seen twice"), "",
        "");
  if (!slot) {
    slot = std::make_shared<Exchange>();
    slot->Request =
        toTicket(call.ticket, channel->ageMs() - call.ticket.linkAgeMs);
  }
  ExchangePtr exchange = slot;
  exchange->Origin = ref;
  exchange->HasCall = true;
  // The entry may have begun to stop since it sent the ticket.
  if (call.ticket.isLastTry)
    markLastTry(*exchange);
  exchange->Http = {std::move(call.method), std::move(call.target),
                    fromWire(call.headers), nullptr};
  exchange->ExpectedBytes =
      std::size_t(std::max<std::int64_t>(call.bodyBytes, 0));
  if (exchange->ExpectedBytes == 0)
    bodyComplete(exchange, std::make_shared<const std::string>());
  else if (State.IsDraining)
    refuseIncomplete();
}

GateService::ExchangePtr GateService::findByStream(const StreamRef &ref) const {
  auto channel = ref.Channel.lock();
  auto it = std::ranges::find_if(Exchanges, [&](const auto &entry) {
    const StreamRef &origin = entry.second->Origin;
    return origin.Stream == ref.Stream && origin.Channel.lock() == channel;
  });
  return it == Exchanges.end() ? nullptr : it->second;
}

void GateService::takeData(const StreamRef &ref, wire::Data data) {
  ExchangePtr exchange = findByStream(ref);
  if (!exchange || !exchange->HasCall || exchange->Http.Content)
    return;
  if (!exchange->Held) {
    exchange->Held.emplace(Budget, BodyUse::Relayed);
    if (!exchange->Held->resize(exchange->ExpectedBytes))
      return refuseBody(exchange);
    exchange->Content.reserve(
        std::min(exchange->ExpectedBytes, BodyBudget::MaxReservedBytes));
  }
  exchange->Content += data.bytes;
  if (exchange->Content.size() >= exchange->ExpectedBytes)
    bodyComplete(exchange, makeBody(std::move(exchange->Content),
                                    std::move(*exchange->Held)));
}

/// Drops what a lost link has left behind that has not started: requests that
/// wait for a slot, or whose body has not arrived.
void GateService::dropWaiting(const std::shared_ptr<FrameChannel> &channel) {
  std::vector<std::string> dropped;
  for (const auto &[attempt, it] : Exchanges)
    if (it->Endpoint.empty() && it->Origin.Channel.lock() == channel)
      dropped.push_back(attempt);
  // A granted slot goes to the next request in the queue as it is released.
  std::ranges::stable_partition(dropped, [&](const std::string &attempt) {
    return !Exchanges.at(attempt)->IsGranted;
  });
  for (const std::string &attempt : dropped) {
    Exchanges.erase(attempt);
    carryOut(cancel(State, attempt, now()));
  }
}

/// Refuses requests whose body has not arrived, since they would be refused
/// then.
void GateService::refuseIncomplete() {
  std::vector<std::string> incomplete;
  for (const auto &[attempt, it] : Exchanges)
    if (it->HasCall && !it->IsGranted && !it->Http.Content)
      incomplete.push_back(attempt);
  for (const std::string &attempt : incomplete)
    carryOut(offer(State, Exchanges.at(attempt)->Request, now()));
}

void GateService::takeBody(const std::shared_ptr<FrameChannel> &from,
                           std::int64_t stream, Body body) {
  ExchangePtr exchange = findByStream({from, stream});
  if (exchange && exchange->HasCall && !exchange->Http.Content)
    bodyComplete(exchange, std::move(body));
  scheduleTick();
}

/// Refuses a request whose body has no room here; another gate may have room.
void GateService::refuseBody(const ExchangePtr &exchange) {
  const std::string &attempt = exchange->Request.AttemptId;
  Error reason{ErrorKind::SlotTaken, RunState::NotRun,
               "no memory is left for long bodies", Millis{0}};
  GateActions actions = cancel(State, attempt, now());
  actions.insert(actions.begin(), RefuseAction{attempt, reason});
  carryOut(std::move(actions));
}

void GateService::bodyComplete(const ExchangePtr &exchange, Body body) {
  exchange->Http.Content = std::move(body);
  const std::string &attempt = exchange->Request.AttemptId;
  if (exchange->IsGranted)
    carryOut(claim(State, attempt, now()));
  else
    carryOut(offer(State, exchange->Request, now()));
}

void GateService::takeCancel(const StreamRef &ref) {
  ExchangePtr exchange = findByStream(ref);
  if (!exchange)
    return;
  carryOut(cancel(State, exchange->Request.AttemptId, now()));
  Exchanges.erase(exchange->Request.AttemptId);
}

void GateService::takeKeep(const StreamRef &ref) {
  ExchangePtr exchange = findByStream(ref);
  if (exchange)
    markLastTry(*exchange);
}

void GateService::markLastTry(Exchange &exchange) {
  exchange.Request.IsLastTry = true;
  keep(State, exchange.Request.AttemptId);
}

void GateService::takeGiveUp(const StreamRef &ref) {
  ExchangePtr exchange = findByStream(ref);
  if (exchange)
    carryOut(giveUpOverdue(State, exchange->Request.AttemptId));
}

void GateService::takeRevoke(const StreamRef &ref,
                             const wire::Revoke &revokeFrame) {
  auto channel = ref.Channel.lock();
  wire::Frame frame;
  frame.stream = ref.Stream;
  if (revokeFrame.gateBootId != BootId)
    return sendFailure(
        ref, makeError(ErrorKind::GateLost, "the node was replaced"), "", "");
  auto done =
      std::ranges::find(Results, revokeFrame.attemptId, &Finished::Attempt);
  if (done != Results.end())
    return reply(ref, *done->Result, "", done->Endpoint);
  GateActions actions;
  Instant expiresAt = now() + Millis(revokeFrame.timeoutMs) + RevokeRetention;
  StartState state =
      revoke(State, revokeFrame.attemptId, expiresAt, now(), actions);
  auto exchange = Exchanges.find(revokeFrame.attemptId);
  if (state == StartState::Started && exchange != Exchanges.end()) {
    takeOver(*exchange->second, ref);
  } else {
    frame.revoked.state = int(state);
    frame.__isset.revoked = true;
    channel->send(std::move(frame));
    if (state == StartState::Fenced)
      Exchanges.erase(revokeFrame.attemptId);
  }
  carryOut(std::move(actions));
}

/// Has a stream get the result of a run whose first link is lost. For an
/// idempotent run its entry itself asks, so that the stream takes the place of
/// the first one: reports go to it, and it may end the run.
void GateService::takeOver(Exchange &exchange, const StreamRef &ref) {
  if (!exchange.Request.IsIdempotent) {
    exchange.Followers.push_back(ref);
    return;
  }
  exchange.Origin = ref;
  exchange.LostAt.reset();
}

void GateService::carryOut(GateActions actions) {
  for (GateAction &action : actions)
    std::visit([this](const auto &it) { carryOutOne(it); }, action);
}

void GateService::carryOutOne(const StartAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  if (it == Exchanges.end()) {
    carryOut(
        complete(State, action.AttemptId, AttemptOutcome::Cancelled, now()));
    return;
  }
  it->second->Endpoint = action.Endpoint;
  asio::co_spawn(Executor, run(it->second, action.Endpoint), asio::detached);
}

void GateService::carryOutOne(const GrantAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  auto channel =
      it == Exchanges.end() ? nullptr : it->second->Origin.Channel.lock();
  if (!channel || !channel->isOpen()) {
    carryOut(cancel(State, action.AttemptId, now()));
    Exchanges.erase(action.AttemptId);
    return;
  }
  it->second->IsGranted = true;
  wire::Frame frame;
  frame.stream = it->second->Origin.Stream;
  frame.grant.endpoint = action.Endpoint;
  if (it->second->Request.OnlyIfFree)
    frame.grant.__set_load(wireLoad(it->second->Request.Service));
  frame.__isset.grant = true;
  channel->send(std::move(frame));
}

void GateService::carryOutOne(const RefuseAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  if (it == Exchanges.end())
    return;
  ExchangePtr exchange = it->second;
  Exchanges.erase(it);
  logEvent(
      LogLevel::Info, "gate_refused",
      {{"request", action.AttemptId.substr(0, action.AttemptId.rfind('/'))},
       {"attempt", action.AttemptId},
       {"kind", errorInfo(action.Reason.Kind).Name},
       {"detail", action.Reason.Detail},
       {"repeat", exchange->Request.IsRepeat}});
  if (action.Reason.Kind == ErrorKind::EndpointLimited)
    Counters.countLimited(exchange->Request.Service, "refused");
  sendFailure(exchange->Origin, action.Reason, exchange->Request.Service,
              exchange->Endpoint);
}

void GateService::carryOutOne(const AbortAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  if (it == Exchanges.end())
    return;
  ExchangePtr exchange = it->second;
  exchange->Handle->IsCancelled = true;
  if (exchange->Handle->Cancel)
    exchange->Handle->Cancel();
  AttemptOutcome outcome = AttemptOutcome::Failed;
  if (action.Reason.Kind == ErrorKind::DeadlineExceeded)
    outcome = AttemptOutcome::TimedOut;
  // Neither says anything about the endpoint.
  if (action.Reason.Kind == ErrorKind::Cancelled ||
      action.Reason.Kind == ErrorKind::GateLost)
    outcome = AttemptOutcome::Cancelled;
  Micros runTime = exchange->SentAt ? now() - *exchange->SentAt : Micros{0};
  finish(exchange, {outcome, std::nullopt, action.Reason, runTime});
}

void GateService::carryOutOne(const OverdueAction &action) {
  auto it = Exchanges.find(action.AttemptId);
  if (it == Exchanges.end())
    return;
  Exchange &exchange = *it->second;
  auto channel = exchange.Origin.Channel.lock();
  if (!channel || !channel->isOpen()) {
    if (!exchange.LostAt)
      exchange.LostAt = now();
    // Later nobody waits for the answer any more.
    if (now() - *exchange.LostAt >= AskAgainTime)
      carryOut(giveUpOverdue(State, action.AttemptId));
    return;
  }
  wire::Frame frame;
  frame.stream = it->second->Origin.Stream;
  frame.__set_overdue({});
  if (action.EndsIn)
    frame.overdue.__set_endsInMs(toMillis(*action.EndsIn).count());
  channel->send(std::move(frame));
}

void GateService::carryOutOne(const StandingAction &action) {
  logEvent(LogLevel::Info, "endpoint_standing",
           {{"endpoint", action.Endpoint},
            {"standing", toString(action.State)},
            {"reason", action.Reason}});
  Counters.countStandingChange(std::string(toString(action.State)));
  if (action.State == Standing::Suspect) {
    auto it = State.Endpoints.find(action.Endpoint);
    if (it != State.Endpoints.end())
      Client.closeIdle(it->second.Announced.Address);
  }
  publishEndpoints();
}

void GateService::carryOutOne(const EjectionAction &action) {
  Handlers.OnEjection(action);
}

void GateService::carryOutOne(const CrashAction &action) {
  const CrashRecord &record = State.Crashes.Records[action.Fingerprint];
  logEvent(LogLevel::Warn, "endpoint_crash",
           {{"service", action.Service},
            {"fingerprint", fingerprintName(action.Fingerprint)},
            {"crash", action.Crash},
            {"crashes", record.unexplained()},
            {"completed_before", record.CompletedAt.has_value()}});
  Handlers.OnCrash(action.Fingerprint, record);
}

void GateService::carryOutOne(const ContentClearedAction &action) {
  const CrashRecord &record = State.Crashes.Records[action.Fingerprint];
  logEvent(LogLevel::Info, "content_cleared",
           {{"fingerprint", fingerprintName(action.Fingerprint)},
            {"crashes", record.unexplained()}});
  Handlers.OnCrash(action.Fingerprint, record);
}

asio::awaitable<void> GateService::run(ExchangePtr exchange,
                                       std::string endpoint) {
  auto it = State.Endpoints.find(endpoint);
  if (it == State.Endpoints.end() || exchange->IsDone)
    co_return;
  HttpRequest request = std::exchange(exchange->Http, HttpRequest{});
  std::string attempt = exchange->Request.AttemptId;
  if (!Dialect.IsIdFromCaller)
    request.Headers.push_back(
        {Dialect.RequestIdHeader, attempt.substr(0, attempt.rfind('/'))});
  auto left = toMillis(exchange->Request.Deadline - now()).count();
  request.Headers.push_back({Dialect.DeadlineHeader, std::to_string(left)});
  if (!Dialect.ExpectedEndpointHeader.empty())
    request.Headers.push_back({Dialect.ExpectedEndpointHeader, endpoint});
  Instant start = now();
  exchange->SentAt = start;
  Counters.countEndpointRequest(exchange->Request.Service);
  Counters.observeStage(exchange->Request.Service, Stage::Queued,
                        start - exchange->ArrivedAt);
  EndpointCall call{it->second.Announced.Address, std::move(request),
                    exchange->Request.IsIdempotent, exchange->Request.Deadline};
  EndpointResult result =
      co_await Client.exchange(std::move(call), exchange->Handle);
  result.RunTime = now() - start;
  Counters.observeStage(exchange->Request.Service, Stage::AtEndpoint,
                        result.RunTime);
  finish(exchange, std::move(result));
}

void GateService::finish(const ExchangePtr &exchange, EndpointResult result) {
  if (exchange->IsDone)
    return;
  exchange->IsDone = true;
  const std::string &attempt = exchange->Request.AttemptId;
  logResult(*exchange, result);
  takeHeaders(*exchange, result);
  GateActions actions = complete(State, attempt, result.Outcome, now());
  Exchanges.erase(attempt);
  auto kept = std::make_shared<const EndpointResult>(std::move(result));
  reply(exchange->Origin, *kept, exchange->Request.Service, exchange->Endpoint);
  for (const StreamRef &follower : exchange->Followers)
    reply(follower, *kept, exchange->Request.Service, exchange->Endpoint);
  keepFinished(exchange, std::move(kept));
  carryOut(std::move(actions));
}

void GateService::keepFinished(const ExchangePtr &exchange,
                               std::shared_ptr<const EndpointResult> result) {
  ResultBytes += sizeOf(*result);
  Results.push_back({exchange->Request.AttemptId, std::move(result),
                     exchange->Endpoint, now()});
  while (ResultBytes > MaxResultBytes) {
    ResultBytes -= sizeOf(*Results.front().Result);
    Results.pop_front();
  }
}

void GateService::reply(const StreamRef &ref, const EndpointResult &result,
                        const std::string &service,
                        const std::string &endpoint) {
  if (!result.Answer)
    return sendFailure(ref, result.Failure, service, endpoint, &result);
  auto channel = ref.Channel.lock();
  if (!channel || !channel->isOpen())
    return;
  wire::Frame frame =
      toFrame(*result.Answer, endpoint, wireLoad(service), result.RunTime);
  frame.stream = ref.Stream;
  if (auto notice = wireNotice(endpoint))
    frame.answer.__set_notice(*notice);
  channel->send(std::move(frame));
  channel->sendBody(ref.Stream, result.Answer->Content, BodyKind::Http);
}

void GateService::sendFailure(const StreamRef &ref, const Error &reason,
                              const std::string &service,
                              const std::string &endpoint,
                              const EndpointResult *result) {
  auto channel = ref.Channel.lock();
  if (!channel || !channel->isOpen())
    return;
  wire::Frame frame;
  frame.stream = ref.Stream;
  frame.failure.isCrash = result && result->Outcome == AttemptOutcome::Crashed;
  frame.failure.hasReached =
      result && result->Outcome != AttemptOutcome::Unreachable;
  frame.failure.kind = int(reason.Kind);
  frame.failure.run = int(reason.Run);
  frame.failure.detail = reason.Detail;
  frame.failure.retryAfterMs = reason.RetryAfter.count();
  frame.failure.load = wireLoad(service);
  frame.failure.endpoint = endpoint;
  frame.__isset.failure = true;
  channel->send(std::move(frame));
}

wire::Load GateService::wireLoad(const std::string &service) const {
  GateLoad load = loadOf(State, service, now());
  wire::Load out;
  out.freeSlots = load.FreeSlots;
  out.queued = load.Queued;
  out.slots = load.Slots;
  out.standing = load.Best ? 1 + int(*load.Best) : 0;
  if (load.Limit) {
    out.__set_limitPerSecond(*load.Limit);
    out.__set_limitWaitMs(std::int32_t(toMillis(load.LimitWait).count()));
  }
  return out;
}

std::int64_t GateService::announceEndpoint(const Announcement &facts) {
  carryOut(announce(State, facts, now()));
  if (State.Unconfirmed.contains(facts.Name))
    logEvent(LogLevel::Info, "endpoint_unconfirmed",
             {{"endpoint", facts.Name},
              {"started_at_ms", facts.StartedAtMs},
              {"sequence", facts.Sequence}});
  publishEndpoints();
  auto after = State.Endpoints.find(facts.Name);
  return after == State.Endpoints.end() ? 0 : after->second.Generation;
}

void GateService::withdrawEndpoint(const std::string &name) {
  carryOut(withdraw(State, name, now()));
}

void GateService::departEndpoint(const DepartedRecord &departed) {
  if (!State.Endpoints.contains(departed.Name))
    logEvent(
        LogLevel::Info, "unknown_endpoint_departed",
        {{"endpoint", departed.Name}, {"started_at_ms", departed.StartedAtMs}});
  carryOut(hickoryglade::noteDeparted(State, departed, now()));
  publishEndpoints();
}

void GateService::noteDeparted(const std::vector<DepartedRecord> &departed) {
  for (const DepartedRecord &it : departed) {
    logEvent(LogLevel::Info, "endpoint_departed_before",
             {{"endpoint", it.Name}, {"started_at_ms", it.StartedAtMs}});
    carryOut(hickoryglade::noteDeparted(State, it, now()));
  }
  publishEndpoints();
}

void GateService::beginConfirmation() {
  hickoryglade::beginConfirmation(State);
}

void GateService::endConfirmation() {
  carryOut(hickoryglade::endConfirmation(State, now()));
  publishEndpoints();
}

void GateService::applyEjection(const std::string &endpoint,
                                std::optional<Instant> until) {
  carryOut(setEjection(State, endpoint, until, now()));
}

void GateService::applyView(const FleetViewPtr &view) {
  for (const auto &[name, service] : view->Services) {
    State.Services[name].Policy = service.Policy;
    State.Services[name].Shares = service.Shares;
    noteGates(State.Services[name], int(service.Gates.size()));
  }
  for (const auto &[fingerprint, record] : view->Crashes.Records)
    carryOut(noteForeignCrash(State, fingerprint, record));
  State.Crashes.Released = view->Crashes.Released;
  Client.setReusesLonger(view->Root.ReusesConnections);
}

void GateService::drainNow(Instant endsAt) {
  carryOut(drain(State, endsAt, now()));
  refuseIncomplete();
}

nlohmann::json GateService::report() const {
  auto all = nlohmann::json::array();
  for (const auto &[name, it] : State.Endpoints)
    all.push_back(
        {{"name", name},
         {"service", it.Announced.Service},
         {"address", it.Announced.Address},
         {"slots", it.Announced.Slots},
         {"busy", it.Holders.size()},
         {"limit",
          it.Limit ? nlohmann::json(it.Limit->PerSecond) : nlohmann::json()},
         {"limit_wait_ms", toMillis(limitWaitOf(it, now())).count()},
         {"standing", toString(it.State)},
         {"reason", it.StateReason},
         {"for_ms", toMillis(now() - it.StateSince).count()},
         {"announced_ms_ago", toMillis(now() - it.LastAnnounced).count()}});
  return all;
}

void GateService::publishEndpoints() {
  std::vector<EndpointRecord> records;
  for (const auto &[name, it] : State.Endpoints) {
    bool isSilent = now() - it.LastAnnounced > it.AnnouncementLimit;
    records.push_back({name, it.Announced.Service, it.Announced.Slots,
                       it.Generation,
                       isSilent ? Standing::Draining : it.State});
  }
  std::vector<DepartedRecord> departed = departedRecords(State);
  if (records == Published && departed == PublishedDeparted)
    return;
  Published = records;
  PublishedDeparted = departed;
  Handlers.OnEndpoints(std::move(records), std::move(departed));
}

} // namespace hickoryglade::fleet
