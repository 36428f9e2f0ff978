#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"

#include <algorithm>

/// Late binding: sends a request directly to a gate that is known to have a
/// free slot. Otherwise queues tickets at several gates and sends the body to
/// the first one that grants a slot.

namespace hickoryglade {

namespace {

constexpr std::size_t MaxTickets = 4;

/// Number of free slots, by the gate's latest load report, from which a request
/// is sent to it without a ticket.
constexpr int FreeForDirectSend = 1;

/// Number of free slots by which a gate in another data centre must exceed a
/// near one, since traffic between data centres costs more than a slightly
/// higher load.
constexpr double FarPenalty = 1.5;
constexpr double LocalBonus = 0.5;

/// Below a near gate with one free slot and no limit.
constexpr double LimitedScore = 0.25;

double freeSlotScore(const Candidate &it) {
  if (it.IsLimited)
    return LimitedScore - (it.IsNear ? 0 : FarPenalty);
  return knownFreeSlots(it) - (it.IsNear ? 0 : FarPenalty) +
         (it.IsLocal ? LocalBonus : 0);
}

void shuffle(std::vector<std::size_t> &among, Random &rng) {
  std::ranges::shuffle(among, rng);
}

RoutePlan planTickets(std::span<const Candidate> candidates,
                      const RouteRequest &question, Random &rng) {
  if (question.IsSerialized)
    return planSerialized(candidates, question.Fingerprint);
  std::vector<std::size_t> eligible =
      eligibleCandidates(candidates, question, rng);
  if (eligible.empty())
    return {{}, false, false, "no candidate"};
  std::vector<std::size_t> among =
      withoutLimited(candidates, eligible, question);
  bool areLimitedLeft = leavesLimitsToOthers(candidates, among, question);
  shuffle(among, rng);
  auto mostFree = std::ranges::max_element(among, {}, [&](std::size_t i) {
    bool isFree = knownFreeSlots(candidates[i]) >= FreeForDirectSend;
    return std::pair(isFree, freeSlotScore(candidates[i]));
  });
  bool isFreeKnown = knownFreeSlots(candidates[*mostFree]) >= FreeForDirectSend;
  if (isFreeKnown && !question.WasSlotTaken)
    return {{*mostFree}, false, true, "free slot known"};
  std::ranges::stable_sort(among, {}, [&](std::size_t i) {
    return std::pair(loadPerSlot(candidates[i]), !candidates[i].IsNear);
  });
  among.resize(std::min(among.size(), MaxTickets));
  RoutePlan plan{among, true, false, "tickets"};
  plan.IsWaitBounded = areLimitedLeft;
  return plan;
}

const Registrar<RouterPolicy> Registered("tickets", {planTickets});

} // namespace

} // namespace hickoryglade
