#include "libhickoryglade/quota/quotaowners.h"

#include "libhickoryglade/hash.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace hickoryglade {

namespace {

/// How long a node that is no longer seen counts as a part of the fleet.
constexpr Micros AbsenceLimit = std::chrono::seconds(30);

/// The same if more than MaxForgottenShare of the fleet is missing, which is
/// more likely a partition than a loss of VMs.
constexpr Micros PartitionLimit = std::chrono::minutes(5);

/// A part of the fleet of this size may be forgotten: it keeps its own share,
/// so that all parts together exceed a quota by at most this share.
constexpr double MaxForgottenShare = 0.1;

} // namespace

std::vector<QuotaNode> rankOwners(std::vector<QuotaNode> nodes,
                                  const std::string &workspace) {
  if (!std::ranges::all_of(nodes, &QuotaNode::IsLeaving))
    std::erase_if(nodes, &QuotaNode::IsLeaving);
  std::uint64_t seed = stableHash(workspace);
  std::vector<std::pair<std::uint64_t, std::size_t>> scores;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    scores.emplace_back(stableHash(nodes[i].Name, seed), i);
  std::ranges::sort(scores, [&](const auto &a, const auto &b) {
    return std::tie(b.first, nodes[b.second].Name) <
           std::tie(a.first, nodes[a.second].Name);
  });
  std::vector<QuotaNode> ranked;
  std::ranges::transform(
      scores, std::back_inserter(ranked),
      [&](const auto &it) { return std::move(nodes[it.second]); });
  return ranked;
}

void notePresence(FleetPresence &presence, const std::vector<QuotaNode> &nodes,
                  Instant now) {
  std::set<std::string> before = std::move(presence.Present);
  std::set<std::string> candidates;
  presence.Present.clear();
  for (const QuotaNode &it : nodes) {
    if (!it.IsLeaving)
      candidates.insert(it.Name);
    if (!it.IsLeaving && !it.IsSuspect)
      presence.Present.insert(it.Name);
  }
  for (const std::string &it : before)
    if (!presence.Present.contains(it))
      presence.AbsentSince.try_emplace(it, now);
  for (const QuotaNode &it : nodes)
    if (it.IsLeaving || !it.IsSuspect)
      presence.AbsentSince.erase(it.Name);
  std::erase_if(presence.AbsentSince, [&](const auto &it) {
    return now - it.second > PartitionLimit;
  });
  if (candidates == presence.Candidates)
    return;
  presence.Candidates = std::move(candidates);
  presence.ChangedAt = now;
}

double presentShare(const FleetPresence &presence, Instant now) {
  auto absentFor = [&](Micros limit) {
    return double(
        std::ranges::count_if(presence.AbsentSince, [&](const auto &it) {
          return now - it.second <= limit;
        }));
  };
  auto present = double(presence.Present.size());
  if (present == 0)
    return 1;
  double absent = absentFor(PartitionLimit);
  if (absent <= MaxForgottenShare * (present + absent))
    absent = absentFor(AbsenceLimit);
  return present / (present + absent);
}

} // namespace hickoryglade
