#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/workspaces/workspacetable.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace hickoryglade {

/// Role of a node for the quota of one workspace.
enum class QuotaRole {
  /// Neither owner nor fallback.
  None,
  /// Gives out the whole quota.
  Owner,
  /// Was the owner until recently; some entries don't know the new one yet.
  Former,
  /// Gives out few tokens, since the owner may be doing so as well.
  Fallback,
};

/// Tokens of one workspace at the node that gives them out.
struct QuotaBucket {
  double PerSecond = 0;
  double Capacity = 1;
  /// May be negative after entries have admitted requests on their own.
  double Tokens = 0;
  Instant UpdatedAt;
  /// When an entry last asked.
  Instant AskedAt;
  /// When the node was last the owner.
  std::optional<Instant> OwnedAt;

  bool operator==(const QuotaBucket &) const = default;
};

struct QuotaAsk {
  int Tokens = 0;
  /// Unused tokens, less those that the entry used without having them from
  /// the owner.
  int Returned = 0;
  bool IsFallback = false;

  bool operator==(const QuotaAsk &) const = default;
};

struct QuotaGrant {
  int Tokens = 0;
  Millis RetryAfter{0};
  /// The node is not the owner, so that other nodes may give out more tokens.
  bool IsUnknown = false;

  bool operator==(const QuotaGrant &) const = default;
};

/// What a node knows about a quota when it is asked.
struct QuotaStance {
  /// Limit by the node's own settings; empty if they don't have the workspace.
  std::optional<Quota> Limit;
  static constexpr std::size_t Unranked = std::size_t(-1);

  /// Position of the node in its own ranking of owners, from 0.
  std::size_t Rank = Unranked;
  bool IsFirstSuspect = false;
  /// The first node's VM refuses connections, so that its process has ended.
  bool IsFirstEnded = false;
  /// Share of the fleet that the node sees.
  double Share = 1;
  /// When the node began to serve.
  Instant StartedAt;
  /// The earliest time at which the node may have become owner.
  Instant StableSince;

  bool operator==(const QuotaStance &) const = default;
};

using QuotaBuckets = std::map<std::string, QuotaBucket>;

QuotaRole roleOf(const QuotaStance &stance, bool isFallback,
                 std::optional<Instant> ownedAt, Instant now);

QuotaGrant grantTokens(QuotaBuckets &buckets, const std::string &workspace,
                       const QuotaAsk &ask, const QuotaStance &stance,
                       Instant now);

/// Drops full buckets that have not been asked for tokens for some time.
void dropIdleBuckets(QuotaBuckets &buckets, Instant now);

} // namespace hickoryglade
