#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/random.h"
#include "libhickoryglade/standing.h"

#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickoryglade {

/// A gate of a service and its load, as known to an entry.
struct Candidate {
  std::string Node;
  std::string DataCentre;
  int Slots = 0;
  /// Free slots as of the gate's latest reply; may be stale.
  int FreeSlots = 0;
  int Queued = 0;
  /// Requests of this entry that the gate has not answered yet.
  int Outstanding = 0;
  /// True if all its endpoints limit the rate of requests.
  bool IsLimited = false;
  /// Time until the limits of its endpoints let one more request start, as a
  /// multiple of the request's expected run time; 0 without limits.
  double LimitLoad = 0;
  Standing State = Standing::Healthy;
  bool IsLocal = false;
  /// True for a gate in the entry's own data centre.
  bool IsNear = false;
  /// False while no traffic arrives over the link in one of its directions.
  bool IsPathUp = true;
  /// True if an earlier attempt of this request was refused or failed there.
  bool WasTried = false;
  /// Free slots in the gate's latest report, however old it is; 0 if it had a
  /// queue. Nothing if it has sent none.
  std::optional<int> ReportedFree = std::nullopt;
  Micros ReportAge{0};

  bool operator==(const Candidate &) const = default;
};

/// Properties of a request that a router takes into account.
struct RouteRequest {
  bool IsLong = false;
  bool IsIdempotent = true;
  /// True once a gate has refused the request because its free slot was taken.
  bool WasSlotTaken = false;
  /// True for a request that may have crashed an endpoint: all requests with
  /// this content go to one gate.
  bool IsSerialized = false;
  std::uint64_t Fingerprint = 0;
  /// One in this many suitable requests goes to an endpoint on trial.
  int TrialOdds = 8;
  /// True if the request may go to doubtful endpoints while no healthy one has
  /// a free slot.
  bool MaySpill = false;
  /// Refusals by gates that had no free slot.
  int CapacityRefusals = 0;
  /// True if the request runs much shorter than most requests of its service.
  bool IsShort = false;
  /// Wait for a limit with which the answer still meets its target, as a
  /// multiple of the request's expected run time.
  double MaxLimitLoad = std::numeric_limits<double>::infinity();
  /// Number of gates whose loads may be compared for the request; 0 if none.
  int CompareGates = 0;
};

/// Gates to which a request is sent, and how.
struct RoutePlan {
  /// Indexes into the candidates, best first; empty if none is suitable.
  std::vector<std::size_t> Targets;
  /// True to queue tickets at all targets and send the body to the first gate
  /// that grants a slot; false to send the request itself to the first target.
  bool AwaitsGrant = false;
  /// True if the gate is to refuse the request instead of queueing it when it
  /// has no free slot.
  bool OnlyIfFree = false;
  std::string Reason;
  /// True if the gate is to refuse the request when the expected wait exceeds
  /// the limit for the entry's own data centre, so that the entry can try gates
  /// in other data centres.
  bool IsWaitBounded = false;
  /// True if the grants of all targets are to be compared; OnlyIfFree and
  /// AwaitsGrant are then set.
  bool IsComparison = false;

  bool operator==(const RoutePlan &) const = default;
};

/// True if the plan goes to doubtful endpoints although untried healthy ones
/// exist.
bool isSpill(std::span<const Candidate> candidates, const RoutePlan &plan);

/// Load balancing policy, registered under the name that settings use.
struct RouterPolicy {
  RoutePlan (*Plan)(std::span<const Candidate> candidates,
                    const RouteRequest &request, Random &rng);
};

/// Indexes of the candidates that a router chooses from, all on working links.
/// Occasionally this is one on trial. Otherwise untried healthy ones are
/// preferred, then suspect ones, then those on trial. Candidates that have been
/// tried come last, except that a request that is not idempotent prefers the
/// better standing.
std::vector<std::size_t>
eligibleCandidates(std::span<const Candidate> candidates,
                   const RouteRequest &request, Random &rng);

/// Leaves out gates with limits, if there are others: those whose limits let
/// the request start too late, and all of them for a short request until the
/// others have refused it. A limit counts requests of any length, so that it
/// serves most when long requests make use of it.
std::vector<std::size_t> withoutLimited(std::span<const Candidate> candidates,
                                        const std::vector<std::size_t> &among,
                                        const RouteRequest &request);

/// True if withoutLimited() has left out gates that a short request may still
/// use after a refusal.
bool leavesLimitsToOthers(std::span<const Candidate> candidates,
                          const std::vector<std::size_t> &among,
                          const RouteRequest &request);

/// True if a request that a limit has kept from one gate may start in time at
/// another one that has not refused it. A request that may run only once does
/// not go to doubtful endpoints for that.
bool hasRoomElsewhere(std::span<const Candidate> candidates, bool isIdempotent,
                      double maxLimitLoad);

/// Plan for a request that all entries must send to the same gate. The choice
/// depends on names only, since entries differ in what they know of links and
/// health.
RoutePlan planSerialized(std::span<const Candidate> candidates,
                         std::uint64_t fingerprint);

/// Load of a gate per slot: its running and queued requests, or this entry's
/// outstanding ones if they are more, or as many as would make a request wait
/// as long as the limits of its endpoints.
double loadPerSlot(const Candidate &it);

/// Slots that are free even if all outstanding requests of this entry take
/// one; 0 if the gate has a queue.
int knownFreeSlots(const Candidate &it);

} // namespace hickoryglade
