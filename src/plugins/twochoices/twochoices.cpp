#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"

#include <utility>

/// Power of two choices: sends a request to the less loaded of two random
/// gates.

namespace hickoryglade {

namespace {

RoutePlan planTwoChoices(std::span<const Candidate> candidates,
                         const RouteRequest &question, Random &rng) {
  if (question.IsSerialized)
    return planSerialized(candidates, question.Fingerprint);
  std::vector<std::size_t> among = withoutLimited(
      candidates, eligibleCandidates(candidates, question, rng), question);
  if (among.empty())
    return {{}, false, false, "no candidate"};
  std::size_t first = among[uniform(rng, among.size())];
  std::size_t second = among[uniform(rng, among.size())];
  if (loadPerSlot(candidates[second]) < loadPerSlot(candidates[first]))
    std::swap(first, second);
  return {{first}, false, false, "less loaded of two"};
}

const Registrar<RouterPolicy> Registered("two_choices", {planTwoChoices});

} // namespace

} // namespace hickoryglade
