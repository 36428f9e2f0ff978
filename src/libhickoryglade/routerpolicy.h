#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/random.h"
#include "libhickoryglade/standing.h"

#include <span>
#include <string>
#include <vector>

namespace hickoryglade {

/// One gate of a service as an entry sees it.
struct Candidate {
  std::string Node;
  std::string DataCentre;
  int Slots = 0;
  /// As of the gate's latest reply; may be stale.
  int FreeSlots = 0;
  int Queued = 0;
  /// Requests of this entry that the gate has not answered yet.
  int Outstanding = 0;
  Standing State = Standing::Healthy;
  bool IsLocal = false;
  /// True for a gate in the entry's own data centre.
  bool IsNear = false;
  /// False while the link to the gate is silent in either direction.
  bool IsPathUp = true;
  /// True if it has refused or failed this very request before.
  bool WasTried = false;

  bool operator==(const Candidate &) const = default;
};

/// What a router needs to know of the request.
struct RouteRequest {
  bool IsLong = false;
  bool IsIdempotent = true;
  /// True once a slot that was thought free turned out to be taken.
  bool WasSlotTaken = false;
  /// True for a request that may have crashed an endpoint: all its copies
  /// must meet at one gate.
  bool IsSerialized = false;
  std::uint64_t Fingerprint = 0;
  /// One suitable request in this many goes to an endpoint on trial.
  int TrialOdds = 8;
  /// Whether it may go to doubtful endpoints while no healthy one is free.
  bool MaySpill = false;
  /// Times that gates have refused it for want of room.
  int CapacityRefusals = 0;
};

/// Where to send a request.
struct RoutePlan {
  /// Indexes into the candidates, best first; empty if none can serve.
  std::vector<std::size_t> Targets;
  /// True to leave tickets and send the body to the first gate that grants
  /// a slot; false to send the request itself to the first target.
  bool AwaitsGrant = false;
  /// True to have the request refused instead of queued if the gate has no
  /// free slot after all.
  bool OnlyIfFree = false;
  std::string Reason;
  /// True to have it refused instead of queued if it would wait for longer than
  /// settings allow near its entry, as there are gates elsewhere.
  bool IsWaitBounded = false;

  bool operator==(const RoutePlan &) const = default;
};

/// True if a plan goes to doubtful endpoints though some in good standing have
/// not been tried.
bool isSpill(std::span<const Candidate> candidates, const RoutePlan &plan);

/// Chooses gates. Registered under the names that settings use.
struct RouterPolicy {
  RoutePlan (*Plan)(std::span<const Candidate> candidates,
                    const RouteRequest &question, Random &rng);
};

/// Indexes of the candidates to choose from: healthy ones on working paths
/// and now and then one on trial, else suspects, else nothing. Those that have
/// been tried come last.
std::vector<std::size_t>
eligibleCandidates(std::span<const Candidate> candidates,
                   const RouteRequest &question, Random &rng);

/// The plan for a request whose copies must all meet at one gate: whatever
/// each entry thinks of paths and health, it must choose alike.
RoutePlan planSerialized(std::span<const Candidate> candidates,
                         std::uint64_t fingerprint);

/// Estimated work in front of a new request, per slot.
double loadPerSlot(const Candidate &it);

/// Certainly free slots as far as this entry knows.
int knownFreeSlots(const Candidate &it);

} // namespace hickoryglade
