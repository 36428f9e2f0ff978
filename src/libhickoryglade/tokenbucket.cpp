#include "libhickoryglade/tokenbucket.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A bucket holds the tokens of this time, and at least one.
constexpr double MaxTokenSeconds = 1;

double maxTokens(double perSecond) {
  return std::max(perSecond * MaxTokenSeconds, 1.0);
}

} // namespace

TokenBucket makeTokenBucket(double perSecond, Instant now) {
  return {perSecond, 0, now};
}

double tokensAt(const TokenBucket &bucket, Instant now) {
  double seconds =
      std::chrono::duration<double>(now - bucket.UpdatedAt).count();
  return std::min(bucket.Tokens + std::max(seconds, 0.0) * bucket.PerSecond,
                  maxTokens(bucket.PerSecond));
}

TokenBucket withTokenTaken(const TokenBucket &bucket, Instant now) {
  return {bucket.PerSecond, tokensAt(bucket, now) - 1, now};
}

TokenBucket withRate(const TokenBucket &bucket, double perSecond, Instant now) {
  double tokens = std::min(tokensAt(bucket, now), maxTokens(perSecond));
  return {perSecond, tokens, now};
}

} // namespace hickoryglade
