#pragma once

#include "libhickoryglade/settingsschema.h"

#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Settings of one process, from its file.
struct NodeSettings {
  std::string Node;
  std::string DataCentre;
  /// Where callers connect.
  std::string HttpAddress;
  /// Where other nodes connect, over TCP and UDP.
  std::string FleetAddress;
  /// Where other nodes reach this one; the fleet address unless set.
  std::string AdvertisedAddress;
  /// Where endpoints announce themselves and operators ask.
  std::string AdminAddress;
  std::string LogAddress;
  /// Prefix of the names of this fleet's streams.
  std::string StreamPrefix = "hickoryglade";
  /// How long the log keeps records.
  Millis LogRetention = std::chrono::hours(24);
  std::vector<std::string> Seeds;
  int TrafficThreads = 1;
  std::string LogLevel = "info";
  /// Longest time that a stop waits for requests in flight.
  Millis DrainLimit{30'000};

  bool operator==(const NodeSettings &) const = default;
};

struct NodeSettingsResult {
  NodeSettings Settings;
  std::vector<SettingsFault> Faults;
};

/// Checks the whole text (JSON with comments) and reports every fault.
NodeSettingsResult parseNodeSettings(const std::string &text);

} // namespace hickoryglade::fleet
