#pragma once

#include "libhickoryglade/settingsschema.h"

#include <nlohmann/json.hpp>

#include <map>
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
  /// Where the platform asks whether the node takes callers; none if empty.
  std::string ReadyAddress;
  /// Where metrics are read, besides the admin address; none if empty.
  std::string MetricsAddress;
  /// Service whose endpoints run on this VM; endpoints are told it as the
  /// origin of requests.
  std::string Service;
  /// Adapter to the platform and the address of its store; with an adapter
  /// there is no log.
  std::string Platform;
  std::string PlatformAddress;
  /// What the platform demands, under its own names.
  std::map<std::string, double> PlatformBounds;
  /// Values for the root of the tree of settings where a platform's documents
  /// leave them open.
  nlohmann::json RootDefaults = nlohmann::json::object();
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
  /// Whether callers are answered, with a refusal, before the node knows
  /// settings and members; otherwise their connections are refused.
  bool AcceptsBeforeReady = false;
  /// How long a node that stops still takes callers, who hear of it late.
  Millis Linger{1'000};
  /// Silence after which an endpoint is taken for gone: new work stops within
  /// 2 s of its leaving if it announces itself every second.
  Millis AnnouncementLimit{1'900};

  /// Nodes of each data centre that read the platform's settings documents for
  /// the others; 0 if each node reads for itself.
  int SettingsReaders = 0;
  /// Whether passing standings of endpoints are told to the own data centre
  /// only; other nodes learn them from replies.
  bool KeepsStandingsNear = false;

  bool operator==(const NodeSettings &) const = default;
};

/// The settings as a file would name them, those left out included.
nlohmann::json toJson(const NodeSettings &settings);

struct NodeSettingsResult {
  NodeSettings Settings;
  std::vector<SettingsFault> Faults;
};

/// Checks the whole text (JSON with comments) and reports every fault.
NodeSettingsResult parseNodeSettings(const std::string &text);

} // namespace hickoryglade::fleet
