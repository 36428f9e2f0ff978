#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/quota/quotabucket.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace hickoryglade {

/// A process that gave out tokens. A restarted node has forgotten them.
struct QuotaLender {
  std::string Node;
  std::int64_t BootId = 0;

  bool operator==(const QuotaLender &) const = default;
};

/// What an entry knows about the quota of one workspace.
struct QuotaLease {
  /// Tokens that may be used until LeaseEnd, and their lender.
  int Tokens = 0;
  Instant LeaseEnd;
  QuotaLender Lender;
  /// Unused tokens to be returned to the lender.
  int Unused = 0;
  /// Requests that were admitted without a token of the owner, which the owner
  /// has not been told yet, and the time of the latest.
  int Owed = 0;
  Instant OwedAt;
  /// Moving averages of requests and of admitted requests a second.
  double Arrivals = 0;
  Instant ArrivedAt;
  double Admitted = 0;
  Instant AdmittedAt;
  /// Quota to which Admitted belongs.
  double PerSecond = 0;
  /// Tokens for admission without an owner, and when the entry first needed
  /// one since an owner answered.
  double AloneTokens = 0;
  Instant AloneAt;
  std::optional<Instant> AloneSince;

  bool operator==(const QuotaLease &) const = default;
};

/// Time for which tokens may be used after they were requested.
constexpr Micros QuotaLeaseTerm = std::chrono::milliseconds(200);

/// Time after which an entry no longer waits for a node's answer.
constexpr Micros QuotaAnswerTime = std::chrono::milliseconds(100);

/// Positions in the ranking of owners of the nodes that are asked in turn. The
/// owner is asked again, since the fallback gives out few tokens and a message
/// may have been lost.
constexpr std::array<std::size_t, 3> QuotaAskOrder{0, 1, 0};

void noteArrival(QuotaLease &lease, Instant now);

/// Uses a token of the lease if there is one.
bool takeLeased(QuotaLease &lease, Instant now);

/// Builds the message for the requests that wait. Clears what it reports.
QuotaAsk makeAsk(QuotaLease &lease, int waiting, const QuotaLender &to,
                 bool isFallback, Instant now);

/// Takes over the tokens of an answer to a message of the given time.
void noteGrant(QuotaLease &lease, const QuotaLender &from,
               const QuotaGrant &grant, bool isFallback, Instant askedAt,
               Instant now);

/// Decides on a request when no owner answers, at the rate that was admitted
/// lately. `draw` is uniform in [0, 1).
bool admitAlone(QuotaLease &lease, double perSecond, std::size_t nodes,
                double draw, Instant now);

/// Retry-After of a request that admitAlone() refuses.
Millis aloneRetryAfter(const QuotaLease &lease);

/// Returns the token of a request that did not run.
void giveBack(QuotaLease &lease, Instant takenAt, Instant now);

bool isIdle(const QuotaLease &lease, Instant now);

/// Whether a node answers. One that has failed repeatedly is not asked for a
/// while, so that requests don't wait for it.
struct QuotaPath {
  int Failures = 0;
  Instant SkippedUntil;

  bool operator==(const QuotaPath &) const = default;
};

bool isUsable(const QuotaPath &path, Instant now);
void noteAnswer(QuotaPath &path);
void noteSilence(QuotaPath &path, Instant now);

} // namespace hickoryglade
