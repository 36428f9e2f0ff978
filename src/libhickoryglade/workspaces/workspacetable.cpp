#include "libhickoryglade/workspaces/workspacetable.h"

#include "libhickoryglade/settingsschema.h"
#include "libhickoryglade/workspaces/keydigest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade {

namespace {

/// Number of priorities that a route may have.
constexpr int RoutePriorities = 101;

/// True for a node of the tree that describes a workspace with callers of its
/// own, as opposed to one that only groups services.
bool isCallerWorkspace(const std::string &path, const SettingsNode &node) {
  return settingsLevel(path) == SettingsLevel::Workspace &&
         node.Value.is_object() && node.Value.contains("key_digests");
}

Workspace readWorkspace(const std::string &path, const nlohmann::json &value) {
  return {
      path.substr(1),
      value.value("workspace_priority", 0),
      {value.value("quota_per_second", 0.0), value.value("quota_burst", 0.0)},
      value.value("workspace_name", "")};
}

} // namespace

const std::string &endpointName(const Workspace &workspace) {
  return workspace.EndpointName.empty() ? workspace.Name
                                        : workspace.EndpointName;
}

WorkspaceTable::WorkspaceTable(const SettingsTree &tree) {
  for (const auto &[path, node] : tree.Nodes) {
    if (!isCallerWorkspace(path, node))
      continue;
    Workspace it = readWorkspace(path, node.Value);
    for (const auto &digest : node.Value["key_digests"]) {
      auto [known, isNew] =
          ByDigest.try_emplace(digest.get<std::string>(), it.Name);
      if (!isNew && known->second != it.Name)
        known->second.clear();
    }
    ByName.emplace(it.Name, std::move(it));
  }
}

const Workspace *WorkspaceTable::find(const std::string &name) const {
  auto it = ByName.find(name);
  return it == ByName.end() ? nullptr : &it->second;
}

// A caller cannot choose the digest of a key, so the time of the lookup tells
// nothing of the keys that are known.
const Workspace *WorkspaceTable::findByKey(std::string_view key) const {
  auto it = ByDigest.find(keyDigest(key));
  return it == ByDigest.end() ? nullptr : find(it->second);
}

int combinedPriority(int workspacePriority, int routePriority) {
  return workspacePriority * RoutePriorities +
         std::clamp(routePriority, 0, RoutePriorities - 1);
}

std::vector<std::pair<std::string, std::string>>
sharedDigests(const SettingsTree &tree) {
  std::map<std::string, std::string> owners;
  std::vector<std::pair<std::string, std::string>> shared;
  for (const auto &[path, node] : tree.Nodes) {
    if (!isCallerWorkspace(path, node))
      continue;
    for (const auto &digest : node.Value["key_digests"]) {
      auto [it, isNew] = owners.try_emplace(digest.get<std::string>(), path);
      if (!isNew && it->second != path)
        shared.emplace_back(path, it->first);
    }
  }
  return shared;
}

} // namespace hickoryglade
