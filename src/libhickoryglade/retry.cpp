#include "libhickoryglade/retry.h"

#include <algorithm>

namespace hickoryglade {

namespace {

constexpr double Percent = 100;

/// Failures that another gate would repeat.
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
  constexpr double most = 2;
  return {reserve, most};
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

bool isFreeRetry(ErrorKind kind) {
  return kind == ErrorKind::SlotTaken || kind == ErrorKind::EndpointDoubtful ||
         kind == ErrorKind::ContentSuspect;
}

Millis suggestRetryAfter(Millis named, Millis timeLeft, Random &rng) {
  // As long as the usual wait, so that callers do not come back together.
  constexpr std::uint64_t spreadMs = 1'000;
  // Leaves three quarters of the caller's time for the work.
  constexpr int part = 4;
  // Some round trips between a caller and the fleet (8 ms one way).
  constexpr Millis least{20};
  Millis wait = named.count() > 0
                    ? named
                    : DefaultRetryAfter + Millis(uniform(rng, spreadMs));
  if (timeLeft <= least * part)
    return wait;
  return std::clamp(wait, least, timeLeft / part);
}

RetryDecision decideRetry(const RetryContext &question, RetryBudget &budget) {
  if (isFinal(question.Failure.Kind))
    return {RetryVerdict::GiveUp, "another attempt would fail alike"};
  if (question.Failure.Run == RunState::Unknown && !question.IsIdempotent)
    return {RetryVerdict::GiveUp, "may have run and is not idempotent"};
  if (question.Runs >= question.MaxRuns)
    return {RetryVerdict::GiveUp, "endpoints exhausted"};
  if (question.Attempts >= AttemptLimit)
    return {RetryVerdict::GiveUp, "attempts exhausted"};
  if (question.TimeLeft <= question.ExpectedCost)
    return {RetryVerdict::GiveUp, "no time left"};
  if (!isFreeRetry(question.Failure.Kind) && !budget.tryTake())
    return {RetryVerdict::GiveUp, "retry budget exhausted"};
  return {RetryVerdict::Retry, "another attempt may succeed"};
}

} // namespace hickoryglade
