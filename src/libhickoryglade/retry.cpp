#include "libhickoryglade/retry.h"

#include <algorithm>

namespace hickoryglade {

namespace {

constexpr double Percent = 100;

/// True for failures that any other gate would return too.
bool isFinal(ErrorKind kind) {
  switch (kind) {
  case ErrorKind::DeadlineExceeded:
  case ErrorKind::Quarantined:
  case ErrorKind::Cancelled:
  case ErrorKind::Overloaded:
  case ErrorKind::KeyReused:
  case ErrorKind::KeyUnvouched:
  case ErrorKind::KeyAnswerGone:
  case ErrorKind::BodyTooLarge:
  case ErrorKind::RetriesExhausted:
    return true;
  default:
    return false;
  }
}

} // namespace

void RetryBudget::noteFresh(int percent) {
  Tokens = std::min(MaxTokens, Tokens + percent / Percent);
}

RetryBudget makeErrorBudget() {
  constexpr double reserve = 1;
  constexpr double maxTokens = 2;
  return {reserve, maxTokens};
}

bool RetryBudget::tryTake() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

Error finalError(Error last, bool mayHaveRun) {
  if (mayHaveRun)
    last.Run = RunState::Unknown;
  return last;
}

// The gates bound the arrivals at endpoints, and their parts of that bound are
// used up at different times. An entry's own budget would end the retries of
// sheds long before.
bool isFreeRetry(ErrorKind kind, bool comparesSheds) {
  bool isFreeShed =
      kind == ErrorKind::EndpointShed || kind == ErrorKind::RetriesExhausted;
  return (comparesSheds && isFreeShed) || kind == ErrorKind::SlotTaken ||
         kind == ErrorKind::EndpointDoubtful ||
         kind == ErrorKind::ContentSuspect ||
         kind == ErrorKind::EndpointLimited;
}

Millis suggestRetryAfter(Millis requested, Millis timeLeft, Random &rng) {
  // The jitter is as long as the default wait, so that rejected callers do not
  // retry at the same time.
  constexpr std::uint64_t jitterMs = 1'000;
  // Leaves three quarters of the caller's time for the request itself.
  constexpr int timeDivisor = 4;
  // Some round trips between a caller and the fleet (8 ms one way).
  constexpr Millis minWait{20};
  Millis wait = requested.count() > 0
                    ? requested
                    : DefaultRetryAfter + Millis(uniform(rng, jitterMs));
  if (timeLeft <= minWait * timeDivisor)
    return wait;
  return std::clamp(wait, minWait, timeLeft / timeDivisor);
}

RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget) {
  bool mayTryOtherBudget =
      context.ComparesSheds &&
      context.Failure.Kind == ErrorKind::RetriesExhausted &&
      context.BudgetRefusals <= MaxBudgetRefusals;
  if (isFinal(context.Failure.Kind) && !mayTryOtherBudget)
    return {RetryVerdict::GiveUp, "another attempt would fail alike"};
  if (context.Failure.Run == RunState::Unknown && !context.IsIdempotent)
    return {RetryVerdict::GiveUp, "may have run and is not idempotent"};
  if (context.Runs >= context.MaxRuns)
    return {RetryVerdict::GiveUp, "endpoints exhausted"};
  if (context.Attempts >= AttemptLimit)
    return {RetryVerdict::GiveUp, "attempts exhausted"};
  if (context.TimeLeft <= context.ExpectedCost)
    return {RetryVerdict::GiveUp, "no time left"};
  bool isFree = isFreeRetry(context.Failure.Kind, context.ComparesSheds);
  if (!isFree && !budget.tryTake())
    return {RetryVerdict::GiveUp, "retry budget exhausted"};
  return {RetryVerdict::Retry, "another attempt may succeed"};
}

} // namespace hickoryglade
