#include "libhickoryglade/settingstree.h"

#include "libhickoryglade/hash.h"
#include "libhickoryglade/settingsschema.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace hickoryglade {

namespace {

const SettingsNode *liveNode(const SettingsTree &tree,
                             const std::string &path) {
  auto it = tree.Nodes.find(path);
  if (it == tree.Nodes.end() || it->second.Value.is_null())
    return nullptr;
  return &it->second;
}

/// Keys that identify a route or workspace; they are never inherited.
bool isIdentityKey(const std::string &key) {
  constexpr std::array<std::string_view, 9> keys = {
      "host",          "prefix",           "workspace",   "split",
      "key_digests",   "quota_per_second", "quota_burst", "workspace_priority",
      "workspace_name"};
  return std::ranges::find(keys, key) != keys.end();
}

} // namespace

std::uint64_t settingsHash(const std::string &path,
                           const nlohmann::json &value) {
  return stableHash(value.dump(), stableHash(path));
}

std::int64_t revisionOf(const SettingsTree &tree, const std::string &path) {
  auto it = tree.Nodes.find(path);
  return it == tree.Nodes.end() ? 0 : it->second.Revision;
}

std::vector<std::string> pathWithAncestors(const std::string &path) {
  std::vector<std::string> all{"/"};
  std::string at;
  for (const std::string &name : splitSettingsPath(path)) {
    at += "/" + name;
    all.push_back(at);
  }
  return all;
}

std::vector<EffectiveValue> effectiveValues(const SettingsTree &tree,
                                            const std::string &path) {
  std::map<std::string, EffectiveValue> byKey;
  for (const std::string &at : pathWithAncestors(path)) {
    const SettingsNode *node = liveNode(tree, at);
    if (!node)
      continue;
    for (const auto &[key, value] : node->Value.items())
      if (at == path || !isIdentityKey(key))
        byKey[key] = {key, value, at, node->Revision};
  }
  std::vector<EffectiveValue> all;
  for (auto &[key, value] : byKey)
    all.push_back(std::move(value));
  return all;
}

ServicePolicy policyAt(const SettingsTree &tree, const std::string &path) {
  ServicePolicy policy;
  for (const std::string &at : pathWithAncestors(path))
    if (const SettingsNode *node = liveNode(tree, at))
      policy = applySettings(std::move(policy), node->Value);
  return policy;
}

std::vector<std::string> releasedFingerprints(const SettingsTree &tree) {
  std::vector<std::string> all;
  for (const auto &[path, node] : tree.Nodes) {
    if (node.Value.is_null() || !node.Value.contains("quarantine_release"))
      continue;
    auto own = node.Value["quarantine_release"].get<std::vector<std::string>>();
    all.insert(all.end(), own.begin(), own.end());
  }
  std::ranges::sort(all);
  return all;
}

} // namespace hickoryglade
