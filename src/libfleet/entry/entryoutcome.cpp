#include "libfleet/entry/entryattempt.h"

#include "libfleet/reporting/logging.h"
#include "libhickoryglade/startledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of Entry that learns the outcome of an attempt whose link to the
/// gate was lost.

namespace hickoryglade::fleet {

namespace {

/// How long an entry tries to reach the gate of a lost link: more than a pause
/// of a VM, and less than most callers' time.
constexpr Micros GateSearchLimit = std::chrono::seconds(1);

/// Pause between looks for the gate just after the loss, when most processes
/// that are gone refuse the connection, and how long it applies.
constexpr Micros FirstLookPause = std::chrono::milliseconds(2);
constexpr Micros FirstLookTime = std::chrono::milliseconds(20);

} // namespace

wire::Revoke Entry::Attempt::makeRevoke(std::size_t target) const {
  wire::Revoke revoke;
  revoke.attemptId = Id;
  revoke.gateBootId = Targets[target].Node.BootId;
  revoke.timeoutMs = toMillis(Request->Deadline - now()).count();
  return revoke;
}

Instant Entry::Attempt::nextLook() const {
  if (!isSearching())
    return waitUntil();
  Micros pause =
      now() - *LostAt < FirstLookTime ? FirstLookPause : ResolvePause;
  return std::min(now() + pause, waitUntil());
}

/// The gate may live although the link to it is lost, and have the answer soon.
/// Another attempt starts beside it, so that its caller does not wait for a
/// gate that is gone.
void Entry::takeLoss(Attempt &attempt, std::size_t target) {
  cancelStream(attempt, target);
  attempt.LostAt = now();
  attempt.IsAsked = false;
  const Attempt::Target &it = attempt.Targets[target];
  Links.reopenNow(it.Gate.Node, it.Node);
  replaceLost(attempt, target);
}

/// Asks the gate for the outcome once it is reached; returns the error of the
/// attempt if it is not to be reached any more.
std::optional<EntryResult> Entry::lookForGate(Attempt &attempt,
                                              std::size_t target) {
  const Attempt::Target &it = attempt.Targets[target];
  if (auto client = Links.openClient(it.Gate.Node)) {
    openStream(attempt, target, std::move(client));
    sendQuery(attempt, target);
    attempt.IsAsked = true;
    logQuery(attempt, target, "");
    return std::nullopt;
  }
  bool isGone = Links.isRefused(it.Gate.Node);
  if (!isGone && now() - *attempt.LostAt < GateSearchLimit) {
    Links.reopenNow(it.Gate.Node, it.Node);
    Links.reconnectIfDue(it.Gate.Node, it.Node, now());
    return std::nullopt;
  }
  logQuery(attempt, target, isGone ? "connection refused" : "not reached");
  attempt.LostAt.reset();
  return abandonRun(
      attempt, target,
      makeError(ErrorKind::GateLost, "the link to the gate was lost"));
}

/// The result that a gate's reply to the query gives to an idempotent attempt.
std::optional<EntryResult>
Entry::outcomeFrom(Attempt &attempt, std::size_t target, StreamEvent &event) {
  std::optional<EntryResult> result = resultFrom(attempt, target, event);
  auto *error = result ? std::get_if<Error>(&*result) : nullptr;
  bool isUnknown = error && error->Kind == ErrorKind::GateLost &&
                   error->Run == RunState::Unknown;
  if (isUnknown)
    return abandonRun(attempt, target, std::move(*error));
  return result;
}

void Entry::logQuery(const Attempt &attempt, std::size_t target,
                     std::string_view detail) const {
  logEvent(
      LogLevel::Info, "outcome_asked",
      {{"request", attempt.Request->Id},
       {"attempt", attempt.Id},
       {"gate", attempt.Targets[target].Gate.Node},
       {"reached", attempt.IsAsked},
       {"detail", detail},
       {"beside", attempt.ActiveReplacement != nullptr},
       {"reason", attempt.NotReplaced},
       {"after_ms", toMillis(now() - *attempt.LostAt).count()},
       {"ran_ms", toMillis(now() - attempt.SentAt.value_or(now())).count()},
       {"left_ms", toMillis(attempt.Request->Deadline - now()).count()}});
}

/// After the link is lost, queries the gate for the outcome of the attempt over
/// a new link, or through a node that may still reach the gate. The gate fences
/// an attempt that has not started, and otherwise sends its result. A process
/// that is gone has taken the outcome with it.
asio::awaitable<EntryResult> Entry::resolveOutcome(Attempt &attempt,
                                                   std::size_t target) {
  cancelStream(attempt, target);
  attempt.LostAt = now();
  const Attempt::Target &gate = attempt.Targets[target];
  std::optional<EntryResult> result;
  while (!result && now() < attempt.Request->Deadline) {
    if (attempt.Request->Scope->IsCancelled)
      co_return makeError(ErrorKind::Cancelled);
    Links.reopenNow(gate.Gate.Node, gate.Node);
    bool isQuerySent = co_await queryGate(attempt, target);
    if (!isQuerySent && Links.isRefused(gate.Gate.Node)) {
      logQuery(attempt, target, "connection refused");
      break;
    }
    if (!isQuerySent)
      isQuerySent = co_await queryThroughPeer(attempt, target);
    // Also reads the events during a pause, since the attempt may end then.
    std::optional<StreamEvent> event = co_await attempt.Box->next(
        isQuerySent ? attempt.waitUntil() : now() + ResolvePause);
    if (!event && isQuerySent)
      break;
    if (event)
      result = resultFrom(attempt, target, *event);
    cancelStream(attempt, target);
  }
  for (const Attempt::RelayedQuery &it : attempt.Relayed)
    if (it.Client)
      it.Client->closeStream(it.Stream);
  if (result)
    co_return std::move(*result);
  co_return makeError(ErrorKind::GateLost, "the gate cannot be reached",
                      DefaultRetryAfter);
}

/// Converts a gate's reply to the result of the attempt; nullopt if the gate
/// has to be queried again.
std::optional<EntryResult>
Entry::resultFrom(Attempt &attempt, std::size_t target, StreamEvent &event) {
  if (auto *revoked = std::get_if<RevokedEvent>(&event.Content)) {
    if (revoked->IsUnreachable)
      return std::nullopt;
    bool isFenced = revoked->State == int(StartState::Fenced);
    return Error{
        ErrorKind::GateLost, isFenced ? RunState::NotRun : RunState::Unknown,
        isFenced ? "fenced before it started" : "the answer is no longer kept",
        DefaultRetryAfter};
  }
  if (auto *answer = std::get_if<AnswerEvent>(&event.Content)) {
    noteAnswer(attempt, target, *answer);
    return std::move(answer->Answer);
  }
  if (auto *failure = std::get_if<wire::Failure>(&event.Content))
    return toError(attempt, *failure);
  if (std::holds_alternative<CancelledEvent>(event.Content))
    return abandonRun(
        attempt, target,
        makeError(ErrorKind::Cancelled, attempt.Request->Scope->Reason));
  if (std::holds_alternative<StoppedEvent>(event.Content))
    return abandonRun(attempt, target, shutdownError(RunState::Unknown));
  return std::nullopt;
}

asio::awaitable<bool> Entry::queryGate(Attempt &attempt, std::size_t target) {
  bool isOpen = co_await openTarget(attempt, target);
  if (isOpen)
    sendQuery(attempt, target);
  co_return isOpen;
}

void Entry::sendQuery(Attempt &attempt, std::size_t target) {
  Attempt::Target &it = attempt.Targets[target];
  wire::Frame frame;
  frame.stream = it.Stream;
  frame.revoke = attempt.makeRevoke(target);
  frame.__isset.revoke = true;
  it.Client->channel().send(std::move(frame));
}

/// The path between two nodes may fail while others work. Each node is tried as
/// a relay once.
asio::awaitable<bool> Entry::queryThroughPeer(Attempt &attempt,
                                              std::size_t target) {
  std::string relay = pickRelay(attempt, target);
  auto view = View->Nodes.find(relay);
  if (view == View->Nodes.end())
    co_return false;
  NodeView at = view->second;
  attempt.Relayed.push_back({relay, nullptr, 0});
  auto client = co_await connect(attempt, relay, at);
  logEvent(LogLevel::Info, "gate_asked_through_peer",
           {{"request", attempt.Request->Id},
            {"attempt", attempt.Id},
            {"gate", attempt.Targets[target].Gate.Node},
            {"through", relay},
            {"reached", client != nullptr}});
  if (!client)
    co_return false;
  Attempt::RelayedQuery &query = attempt.Relayed.back();
  query.Client = client;
  query.Stream = client->open(attempt.Box, target);
  wire::Frame frame;
  frame.stream = query.Stream;
  frame.revoke = attempt.makeRevoke(target);
  frame.revoke.askedNode = attempt.Targets[target].Gate.Node;
  frame.__isset.revoke = true;
  client->channel().send(std::move(frame));
  co_return true;
}

std::string Entry::pickRelay(const Attempt &attempt, std::size_t target) {
  std::vector<std::string> all;
  for (const auto &[node, view] : View->Nodes) {
    bool isUsed = std::ranges::find(attempt.Relayed, node,
                                    &Attempt::RelayedQuery::Node) !=
                  attempt.Relayed.end();
    bool isEnd = node == Node || node == attempt.Targets[target].Gate.Node;
    if (!isEnd && !isUsed && Links.isPathUp(node, now()))
      all.push_back(node);
  }
  if (all.empty())
    return {};
  return all[uniform(Rng, all.size())];
}

} // namespace hickoryglade::fleet
