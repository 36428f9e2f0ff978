#include "libfleet/keys/keyedcall.h"

#include "libfleet/reporting/logging.h"
#include "libhickoryglade/keyplacement.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

/// A grant is valid only if it arrives within this time of the request. A
/// keeper process that was paused in between may have lost its lease meanwhile.
constexpr Micros MaxGrantAge = std::chrono::seconds(3);

constexpr Micros KeeperCallTimeout = std::chrono::milliseconds(1'500);
constexpr Micros RecordTimeout = std::chrono::seconds(1);
constexpr Micros KeyPollInterval = std::chrono::milliseconds(30);

/// Time that a request waits for a grant before it fails with
/// KeeperUnavailable.
constexpr Micros GrantTimeout = std::chrono::seconds(3);

constexpr Millis RetryAfterKeyError = std::chrono::seconds(2);

/// True for verdicts that may soon change without action by the caller.
bool isTransient(KeyVerdict verdict) {
  return verdict == KeyVerdict::NotKeeper || verdict == KeyVerdict::NoCopy;
}

KeyVerdict verdictOf(const wire::KeyReply &reply) {
  int value = std::clamp(reply.verdict, 0, int(KeyVerdict::NoCopy));
  return static_cast<KeyVerdict>(value);
}

Error keyError(KeyVerdict verdict) {
  switch (verdict) {
  case KeyVerdict::Reused:
    return makeError(ErrorKind::KeyReused);
  case KeyVerdict::AnswerGone:
    return makeError(ErrorKind::KeyAnswerGone);
  case KeyVerdict::Unclear:
    return makeError(ErrorKind::KeyUnvouched,
                     "the first run ended without a clear outcome");
  default:
    return makeError(ErrorKind::KeyUnvouched,
                     "the records of the key have been lost");
  }
}

} // namespace

EntryResult replayStored(const wire::StoredAnswer &stored) {
  if (!isValidHead(stored.status, stored.headers))
    return makeError(ErrorKind::KeyAnswerGone,
                     "the stored answer is not a valid one");
  HttpResponse answer;
  answer.Status = stored.status;
  answer.Headers = fromWire(stored.headers);
  answer.Headers.push_back({"Idempotent-Replayed", "true"});
  answer.Content = std::make_shared<const std::string>(stored.body);
  return answer;
}

KeyedCall::KeyedCall(asio::any_io_executor ex, PeerLinks &links,
                     const FleetViewPtr &view)
    : Executor(std::move(ex)), Links(links), View(view) {}

wire::KeyRequest
KeyedCall::makeRequest(const RequestContext &context,
                       wire::KeyOperation::type operation) const {
  wire::KeyRequest request;
  request.operation = operation;
  request.record.key = context.MatchedRoute.Workspace + '\n' +
                       context.MatchedRoute.Service + '\n' +
                       context.IdempotencyKey;
  request.record.requestId = context.Id;
  request.record.fingerprint = std::int64_t(context.Fingerprint);
  request.record.state = int(KeyState::Running);
  request.record.lifetimeMs = context.MatchedRoute.Policy.KeyLifetime.count();
  request.rosterOffset = View->KeepersOffset;
  return request;
}

asio::awaitable<std::optional<wire::KeyReply>>
KeyedCall::callKeeper(const RequestContext &context, wire::KeyRequest request,
                      Instant until) {
  std::vector<LeaseHolder> ranked =
      rankKeepers(View->Keepers, request.record.key);
  if (ranked.empty())
    co_return std::nullopt;
  auto node = View->Nodes.find(ranked.front().Node);
  if (node == View->Nodes.end() || node->second.BootId != ranked.front().BootId)
    co_return std::nullopt;
  NodeView target = node->second;
  until = std::min(until, now() + KeeperCallTimeout);
  auto client = co_await Links.connect(ranked.front().Node, target, until);
  if (!client)
    co_return std::nullopt;
  auto box = std::make_shared<StreamMailbox>(Executor);
  context.Scope->OnCancel = [box] { box->put({0, CancelledEvent{}}); };
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  frame.__set_keyRequest(request);
  client->channel().send(std::move(frame));
  std::optional<StreamEvent> event = co_await box->next(until);
  context.Scope->OnCancel = nullptr;
  client->closeStream(stream);
  auto *reply = event ? std::get_if<wire::KeyReply>(&event->Content) : nullptr;
  if (!reply)
    co_return std::nullopt;
  co_return *reply;
}

asio::awaitable<EntryResult> KeyedCall::perform(RequestContext &context,
                                                Run run) {
  Instant grantDeadline = std::min(now() + GrantTimeout, context.Deadline);
  while (!context.Scope->IsCancelled) {
    Instant requestedAt = now();
    wire::KeyRequest request =
        makeRequest(context, wire::KeyOperation::RESERVE);
    std::optional<wire::KeyReply> reply =
        co_await callKeeper(context, request, context.Deadline);
    KeyVerdict verdict = reply ? verdictOf(*reply) : KeyVerdict::NotKeeper;
    bool isTimely = now() - requestedAt < MaxGrantAge;
    if (verdict == KeyVerdict::Granted && isTimely)
      co_return co_await runAndRecord(context, std::move(run));
    if (verdict == KeyVerdict::Done)
      co_return replayStored(reply->record.answer);
    bool isFinal = !isTransient(verdict) && verdict != KeyVerdict::Running &&
                   verdict != KeyVerdict::Granted;
    if (isFinal)
      co_return keyError(verdict);
    if (verdict == KeyVerdict::Running && now() >= context.Deadline)
      co_return makeError(ErrorKind::DeadlineExceeded,
                          "the first run with this key has not ended",
                          RetryAfterKeyError);
    if (isTransient(verdict) && now() >= grantDeadline) {
      co_await callKeeper(context,
                          makeRequest(context, wire::KeyOperation::RELEASE),
                          now() + RecordTimeout);
      co_return makeError(ErrorKind::KeeperUnavailable, {}, RetryAfterKeyError);
    }
    asio::steady_timer pause(Executor, KeyPollInterval);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return makeError(ErrorKind::Cancelled);
}

asio::awaitable<EntryResult> KeyedCall::runAndRecord(RequestContext &context,
                                                     Run run) {
  EntryResult result = co_await run(context);
  co_await record(context, result);
  co_return result;
}

asio::awaitable<void> KeyedCall::record(const RequestContext &context,
                                        const EntryResult &result) {
  wire::KeyRequest request = makeRequest(context, wire::KeyOperation::COMPLETE);
  if (const auto *error = std::get_if<Error>(&result)) {
    request.record.state = int(KeyState::Unclear);
    if (error->Run == RunState::NotRun)
      request.operation = wire::KeyOperation::RELEASE;
  } else {
    const auto &answer = std::get<HttpResponse>(result);
    bool isKept = answer.Content->size() <= KeyTable::MaxAnswerBytes;
    request.record.state = int(isKept ? KeyState::Done : KeyState::AnswerGone);
    if (isKept) {
      request.record.answer.status = answer.Status;
      request.record.answer.headers = toWire(answer.Headers);
      request.record.answer.body = *answer.Content;
      request.record.__isset.answer = true;
    }
  }
  std::optional<wire::KeyReply> reply =
      co_await callKeeper(context, request, now() + RecordTimeout);
  if (!reply)
    logEvent(LogLevel::Warn, "key_not_recorded", {{"request", context.Id}});
}

} // namespace hickoryglade::fleet
