#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"

#include <algorithm>
#include <map>

/// Stays in the entry's own data centre while that has room, then goes to one
/// other that has. For services with many endpoints in each data centre, where
/// traffic between them costs more than a short wait. An entry hears too seldom
/// from each of a hundred gates to know their free slots; within its data
/// centre a wrong guess costs a fifth of a millisecond.

namespace hickoryglade {

namespace {

constexpr std::size_t MaxTickets = 4;

/// Refusals after which tickets wait at gates near and far alike.
constexpr int RefusalsBeforeAll = 3;

/// Counts for the gate of the entry's own node, which is asked by a call.
constexpr double LocalBonus = 0.5;

using Indexes = std::vector<std::size_t>;

double freeSlotScore(const Candidate &it) {
  return knownFree(it) + (it.IsLocal ? LocalBonus : 0);
}

/// The mostFree gate, at random among equals; they must have been shuffled.
std::size_t mostFree(std::span<const Candidate> candidates,
                     const Indexes &among) {
  return *std::ranges::max_element(
      among, {}, [&](std::size_t i) { return freeSlotScore(candidates[i]); });
}

Indexes leastLoaded(std::span<const Candidate> candidates, Indexes among,
                    std::size_t most) {
  std::ranges::stable_sort(
      among, {}, [&](std::size_t i) { return pressure(candidates[i]); });
  among.resize(std::min(among.size(), most));
  return among;
}

/// Mean pressure of the gates of one data centre.
double meanPressure(std::span<const Candidate> candidates,
                    const Indexes &among) {
  double sum = 0;
  for (std::size_t i : among)
    sum += pressure(candidates[i]);
  return sum / double(among.size());
}

/// The gates of one other data centre: the less pressed of two that are chosen
/// by the number of their gates, so that not all entries choose alike.
Indexes chooseFar(std::span<const Candidate> candidates, const Indexes &far,
                  Random &rng) {
  std::map<std::string, Indexes> byDataCentre;
  for (std::size_t i : far)
    byDataCentre[candidates[i].DataCentre].push_back(i);
  auto draw = [&]() -> const Indexes & {
    return byDataCentre.at(
        candidates[far[uniform(rng, far.size())]].DataCentre);
  };
  const Indexes &first = draw();
  const Indexes &second = draw();
  bool isSecondFreer =
      meanPressure(candidates, second) < meanPressure(candidates, first);
  return isSecondFreer ? second : first;
}

RoutePlan planFar(std::span<const Candidate> candidates, const Indexes &near,
                  const Indexes &far, const RouteQuestion &question,
                  Random &rng) {
  Indexes chosen = chooseFar(candidates, far, rng);
  if (question.RoomRefusals < RefusalsBeforeAll) {
    std::size_t best = mostFree(candidates, chosen);
    if (knownFree(candidates[best]) > 0)
      return {{best}, false, true, "free slot elsewhere"};
  }
  Indexes targets = leastLoaded(candidates, near, MaxTickets / 2);
  Indexes others = leastLoaded(candidates, chosen, MaxTickets - targets.size());
  targets.insert(targets.end(), others.begin(), others.end());
  return {targets, true, false, "tickets in two data centres"};
}

RoutePlan planNearest(std::span<const Candidate> candidates,
                      const RouteQuestion &question, Random &rng) {
  if (question.IsSerialized)
    return planSerialized(candidates, question.Fingerprint);
  Indexes among = eligible(candidates, question, rng);
  if (among.empty())
    return {{}, false, false, "no candidate"};
  std::ranges::shuffle(among, rng);
  auto rest = std::ranges::stable_partition(
      among, [&](std::size_t i) { return candidates[i].IsNear; });
  Indexes far(rest.begin(), rest.end());
  Indexes near(among.begin(), rest.begin());
  if (!near.empty() && question.RoomRefusals == 0) {
    std::size_t best = mostFree(candidates, near);
    if (knownFree(candidates[best]) > 0)
      return {{best}, false, true, "free slot near"};
  }
  bool isNearTried = question.RoomRefusals > 1;
  if (far.empty() || (!near.empty() && !isNearTried)) {
    RoutePlan plan{leastLoaded(candidates, near, MaxTickets), true, false,
                   "tickets near"};
    plan.IsWaitBounded = !far.empty();
    return plan;
  }
  return planFar(candidates, near, far, question, rng);
}

const Registrar<RouterPolicy> Registered("nearest", {planNearest});

} // namespace

} // namespace hickoryglade
