#include "libhickoryglade/routerpolicy.h"

#include "libhickoryglade/hash.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hickoryglade {

namespace {

std::vector<std::size_t> withStanding(std::span<const Candidate> candidates,
                                      Standing state, bool wasTried) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < candidates.size(); ++i)
    if (candidates[i].IsPathUp && candidates[i].State == state &&
        candidates[i].WasTried == wasTried)
      all.push_back(i);
  return all;
}

/// Gates of doubtful endpoints with free slots, if no healthy one has any.
std::vector<std::size_t>
doubtfulWithFreeSlots(std::span<const Candidate> candidates) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate &it = candidates[i];
    if (!it.IsPathUp || it.WasTried || knownFreeSlots(it) <= 0)
      continue;
    if (it.State == Standing::Healthy)
      return {};
    if (it.State == Standing::Suspect || it.State == Standing::Trial)
      all.push_back(i);
  }
  return all;
}

bool suitsTrial(const RouteRequest &request) {
  return request.IsIdempotent && !request.IsLong && !request.IsSerialized;
}

/// The first refusal may only mean that a slot has just been taken.
bool avoidsLimits(const RouteRequest &request) {
  constexpr int maxRefusals = 2;
  return request.IsShort && request.CapacityRefusals < maxRefusals;
}

} // namespace

std::vector<std::size_t>
eligibleCandidates(std::span<const Candidate> candidates,
                   const RouteRequest &request, Random &rng) {
  if (suitsTrial(request)) {
    auto trials = withStanding(candidates, Standing::Trial, false);
    if (!trials.empty() && uniform(rng, std::uint64_t(request.TrialOdds)) == 0)
      return {trials[uniform(rng, trials.size())]};
  }
  if (request.MaySpill && request.IsIdempotent && !request.IsSerialized)
    if (auto all = doubtfulWithFreeSlots(candidates); !all.empty())
      return all;
  constexpr std::array<Standing, 3> order = {
      Standing::Healthy, Standing::Suspect, Standing::Trial};
  // A gate that refused a request has not run it, so a request that may run
  // only once is safer there than at a doubtful endpoint.
  std::vector<std::pair<Standing, bool>> preferences;
  for (bool wasTried : {false, true})
    for (Standing state : order)
      preferences.emplace_back(state, wasTried);
  if (!request.IsIdempotent)
    std::ranges::stable_sort(preferences, {},
                             [](const auto &it) { return rankOf(it.first); });
  for (const auto &[state, wasTried] : preferences)
    if (auto all = withStanding(candidates, state, wasTried); !all.empty())
      return all;
  return {};
}

bool isSpill(std::span<const Candidate> candidates, const RoutePlan &plan) {
  bool isDoubtful = std::ranges::any_of(plan.Targets, [&](std::size_t i) {
    return candidates[i].State == Standing::Suspect;
  });
  return isDoubtful && std::ranges::any_of(candidates, [](const auto &it) {
           return it.IsPathUp && !it.WasTried && it.State == Standing::Healthy;
         });
}

std::vector<std::size_t> withoutLimited(std::span<const Candidate> candidates,
                                        const std::vector<std::size_t> &among,
                                        const RouteRequest &request) {
  auto keepIf = [&](const std::vector<std::size_t> &all, auto isKept) {
    std::vector<std::size_t> kept;
    std::ranges::copy_if(
        all, std::back_inserter(kept), isKept,
        [&](std::size_t i) -> const Candidate & { return candidates[i]; });
    return kept.empty() ? all : kept;
  };
  std::vector<std::size_t> rest = keepIf(among, [&](const Candidate &it) {
    return it.LimitLoad <= request.MaxLimitLoad;
  });
  if (!avoidsLimits(request))
    return rest;
  return keepIf(rest, [](const Candidate &it) { return !it.IsLimited; });
}

bool leavesLimitsToOthers(std::span<const Candidate> candidates,
                          const std::vector<std::size_t> &among,
                          const RouteRequest &request) {
  return avoidsLimits(request) &&
         std::ranges::any_of(candidates, &Candidate::IsLimited) &&
         std::ranges::none_of(
             among, [&](std::size_t i) { return candidates[i].IsLimited; });
}

bool hasRoomElsewhere(std::span<const Candidate> candidates, bool isIdempotent,
                      double maxLimitLoad) {
  return std::ranges::any_of(candidates, [&](const Candidate &it) {
    bool isUsable = it.State == Standing::Healthy ||
                    (isIdempotent && it.State == Standing::Suspect);
    return isUsable && it.IsPathUp && !it.WasTried &&
           it.LimitLoad <= maxLimitLoad;
  });
}

RoutePlan planSerialized(std::span<const Candidate> candidates,
                         std::uint64_t fingerprint) {
  auto it = std::ranges::max_element(candidates, {}, [&](const auto &c) {
    return stableHash(c.Node, fingerprint);
  });
  if (it == candidates.end())
    return {{}, false, false, "no candidate"};
  return {{std::size_t(it - candidates.begin())}, false, false, "serialized"};
}

double loadPerSlot(const Candidate &it) {
  int busy = it.Slots - it.FreeSlots;
  double load = double(std::max(busy + it.Queued, it.Outstanding)) /
                std::max(it.Slots, 1);
  return it.LimitLoad > 0 ? std::max(load, 1 + it.LimitLoad) : load;
}

int knownFreeSlots(const Candidate &it) {
  if (it.Queued > 0)
    return 0;
  return std::min(it.FreeSlots, it.Slots - it.Outstanding);
}

} // namespace hickoryglade
