#pragma once

#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/random.h"

#include <string_view>

namespace hickoryglade {

/// Token bucket that allows retries as a share of fresh requests, with a small
/// reserve for times with few requests.
class RetryBudget {
public:
  RetryBudget() = default;
  /// Starts with a number of tokens and never holds more than maxTokens.
  RetryBudget(double reserve, double maxTokens)
      : MaxTokens(maxTokens), Tokens(reserve) {}

  void noteFresh(int percent);
  bool tryTake();
  /// Returns a token that was not used.
  void giveBack() { Tokens += 1; }

private:
  static constexpr double DefaultReserve = 10;
  static constexpr double DefaultMaxTokens = 100;
  double MaxTokens = DefaultMaxTokens;
  double Tokens = DefaultReserve;
};

/// Share of fresh requests that are retried after the endpoint itself has
/// answered with an error. The share is small because an endpoint that fails
/// with a service it calls repeats all its calls on each retry.
constexpr int ErrorRetryPercent = 3;

/// Budget for retries of such answers at one entry and service.
RetryBudget makeErrorBudget();

enum class RetryVerdict { Retry, GiveUp };

/// State of a request when an attempt has failed, as its entry knows it.
struct RetryContext {
  Error Failure;
  bool IsIdempotent = false;
  int Attempts = 1;
  Micros TimeLeft{0};
  Micros ExpectedCost{0};
  /// Attempts that an endpoint may have run, and their limit.
  int Runs = 0;
  int MaxRuns = 4;
  /// Whether the service's settings ask for the comparison of sheds. Sheds are
  /// then retried within the gates' budgets alone.
  bool ComparesSheds = false;
  /// Refusals by gates whose part of the retry budget was used up.
  int BudgetRefusals = 0;
};

struct RetryDecision {
  RetryVerdict Verdict = RetryVerdict::GiveUp;
  std::string_view Reason;

  bool operator==(const RetryDecision &) const = default;
};

/// Error that the caller receives after the last attempt. If any attempt may
/// have run, the error says so.
Error finalError(Error last, bool mayHaveRun);

/// Retry-After of a refusal for which no better value is known.
constexpr Millis DefaultRetryAfter = std::chrono::seconds(1);

/// Retry-After for a rejected caller: the refusal's own value if it has one,
/// otherwise the default with jitter. It is short enough to leave time for the
/// request itself.
Millis suggestRetryAfter(Millis requested, Millis timeLeft, Random &rng);

/// Attempts after which a request fails.
constexpr int AttemptLimit = 4;

/// Retries outside the budget after which a request fails.
constexpr int FreeRetryLimit = 12;

/// Other gates that a request may try after the first has refused it because
/// its part of the retry budget is used up.
constexpr int MaxBudgetRefusals = 2;

/// True for a refusal that costs a single message, so that its retry takes no
/// token from the budget; with the comparison of sheds also for a shed.
bool isFreeRetry(ErrorKind kind, bool comparesSheds = false);

/// Decides whether to try another endpoint. A request that may have run is
/// retried only if it is idempotent. The budget bounds the retries of the
/// whole path, since only entries retry.
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget);

} // namespace hickoryglade
