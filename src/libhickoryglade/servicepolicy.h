#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/queueorder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Effective settings of a service or route after inheritance.
struct ServicePolicy {
  /// Minimum number of endpoints that ejections leave in rotation.
  int Floor = 0;
  /// Timeout of a request whose caller gives none.
  Millis Timeout{30'000};
  /// Upper limit of a request's timeout, whatever its caller gives.
  Millis TimeLimit{86'400'000};
  /// Latency up to which an answer has its full value to the caller.
  Millis TargetLatency{30'000};
  /// Priority among requests that wait for a slot; 0 is the highest.
  int Priority = 0;
  /// Maximum number of endpoints to which a request is sent.
  int MaxAttempts = 4;
  /// Whether requests may run more than once. If not set, their methods
  /// decide.
  std::optional<bool> Idempotent;
  std::int64_t MaxHeaderBytes = 32 * 1024;
  /// Timeout for receiving a request's header.
  Millis HeaderTimeout{10'000};
  /// Time after which a caller's idle connection is closed.
  Millis IdleTimeout{60'000};
  std::int64_t MaxBodyBytes = 8 * 1024 * 1024;
  /// Maximum number of requests queued at one gate.
  int QueueLimit = 1'000;
  /// Longest expected wait at which a request is still queued.
  Millis MaxWait{500};
  /// Longest expected wait in the entry's data centre before the router
  /// "nearest" sends a request to another one.
  Millis NearWait{150};
  std::string Router = "tickets";
  std::string Admission = "deadline";
  std::string Health = "peer_comparison";
  QueueOrder Order = QueueOrder::Priority;
  /// Share of a service's slots that long requests may take while short ones
  /// are queued.
  int LongSlotsPercent = 34;
  /// Run time above which a request counts as long.
  Millis LongAfter{400};
  /// Time without an answer to a running request from which its endpoint may
  /// become suspect.
  Millis StallAfter{1'200};
  /// Time for which an idempotency key and its answer are kept.
  Millis KeyLifetime{600'000};
  /// Retries allowed as a share of fresh requests.
  int RetryBudgetPercent = 20;
  /// Retries beyond that share that all endpoints of the service together may
  /// receive in 10 s.
  int RetryAllowance = 1'000;
  /// Consecutive failures after which an endpoint is doubtful.
  int FailuresForDoubt = 3;
  /// Consecutive refusals in spite of a free slot after which an endpoint is
  /// doubtful. A refused request has not run and is retried elsewhere at little
  /// cost, so more refusals than failures can be tolerated.
  int ShedsForDoubt = 3;
  /// First and longest time without requests for a doubtful endpoint before its
  /// trial; the time doubles with each relapse.
  Millis FirstRest{1'000};
  Millis MostRest{64'000};
  /// An endpoint on trial that receives no request for this long is considered
  /// healthy.
  Millis TrialIdleTimeout{86'400'000};
  /// One in this many suitable requests goes to an endpoint on trial.
  int TrialOdds = 8;
  /// Whether idempotent requests go to doubtful endpoints while no healthy one
  /// has a free slot.
  bool SpillsToDoubtful = false;
  /// Whether requests that may run only once avoid endpoints that take longer
  /// than usual to answer running requests, long before that makes the
  /// endpoints doubtful.
  bool AvoidsSilent = false;
  /// Whether requests need the key of a workspace.
  bool RequiresKey = false;
  /// Age of the settings from which a node refuses requests that need a key; 0
  /// if it uses the keys that it knows for however long.
  Millis KeyMaxAge{0};
  /// Slots of an endpoint, in percent, that stay free for each more urgent
  /// priority in use; 0 if none do.
  int ReservedSlotsPercent = 0;
  /// Whether an endpoint that sheds is compared with the other endpoints of its
  /// service before it becomes doubtful.
  bool ComparesSheds = false;
  /// Part of a gate's retry budget, in percent, that is kept for the most
  /// urgent requests.
  int RepeatReservePercent = 0;
  /// Number of gates whose loads an entry compares for a request; 0 if it goes
  /// by their latest reports.
  int CompareGates = 0;
  /// Whether requests that may run only once use connections to endpoints that
  /// have been idle for some seconds.
  bool ReusesConnections = false;
  /// Weight of the workspace in the fair queueing of a service.
  int Share = 1;
  /// Time for which a request that has crashed endpoints stays quarantined.
  Millis QuarantineTerm{600'000};
  std::vector<std::string> IdempotentMethods = {"GET",   "HEAD", "OPTIONS",
                                                "TRACE", "PUT",  "DELETE"};

  bool operator==(const ServicePolicy &) const = default;

  bool isIdempotent(const std::string &method) const;
};

} // namespace hickoryglade
