#pragma once

#include "libhickoryglade/settingstree.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickoryglade {

constexpr int MaxWorkspacePriority = 100;

/// Requests that a workspace may send, summed over all nodes.
struct Quota {
  /// 0 if there is no limit.
  double PerSecond = 0;
  double Burst = 0;

  bool operator==(const Quota &) const = default;
};

/// A workspace whose callers identify themselves by keys.
struct Workspace {
  std::string Name;
  /// 0 is the most urgent.
  int Priority = 0;
  Quota Limit;
  /// Name that endpoints are told; the same unless set.
  std::string EndpointName = {};

  bool operator==(const Workspace &) const = default;
};

/// Name by which endpoints know a workspace.
const std::string &endpointName(const Workspace &workspace);

/// Workspaces by name and by key. Immutable; shared by the traffic threads.
class WorkspaceTable {
public:
  WorkspaceTable() = default;
  explicit WorkspaceTable(const SettingsTree &tree);

  bool empty() const { return ByName.empty(); }

  /// Returns nullptr if there is no such workspace.
  const Workspace *find(const std::string &name) const;

  /// Workspace that holds a caller's key; nullptr if none does, or if several
  /// do.
  const Workspace *findByKey(std::string_view key) const;

private:
  std::map<std::string, Workspace> ByName;
  /// Names of workspaces; empty for a key of several workspaces.
  std::unordered_map<std::string, std::string> ByDigest;
};

/// Priority of a request among all that compete for a slot, 0 first: the
/// workspace's priority goes before the route's.
int combinedPriority(int workspacePriority, int routePriority);

/// Workspaces that list the digest of another one's key, with the digest.
std::vector<std::pair<std::string, std::string>>
sharedDigests(const SettingsTree &tree);

} // namespace hickoryglade
