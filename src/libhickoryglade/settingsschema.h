#pragma once

#include "libhickoryglade/servicepolicy.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace hickoryglade {

/// A fault in a settings value.
struct SettingsFault {
  /// Path of the tree node, then the key: "/shop/orders: floor".
  std::string Where;
  std::string Reason;

  bool operator==(const SettingsFault &) const = default;
};

/// Levels of the settings tree.
enum class SettingsLevel { Fleet, Workspace, Service, Route };

/// Splits "/a/b" into its names; the root has none.
std::vector<std::string> splitSettingsPath(const std::string &path);

/// True for a name that may be a part of a path.
bool isSettingsName(const std::string &name);
bool isSettingsNameChar(char c);

/// Returns what is wrong with a path, or an empty string if it is well formed.
std::string settingsPathFault(const std::string &path);

/// Level of a well-formed path.
SettingsLevel settingsLevel(const std::string &path);

/// Checks a tree node's own value against the schema of its level.
std::vector<SettingsFault> checkSettingsValue(const std::string &path,
                                              const nlohmann::json &value);

/// Overrides the fields of a policy that a checked value contains.
ServicePolicy applySettings(ServicePolicy base, const nlohmann::json &value);

} // namespace hickoryglade
