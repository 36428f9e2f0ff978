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

double freeSlotScore(const Candidate &it) {
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
  std::vector<std::size_t> among =
      eligibleCandidates(candidates, question, rng);
  if (among.empty())
    return {{}, false, false, "no candidate"};
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
  return {among, true, false, "tickets"};
}

const Registrar<RouterPolicy> Registered("tickets", {planTickets});

} // namespace

} // namespace hickoryglade
