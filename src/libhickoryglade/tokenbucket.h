#pragma once

#include "libhickoryglade/instant.h"

namespace hickoryglade {

/// Tokens that accrue at a constant rate up to a maximum. The count may become
/// negative, which delays later requests.
struct TokenBucket {
  double PerSecond = 0;
  double Tokens = 0;
  Instant UpdatedAt;

  bool operator==(const TokenBucket &) const = default;
};

/// Returns a bucket without tokens.
TokenBucket makeTokenBucket(double perSecond, Instant now);

double tokensAt(const TokenBucket &bucket, Instant now);

/// Takes one token, whether there is one or not.
TokenBucket withTokenTaken(const TokenBucket &bucket, Instant now);

/// Returns the bucket with another rate; tokens accrued so far remain.
TokenBucket withRate(const TokenBucket &bucket, double perSecond, Instant now);

} // namespace hickoryglade
