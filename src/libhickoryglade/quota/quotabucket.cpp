#include "libhickoryglade/quota/quotabucket.h"

#include <algorithm>
#include <cmath>

namespace hickoryglade {

namespace {

/// Tokens of a new owner, so that a series of restarts does not multiply the
/// burst.
constexpr double StartTokens = 4;

/// Time that entries may need to learn of a new owner, and the share of the
/// quota that the former owner gives out meanwhile. The whole quota would give
/// a second of double rate.
constexpr Micros HandoverTime = std::chrono::seconds(1);
constexpr double HandoverShare = 0.25;

/// Rate of a fallback while the owner seems alive. In a partition, the owner
/// gives out the whole quota until it suspects the nodes that it lost; the two
/// rates together must stay within 1.1 times the quota and 20 requests in 5 s.
constexpr double FallbackPerSecond = 1;
constexpr double FallbackShare = 0.05;

/// Share of the quota that a fallback gives out while it suspects the owner.
/// Entries add what they admit alone.
constexpr double SuspicionShare = 0.2;

/// An owner that has just started gives out a part of the quota while others
/// may still ask its predecessor.
constexpr Micros StartTime = std::chrono::seconds(2);
constexpr double StartShare = 0.5;

/// Tokens of an owner beyond the burst, for requests whose messages arrive
/// closer together than the requests did.
constexpr double JitterTokens = 2;

constexpr Micros IdleLimit = std::chrono::seconds(30);

/// An owner that has no tokens left names at least this wait.
constexpr Millis MinRetryAfter{1};
constexpr Millis MaxRetryAfter = std::chrono::minutes(1);

constexpr std::size_t LastFallbackRank = 2;

double secondsOf(Micros time) {
  return std::max(std::chrono::duration<double>(time).count(), 0.0);
}

double tokensAt(const QuotaBucket &bucket, Instant now) {
  return std::min(bucket.Tokens +
                      secondsOf(now - bucket.UpdatedAt) * bucket.PerSecond,
                  bucket.Capacity);
}

struct Rates {
  double PerSecond = 0;
  double Capacity = 1;
};

Rates ratesFor(QuotaRole role, const Quota &limit, const QuotaStance &stance,
               Instant now) {
  double share = stance.Share;
  double perSecond = limit.PerSecond * share;
  double burst = limit.Burst * share;
  if (role == QuotaRole::Former)
    return {perSecond * HandoverShare,
            std::max(std::min(burst, StartTokens), 1.0)};
  double part = stance.IsFirstSuspect ? SuspicionShare : FallbackShare;
  if (role == QuotaRole::Fallback)
    return {std::min(perSecond, FallbackPerSecond + part * perSecond),
            std::max(std::min(burst, StartTokens), 1.0)};
  bool isStarting = now - stance.StartedAt < StartTime;
  return {isStarting ? perSecond * StartShare : perSecond,
          std::max(burst, 1.0) + JitterTokens};
}

/// Tokens accrued so far remain, up to the new capacity.
void applyRates(QuotaBucket &bucket, const Rates &rates, Instant now) {
  bucket.Tokens = std::min(tokensAt(bucket, now), rates.Capacity);
  bucket.UpdatedAt = now;
  bucket.PerSecond = rates.PerSecond;
  bucket.Capacity = rates.Capacity;
}

/// A bucket that an owner dropped when it was idle was full. Before the set of
/// nodes last changed, another node may have been the owner.
QuotaBucket makeBucket(const Rates &rates, const QuotaStance &stance,
                       Instant now) {
  double accrued = stance.Rank == 0
                       ? secondsOf(now - stance.StableSince) * rates.PerSecond
                       : 0;
  double tokens = std::min(StartTokens + accrued, rates.Capacity);
  return {rates.PerSecond, rates.Capacity, tokens, now, now, std::nullopt};
}

} // namespace

QuotaRole roleOf(const QuotaStance &stance, bool isFallback,
                 std::optional<Instant> ownedAt, Instant now) {
  if (stance.Rank == 0)
    return QuotaRole::Owner;
  if (stance.Rank == 1 && stance.IsFirstEnded && isFallback)
    return QuotaRole::Owner;
  if (ownedAt && now - *ownedAt < HandoverTime)
    return QuotaRole::Former;
  bool isEligible = isFallback && stance.Rank <= LastFallbackRank;
  return isEligible ? QuotaRole::Fallback : QuotaRole::None;
}

QuotaGrant grantTokens(QuotaBuckets &buckets, const std::string &workspace,
                       const QuotaAsk &ask, const QuotaStance &stance,
                       Instant now) {
  QuotaGrant grant;
  auto known = buckets.find(workspace);
  QuotaRole role = QuotaRole::None;
  if (stance.Limit)
    role = roleOf(stance, ask.IsFallback,
                  known == buckets.end() ? std::nullopt : known->second.OwnedAt,
                  now);
  if (role == QuotaRole::None) {
    grant.IsUnknown = true;
    return grant;
  }
  int wanted = std::max(ask.Tokens, 0);
  grant.IsUnknown = role != QuotaRole::Owner;
  if (stance.Limit->PerSecond <= 0) {
    buckets.erase(workspace);
    grant.Tokens = wanted;
    return grant;
  }
  Rates rates = ratesFor(role, *stance.Limit, stance, now);
  if (known == buckets.end())
    known = buckets.emplace(workspace, makeBucket(rates, stance, now)).first;
  QuotaBucket &bucket = known->second;
  applyRates(bucket, rates, now);
  bucket.AskedAt = now;
  if (role == QuotaRole::Owner)
    bucket.OwnedAt = now;
  bucket.Tokens = std::clamp(bucket.Tokens + ask.Returned, -bucket.Capacity,
                             bucket.Capacity);
  grant.Tokens = std::clamp(int(std::floor(bucket.Tokens)), 0, wanted);
  bucket.Tokens -= grant.Tokens;
  if (grant.Tokens < wanted) {
    double seconds = (1 - bucket.Tokens) / bucket.PerSecond;
    double ms = std::min(seconds * 1e3, double(MaxRetryAfter.count()));
    grant.RetryAfter =
        std::max(Millis(std::int64_t(std::ceil(ms))), MinRetryAfter);
  }
  return grant;
}

void dropIdleBuckets(QuotaBuckets &buckets, Instant now) {
  std::erase_if(buckets, [&](const auto &it) {
    const QuotaBucket &bucket = it.second;
    return now - bucket.AskedAt >= IdleLimit &&
           tokensAt(bucket, now) >= bucket.Capacity;
  });
}

} // namespace hickoryglade
