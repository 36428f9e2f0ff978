#include "libhickoryglade/balance/comparison.h"

#include <algorithm>
#include <iterator>

namespace hickoryglade {

namespace {

/// Wait for further replies after the first grant. A reply from another data
/// centre takes up to 6 ms, and a grant lapses after 250 ms.
constexpr Micros FurtherReplyWait = std::chrono::milliseconds(10);

/// Wait for the first grant. A process that has used up its share of a
/// processor may pause for 100 ms; another gate is then the better choice.
constexpr Micros FirstGrantWait = std::chrono::milliseconds(100);

} // namespace

Comparison beginComparison(std::size_t gates, Instant now, Instant limit) {
  return {gates, std::min(now + FirstGrantWait, limit), {}};
}

void noteGrant(Comparison &comparison, ComparedGrant grant, Instant now) {
  if (comparison.Grants.empty())
    comparison.Until = std::min(comparison.Until, now + FurtherReplyWait);
  comparison.Grants.push_back(grant);
}

void noteRefusal(Comparison &comparison, std::size_t target) {
  std::erase_if(comparison.Grants,
                [&](const ComparedGrant &it) { return it.Target == target; });
  --comparison.Open;
}

bool isDecided(const Comparison &comparison) {
  return comparison.Grants.size() >= comparison.Open ||
         std::ranges::any_of(comparison.Grants, [](const ComparedGrant &it) {
           return it.Load && isOtherwiseIdle(*it.Load);
         });
}

std::optional<std::size_t> chooseGrant(const Comparison &comparison,
                                       Random &rng) {
  if (comparison.Grants.empty())
    return std::nullopt;
  std::vector<std::optional<GrantLoad>> loads;
  std::ranges::transform(comparison.Grants, std::back_inserter(loads),
                         &ComparedGrant::Load);
  return leastLoaded(loads, rng);
}

} // namespace hickoryglade
