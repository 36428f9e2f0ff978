#include "libfleet/entry/entryattempt.h"

#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of Entry that starts another attempt beside one that is overdue or
/// may be lost.

namespace hickoryglade::fleet {

/// Starts another attempt beside one that is overdue, or whose gate ends soon,
/// if it may complete the request. The run is ended only once that attempt has
/// an answer, since it may be refused or fail.
void Entry::takeOverdue(Attempt &attempt, std::size_t target,
                        const OverdueEvent &event) {
  bool isGateEnding = event.EndsIn.has_value();
  if (isGateEnding)
    allowTriedGates(attempt, target);
  std::string_view reason = reasonNotToReplace(attempt, target, isGateEnding);
  logEvent(
      LogLevel::Info, "overdue",
      {{"request", attempt.Request->Id},
       {"attempt", attempt.Id},
       {"gate", attempt.Targets[target].Gate.Node},
       {"replaces", reason.empty()},
       {"reason", reason},
       {"gate_ends_in_ms", toMillis(event.EndsIn.value_or(Micros{0})).count()},
       {"ran_ms", toMillis(now() - attempt.SentAt.value_or(now())).count()},
       {"expected_ms", toMillis(attempt.Request->Cost.Expected).count()},
       {"left_ms", toMillis(attempt.Request->Deadline - now()).count()},
       {"process_age_ms", toMillis(now() - StartedAt).count()}});
  if (reason.empty())
    startReplacement(attempt, target);
}

/// True if a gate other than the attempt's own may take another attempt, at
/// once or, with `mayWait`, after a wait for a slot.
bool Entry::hasRoomBeside(const Attempt &attempt, std::size_t target,
                          bool mayWait) {
  const RequestContext &context = *attempt.Request;
  std::vector<Candidate> all = candidates(context, now());
  std::erase_if(all, [&](const Candidate &it) {
    return it.Node == attempt.Targets[target].Gate.Node ||
           (knownFreeSlots(it) <= 0 && !mayWait);
  });
  return hasRoomElsewhere(all, context.IsIdempotent,
                          maxLimitLoad(context, context.Deadline));
}

/// Before its gate ends, a request may be sent again to gates that have refused
/// it, unless there are others. One attempt is kept for the time after the end.
void Entry::allowTriedGates(Attempt &attempt, std::size_t target) {
  RequestContext &context = *attempt.Request;
  bool keepsAttempt = context.CountedAttempts + 1 < AttemptLimit;
  if (keepsAttempt && !hasRoomBeside(attempt, target, true))
    context.Tried.clear();
}

/// Why no other attempt starts beside this one; empty if one is to start, for
/// which a token of the retry budget has then been taken.
std::string_view Entry::reasonNotToReplace(const Attempt &attempt,
                                           std::size_t target, bool mayWait) {
  const RequestContext &context = *attempt.Request;
  if (isTooLateToStart(context))
    return "the node is stopping";
  if (attempt.ActiveReplacement || context.IsReplacement)
    return "another attempt is under way";
  if (context.ReplacementsLeft <= 0)
    return "attempts exhausted";
  if (attempt.IsSerialized)
    return "the content is suspect";
  // Where the run itself may be lost, its replacement may also wait for a slot.
  if (!hasRoomBeside(attempt, target, mayWait))
    return "no other gate with a free slot is left";
  RetryDecision decision = decideRetry(
      {makeError(ErrorKind::EndpointFailed), context.IsIdempotent,
       context.CountedAttempts, context.Deadline - now(), context.Cost.Expected,
       context.Runs + 1, context.MatchedRoute.Policy.MaxAttempts},
      Budgets[context.MatchedRoute.Service]);
  if (decision.Verdict == RetryVerdict::GiveUp)
    return decision.Reason;
  return {};
}

/// Starts another attempt beside one whose gate may be gone.
void Entry::replaceLost(Attempt &attempt, std::size_t target) {
  attempt.NotReplaced = reasonNotToReplace(attempt, target, true);
  if (attempt.NotReplaced.empty())
    startReplacement(attempt, target);
}

/// Likewise after such an attempt has failed, if a retry may succeed.
void Entry::replaceLostAgain(Attempt &attempt, std::size_t target) {
  const RequestContext &context = *attempt.Request;
  if (!attempt.isSearching() || !attempt.ReplacementError)
    return;
  // The budget's token is taken by replaceLost().
  RetryBudget unused(1, 1);
  RetryDecision decision = decideRetry(
      {*attempt.ReplacementError, context.IsIdempotent, context.CountedAttempts,
       context.Deadline - now(), context.Cost.Expected, context.Runs + 1,
       context.MatchedRoute.Policy.MaxAttempts,
       context.MatchedRoute.Policy.ComparesSheds, context.BudgetRefusals},
      unused);
  if (decision.Verdict == RetryVerdict::Retry)
    replaceLost(attempt, target);
}

void Entry::startReplacement(Attempt &attempt, std::size_t target) {
  RequestContext &context = *attempt.Request;
  --context.ReplacementsLeft;
  auto replacement = std::make_shared<Replacement>();
  RequestContext &request = replacement->Request;
  request = context;
  request.IsReplacement = true;
  request.Scope = std::make_shared<CallScope>();
  request.LastGate.clear();
  request.Tried.push_back(attempt.Targets[target].Gate.Node);
  replacement->RunsBefore = ++request.Runs;
  replacement->ArrivalsBefore = ++request.Arrivals;
  replacement->CrashesBefore = request.Crashes;
  attempt.ActiveReplacement = replacement;
  int number = ++context.LastNumber;
  asio::co_spawn(Executor, runReplacement(replacement, number, attempt.Box),
                 asio::detached);
}

/// Makes a replacement the only attempt after the overdue run has failed, so
/// that it may be replaced itself.
void Entry::promoteReplacement(Attempt &attempt) {
  RequestContext &request = attempt.ActiveReplacement->Request;
  request.IsReplacement = false;
  request.LastNumber = attempt.Request->LastNumber;
}

asio::awaitable<void>
Entry::runReplacement(std::shared_ptr<Replacement> replacement, int number,
                      std::shared_ptr<StreamMailbox> box) {
  replacement->Result = co_await tryOnce(replacement->Request, number);
  box->put({0, ReplacementEvent{}});
}

/// Returns the answer of the replacement and has the gate end the overdue run;
/// nullopt if the replacement failed and the overdue run goes on.
std::optional<EntryResult> Entry::takeReplacement(Attempt &attempt,
                                                  std::size_t target) {
  std::shared_ptr<Replacement> replacement =
      std::exchange(attempt.ActiveReplacement, nullptr);
  RequestContext &context = *attempt.Request;
  if (isFinalResponse(replacement->Result, context.IsIdempotent)) {
    logReplacement(attempt, "answered", "");
    Attempt::Target &it = attempt.Targets[target];
    wire::Frame frame;
    frame.stream = it.Stream;
    frame.__set_giveUp({});
    it.Client->channel().send(std::move(frame));
    return std::move(replacement->Result);
  }
  RequestContext &request = replacement->Request;
  bool isErrorResponse =
      std::holds_alternative<HttpResponse>(replacement->Result);
  if (isErrorResponse && !ErrorBudgets[context.MatchedRoute.Service].tryTake())
    context.ReplacementsLeft = 0;
  Error error = noteFailure(request, std::move(replacement->Result));
  logReplacement(attempt, errorInfo(error.Kind).Name, error.Detail);
  attempt.ReplacementError = error;
  int arrivals = request.Arrivals - replacement->ArrivalsBefore;
  if (arrivals == 0)
    Budgets[context.MatchedRoute.Service].giveBack();
  // A refused attempt must not count against a later retry of the request.
  context.CountedAttempts += arrivals > 0;
  context.LastNumber = std::max(context.LastNumber, request.LastNumber);
  context.Runs += request.Runs - replacement->RunsBefore;
  context.Arrivals += arrivals;
  context.Crashes += request.Crashes - replacement->CrashesBefore;
  context.CapacityRefusals = request.CapacityRefusals;
  context.DoubtRefusals = request.DoubtRefusals;
  context.BudgetRefusals = request.BudgetRefusals;
  context.Tried = std::move(request.Tried);
  context.ServerError = std::move(request.ServerError);
  return std::nullopt;
}

/// Ends a replacement that is no longer needed.
void Entry::cancelReplacement(Attempt &attempt) {
  std::shared_ptr<Replacement> replacement =
      std::exchange(attempt.ActiveReplacement, nullptr);
  if (!replacement)
    return;
  constexpr const char *reason = "another attempt of the request has ended";
  logReplacement(attempt, "cancelled", reason);
  bool isSent = !replacement->Request.LastGate.empty();
  attempt.Request->Runs += isSent;
  if (!isSent)
    Budgets[attempt.Request->MatchedRoute.Service].giveBack();
  replacement->Request.Scope->cancel(reason);
}

void Entry::logReplacement(const Attempt &attempt, std::string_view outcome,
                           std::string_view detail) const {
  logEvent(
      LogLevel::Info, "replacement_ended",
      {{"request", attempt.Request->Id},
       {"attempt", attempt.Id},
       {"outcome", outcome},
       {"detail", detail},
       {"ran_ms", toMillis(now() - attempt.SentAt.value_or(now())).count()},
       {"left_ms", toMillis(attempt.Request->Deadline - now()).count()}});
}

} // namespace hickoryglade::fleet
