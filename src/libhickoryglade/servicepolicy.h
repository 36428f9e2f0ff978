#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/queueorder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Effective settings of one service or route after inheritance.
struct ServicePolicy {
  /// Endpoints that must stay in rotation whatever is ejected.
  int Floor = 0;
  /// Time allowed for a request whose caller names none.
  Millis Timeout{30'000};
  /// Longest time for a request, whatever its caller allows.
  Millis TimeLimit{86'400'000};
  /// Time within which an answer has its full value to the caller.
  Millis TargetLatency{30'000};
  /// Rank among requests that compete for a slot; 0 goes first.
  int Priority = 0;
  /// Endpoints to which one request may be sent.
  int MaxAttempts = 4;
  /// Whether requests may run more than once, if settings say so; otherwise
  /// their methods decide.
  std::optional<bool> Idempotent;
  std::int64_t MaxHeaderBytes = 32 * 1024;
  /// Time for a caller to send a request's header.
  Millis HeaderTimeout{10'000};
  /// Time after which a caller's idle connection is closed.
  Millis IdleTimeout{60'000};
  std::int64_t MaxBodyBytes = 8 * 1024 * 1024;
  /// Requests that may wait at one gate.
  int QueueLimit = 1'000;
  /// Longest expected wait at which a request is still let into a queue.
  Millis MaxWait{500};
  /// Longest expected wait near an entry before its request goes to another
  /// data centre, with the router "nearest".
  Millis NearWait{150};
  std::string Router = "tickets";
  std::string Admission = "deadline";
  std::string Health = "peer_comparison";
  QueueOrder Order = QueueOrder::Priority;
  /// Share of a service's slots that long requests may hold while short ones
  /// wait.
  int LongSlotsPercent = 34;
  /// Run time from which a request counts as long.
  Millis LongAfter{400};
  /// Silence of a running request from which its endpoint becomes suspect.
  Millis StallAfter{1'200};
  /// How long the answer to an idempotency key is kept.
  Millis KeyLifetime{600'000};
  /// Retries allowed as a share of fresh requests.
  int RetryBudgetPercent = 20;
  /// Retries beyond that share that the service's endpoints may see together
  /// in 10 s.
  int RetryAllowance = 1'000;
  /// Failures in a row from which an endpoint is doubtful.
  int FailuresForDoubt = 3;
  /// Refusals in a row, though it had a slot free, from which an endpoint is
  /// doubtful. Work that is shed has not run and goes elsewhere at little cost,
  /// so that more of it is borne than of failures.
  int ShedsForDoubt = 3;
  /// Time that a doubtful endpoint rests before a trial, at first and at most;
  /// it doubles with each relapse.
  Millis FirstRest{1'000};
  Millis MostRest{64'000};
  /// An endpoint on trial to which no request comes for this long is taken for
  /// healthy.
  Millis TrialIdleTimeout{86'400'000};
  /// One suitable request in this many goes to an endpoint on trial.
  int TrialOdds = 8;
  /// Whether idempotent requests go to doubtful endpoints while no healthy one
  /// has a slot free.
  bool SpillsToDoubtful = false;
  /// Whether requests that may run only once avoid endpoints whose running work
  /// is silent for longer than usual, long before that makes them doubtful.
  bool AvoidsSilent = false;
  /// Weight of the workspace in the fair sharing of a service.
  int Share = 1;
  /// How long a request that crashed endpoints stays quarantined.
  Millis QuarantineTerm{600'000};
  std::vector<std::string> IdempotentMethods = {"GET",   "HEAD", "OPTIONS",
                                                "TRACE", "PUT",  "DELETE"};

  bool operator==(const ServicePolicy &) const = default;

  bool isIdempotent(const std::string &method) const;
};

} // namespace hickoryglade
