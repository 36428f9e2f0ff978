#pragma once

#include "libhickoryglade/settingsschema.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Settings of one process, read from its configuration file.
struct NodeSettings {
  std::string Node;
  std::string DataCentre;
  /// Listening address for callers.
  std::string HttpAddress;
  /// Listening address for other nodes, over TCP and UDP.
  std::string FleetAddress;
  /// Address at which other nodes reach this one; the fleet address unless set.
  std::string AdvertisedAddress;
  /// Listening address for announcements of endpoints and for operators.
  std::string AdminAddress;
  /// Listening address for the platform's readiness probe; none if empty.
  std::string ReadyAddress;
  /// Listening address that serves only metrics, which the admin address serves
  /// as well; none if empty.
  std::string MetricsAddress;
  /// Service whose endpoints run on this VM. Requests from this VM name it to
  /// endpoints as the calling service.
  std::string Service;
  /// Name of the platform's adapter, and address of the platform's store. A
  /// node with an adapter uses no log.
  std::string Platform;
  std::string PlatformAddress;
  /// Limits set by the platform, under the platform's names.
  std::map<std::string, double> PlatformBounds;
  /// Default values for the root of the settings tree, for keys that a
  /// platform's documents don't set.
  nlohmann::json RootDefaults = nlohmann::json::object();
  /// Further default values for documents whose callers compete for room: those
  /// with workspaces of their own, or with large request bodies.
  nlohmann::json CompetingRootDefaults = nlohmann::json::object();
  std::string LogAddress;
  /// Prefix of the names of this fleet's log streams.
  std::string StreamPrefix = "hickoryglade";
  /// Retention time of the log's records.
  Millis LogRetention = std::chrono::hours(24);
  std::vector<std::string> Seeds;
  int TrafficThreads = 1;
  std::string LogLevel = "info";
  /// Maximum time that a stop waits for requests in flight.
  Millis DrainLimit{30'000};
  /// How much longer it waits for requests of other nodes that run at its
  /// endpoints.
  Millis GateDrainLimit{0};
  /// True if the node accepts connections of callers, and answers with an
  /// error, before it knows settings and members. Otherwise connections are
  /// refused.
  bool AcceptsBeforeReady = false;
  /// Time for which a stopping node still accepts requests, since callers learn
  /// late that it is leaving.
  Millis Linger{1'000};
  /// Time without an announcement after which an endpoint counts as gone. An
  /// endpoint that announces itself every second thus gets no new requests
  /// within 2 s of its leaving.
  Millis AnnouncementLimit{1'900};

  /// Number of nodes in each data centre that poll the platform's settings
  /// documents for the others; 0 if every node polls them.
  int SettingsReaders = 0;
  /// Age of the knowledge that the settings are the newest at which a node
  /// reads the documents itself, although others poll them.
  Millis SettingsMaxAge{1'200};
  /// Rate of the VM's link in Mbit/s; 0 if it is not known. Nodes with the
  /// widest links of a data centre read the settings for the others.
  int LinkMbps = 0;
  /// Bytes of long bodies of requests and responses that the process holds at a
  /// time.
  std::size_t BodyBytes = std::size_t{64} * 1024 * 1024;
  /// True if short-lived standings of endpoints (suspect, on trial) are sent to
  /// the own data centre only. Other nodes learn them from replies.
  bool KeepsStandingsNear = false;

  bool operator==(const NodeSettings &) const = default;
};

/// The settings in the form of the configuration file, defaults included.
nlohmann::json toJson(const NodeSettings &settings);

struct NodeSettingsResult {
  NodeSettings Settings;
  std::vector<SettingsFault> Faults;
};

/// Parses and checks the whole text (JSON with comments); reports every fault.
NodeSettingsResult parseNodeSettings(const std::string &text);

} // namespace hickoryglade::fleet
