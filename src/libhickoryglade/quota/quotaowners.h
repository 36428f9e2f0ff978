#pragma once

#include "libhickoryglade/instant.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickoryglade {

/// A node that may own quotas, as one view of the fleet has it.
struct QuotaNode {
  std::string Name;
  bool IsSuspect = false;
  bool IsLeaving = false;

  bool operator==(const QuotaNode &) const = default;
};

/// Owners of a workspace's quota, best first, by rendezvous hashing of node
/// names. Nodes that are leaving are left out unless there are no others.
std::vector<QuotaNode> rankOwners(std::vector<QuotaNode> nodes,
                                  const std::string &workspace);

/// Nodes of the fleet as one node's view has them, leaving ones excepted.
struct FleetPresence {
  /// Nodes that are alive and not suspect.
  std::set<std::string> Present;
  /// Nodes that were, and the time at which each ceased to be.
  std::map<std::string, Instant> AbsentSince;
  /// Nodes among which owners are chosen, and when this set last changed.
  std::set<std::string> Candidates;
  Instant ChangedAt;

  bool operator==(const FleetPresence &) const = default;
};

void notePresence(FleetPresence &presence, const std::vector<QuotaNode> &nodes,
                  Instant now);

/// Share of the fleet that is present, by which an owner scales its quotas.
double presentShare(const FleetPresence &presence, Instant now);

} // namespace hickoryglade
