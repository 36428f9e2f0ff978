#pragma once

#include "libhickoryglade/servicepolicy.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Own value of a tree node and the revision that set it.
struct SettingsNode {
  nlohmann::json Value;
  /// Revision of the change in force; a removed node has a null value and the
  /// revision of its removal.
  std::int64_t Revision = 0;
  /// Hash of path and value, computed when a document sets the value; 0 if it
  /// has not been computed.
  std::uint64_t Hash = 0;

  bool operator==(const SettingsNode &) const = default;
};

/// Hash of a value at a path, the same on all nodes.
std::uint64_t settingsHash(const std::string &path,
                           const nlohmann::json &value);

/// The tree of published settings.
struct SettingsTree {
  std::map<std::string, SettingsNode> Nodes;

  bool operator==(const SettingsTree &) const = default;
};

/// A key's value in force at a path, and the path that defines it.
struct EffectiveValue {
  std::string Key;
  nlohmann::json Value;
  std::string From;
  std::int64_t Revision = 0;
};

/// Revision of a path; 0 if it has never been set.
std::int64_t revisionOf(const SettingsTree &tree, const std::string &path);

/// The path itself and its ancestors, root first.
std::vector<std::string> pathWithAncestors(const std::string &path);

/// All keys in force at a path, each with the path that defines it.
std::vector<EffectiveValue> effectiveValues(const SettingsTree &tree,
                                            const std::string &path);

/// Policy in force at a path.
ServicePolicy policyAt(const SettingsTree &tree, const std::string &path);

/// Fingerprints that operators have released from quarantine.
std::vector<std::string> releasedFingerprints(const SettingsTree &tree);

} // namespace hickoryglade
