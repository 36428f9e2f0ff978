#pragma once

#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/random.h"

#include <string_view>

namespace hickoryglade {

/// Allows retries as a share of fresh requests, with a small reserve for
/// quiet times.
class RetryBudget {
public:
  RetryBudget() = default;
  /// Starts with a reserve of retries and never holds more than a number.
  RetryBudget(double reserve, double maxTokens)
      : MaxTokens(maxTokens), Tokens(reserve) {}

  void noteFresh(int percent);
  bool tryTake();

private:
  static constexpr double DefaultReserve = 10;
  static constexpr double DefaultMaxTokens = 100;
  double MaxTokens = DefaultMaxTokens;
  double Tokens = DefaultReserve;
};

/// Share of fresh requests whose answer may be an endpoint's report of an error
/// and is tried again. Where an endpoint fails because a service that it calls
/// fails, another try makes all its calls again.
constexpr int ErrorRetryPercent = 3;

/// Budget for such retries at one entry and service.
RetryBudget makeErrorBudget();

enum class RetryVerdict { Retry, GiveUp };

/// What an entry knows when an attempt has failed.
struct RetryContext {
  Error Failure;
  bool IsIdempotent = false;
  int Attempts = 1;
  Micros TimeLeft{0};
  Micros ExpectedCost{0};
  /// Attempts that an endpoint may have run, and how many may.
  int Runs = 0;
  int MaxRuns = 4;
};

struct RetryDecision {
  RetryVerdict Verdict = RetryVerdict::GiveUp;
  std::string_view Reason;

  bool operator==(const RetryDecision &) const = default;
};

/// What a caller is told after its last attempt: an earlier one that may have
/// run counts too.
Error finalError(Error last, bool mayHaveRun);

/// Wait that a refused caller is told where nothing better is known.
constexpr Millis DefaultRetryAfter = std::chrono::seconds(1);

/// When a refused caller is to come back: as the refusal says, spread where it
/// says nothing, and early enough to leave time for the work itself.
Millis suggestRetryAfter(Millis named, Millis timeLeft, Random &rng);

/// Attempts after which a request is given up.
constexpr int AttemptLimit = 4;

/// Refusals that cost one message each, after which a request is given up.
constexpr int FreeRetryLimit = 12;

/// True for a refusal that costs one message and draws on no budget.
bool isFreeRetry(ErrorKind kind);

/// Work that may have run moves to another endpoint only if it is
/// idempotent; the budget holds over the whole path since only entries retry.
RetryDecision decideRetry(const RetryContext &question, RetryBudget &budget);

} // namespace hickoryglade
