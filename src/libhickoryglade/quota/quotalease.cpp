#include "libhickoryglade/quota/quotalease.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickoryglade {

namespace {

/// Time constants of the moving averages.
constexpr double AdmittedSeconds = 5;
constexpr double ArrivalSeconds = 1;

/// From this rate on, an entry asks for the requests of the time that a lease
/// should cover.
constexpr double BatchFromPerSecond = 10;
constexpr double BatchSeconds = 0.1;
constexpr int MaxAsked = 100'000;

/// Largest number of tokens for admission without an owner, in seconds of the
/// entry's own rate.
constexpr double AloneSeconds = 1;

/// Least rate of an entry alone, as a part of an equal share of the quota.
constexpr double FloorShare = 0.5;

/// An entry that sees this many times its own rate, and another request, takes
/// the workspace for one that exceeds its quota, and admits only a part. Until
/// the owner has noticed a partition, it still gives out the whole quota.
constexpr double ExcessFactor = 2.5;
constexpr double ExcessRequests = 1;
constexpr double ExcessShare = 0.25;

/// The owner's bucket would have made up for older debts by now.
constexpr Micros DebtTerm = std::chrono::seconds(1);

constexpr Micros IdleLimit = std::chrono::seconds(30);

constexpr int MaxFailures = 3;
constexpr Micros SkipTime = std::chrono::milliseconds(300);

double secondsOf(Micros time) {
  return std::max(std::chrono::duration<double>(time).count(), 0.0);
}

double decayed(double average, Micros age, double constant) {
  return average * std::exp(-secondsOf(age) / constant);
}

void noteAdmitted(QuotaLease &lease, Instant now) {
  lease.Admitted =
      decayed(lease.Admitted, now - lease.AdmittedAt, AdmittedSeconds) +
      1 / AdmittedSeconds;
  lease.AdmittedAt = now;
}

void endLease(QuotaLease &lease) {
  lease.Unused += std::exchange(lease.Tokens, 0);
}

/// The entry's part of the quota, from what was admitted lately.
double ownRate(QuotaLease &lease, double perSecond, std::size_t nodes,
               Instant now) {
  if (lease.PerSecond > perSecond)
    lease.Admitted *= perSecond / lease.PerSecond;
  lease.PerSecond = perSecond;
  // While no owner answers, the average stays: it would drift if it followed
  // the entry's own decisions.
  lease.AloneSince = lease.AloneSince.value_or(now);
  double recent = decayed(lease.Admitted, *lease.AloneSince - lease.AdmittedAt,
                          AdmittedSeconds);
  double equal = perSecond / double(std::max<std::size_t>(nodes, 1));
  double rate = std::min(std::max(recent, equal * FloorShare), perSecond);
  bool isExcess = lease.Arrivals > ExcessFactor * rate + ExcessRequests;
  return isExcess ? rate * ExcessShare : rate;
}

void accrueAlone(QuotaLease &lease, double rate, Instant now) {
  lease.AloneTokens =
      std::min(lease.AloneTokens + secondsOf(now - lease.AloneAt) * rate,
               rate * AloneSeconds);
  lease.AloneAt = now;
}

} // namespace

void noteArrival(QuotaLease &lease, Instant now) {
  lease.Arrivals =
      decayed(lease.Arrivals, now - lease.ArrivedAt, ArrivalSeconds) +
      1 / ArrivalSeconds;
  lease.ArrivedAt = now;
}

bool takeLeased(QuotaLease &lease, Instant now) {
  if (now >= lease.LeaseEnd)
    endLease(lease);
  if (lease.Tokens == 0)
    return false;
  --lease.Tokens;
  noteAdmitted(lease, now);
  return true;
}

QuotaAsk makeAsk(QuotaLease &lease, int waiting, const QuotaLender &to,
                 bool isFallback, Instant now) {
  if (now >= lease.LeaseEnd)
    endLease(lease);
  QuotaAsk ask;
  ask.Tokens = waiting;
  ask.IsFallback = isFallback;
  if (lease.Arrivals > BatchFromPerSecond && !isFallback)
    ask.Tokens = std::max(ask.Tokens,
                          int(std::min(std::ceil(lease.Arrivals * BatchSeconds),
                                       double(MaxAsked))));
  // Tokens of another process would add to a bucket that has not lost them.
  int unused = std::exchange(lease.Unused, 0);
  if (lease.Lender == to)
    ask.Returned += unused;
  if (isFallback)
    return ask;
  int owed = std::exchange(lease.Owed, 0);
  if (now - lease.OwedAt < DebtTerm)
    ask.Returned -= owed;
  return ask;
}

void noteGrant(QuotaLease &lease, const QuotaLender &from,
               const QuotaGrant &grant, bool isFallback, Instant askedAt,
               Instant now) {
  if (!grant.IsUnknown)
    lease.AloneSince = std::nullopt;
  if (grant.IsUnknown && grant.Tokens <= 0)
    return;
  endLease(lease);
  if (lease.Lender != from)
    lease.Unused = 0;
  lease.Lender = from;
  lease.Tokens = std::max(grant.Tokens, 0);
  lease.LeaseEnd = askedAt + QuotaLeaseTerm;
  if (!isFallback && !grant.IsUnknown)
    return;
  lease.Owed += lease.Tokens;
  lease.OwedAt = now;
}

// With less than one token, the request is admitted with that probability, so
// that many entries that see few requests each admit the right number together.
bool admitAlone(QuotaLease &lease, double perSecond, std::size_t nodes,
                double draw, Instant now) {
  accrueAlone(lease, ownRate(lease, perSecond, nodes, now), now);
  bool isAdmitted = draw < lease.AloneTokens;
  lease.AloneTokens = std::max(lease.AloneTokens - 1, 0.0);
  if (!isAdmitted)
    return false;
  ++lease.Owed;
  lease.OwedAt = now;
  return true;
}

Millis aloneRetryAfter(const QuotaLease &lease) {
  constexpr Millis longest = std::chrono::seconds(1);
  double seconds = lease.Admitted > 0 ? 1 / lease.Admitted : 1;
  return std::min(Millis(std::int64_t(std::ceil(seconds * 1e3))), longest);
}

// An older token could let more requests run in a later window than the quota
// allows.
void giveBack(QuotaLease &lease, Instant takenAt, Instant now) {
  if (now - takenAt < QuotaLeaseTerm)
    ++lease.Unused;
}

bool isIdle(const QuotaLease &lease, Instant now) {
  return now - lease.ArrivedAt >= IdleLimit;
}

bool isUsable(const QuotaPath &path, Instant now) {
  return path.Failures < MaxFailures || now >= path.SkippedUntil;
}

void noteAnswer(QuotaPath &path) { path = {}; }

void noteSilence(QuotaPath &path, Instant now) {
  ++path.Failures;
  path.SkippedUntil = now + SkipTime;
}

} // namespace hickoryglade
