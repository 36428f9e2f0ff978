#pragma once

#include "libhickoryglade/balance/grantload.h"
#include "libhickoryglade/instant.h"

#include <vector>

namespace hickoryglade {

/// A grant that has not been claimed yet. The target is an index into the gates
/// that are compared.
struct ComparedGrant {
  std::size_t Target = 0;
  std::optional<GrantLoad> Load;

  bool operator==(const ComparedGrant &) const = default;
};

/// Replies of the gates to which one request was offered.
struct Comparison {
  /// Gates that have not refused, whether they have replied or not.
  std::size_t Open = 0;
  /// When the comparison ends without further replies.
  Instant Until;
  /// In the order of their arrival.
  std::vector<ComparedGrant> Grants;

  bool operator==(const Comparison &) const = default;
};

/// Begins the comparison of some gates, which ends at the limit at the latest.
Comparison beginComparison(std::size_t gates, Instant now, Instant limit);

void noteGrant(Comparison &comparison, ComparedGrant grant, Instant now);

/// Removes a gate that has refused or was lost, perhaps after it had granted a
/// slot.
void noteRefusal(Comparison &comparison, std::size_t target);

/// True if no further reply could change the choice.
bool isDecided(const Comparison &comparison);

/// Index of the grant of the least loaded gate; nothing if there is none.
std::optional<std::size_t> chooseGrant(const Comparison &comparison,
                                       Random &rng);

} // namespace hickoryglade
