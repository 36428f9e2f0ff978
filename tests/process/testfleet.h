#pragma once

#include "process/childprocess.h"
#include "process/freeaddress.h"
#include "process/httpcall.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace hickoryglade::testing {

/// Runs a local fleet: node processes, with stand-ins for the log service, the
/// endpoints and, as relays, the network.
class TestFleet {
public:
  TestFleet();
  ~TestFleet();

  struct NodeAddresses {
    std::string Http;
    std::string Fleet;
    std::string Admin;
    /// Address that other nodes connect to: the relay's, if the node has one.
    std::string Advertised;
    std::string RelayControl;
  };

  /// Sets the log level of nodes that are started later.
  void setLogLevel(const std::string &level) { LogLevel = level; }

  void startLog();
  void startNode(const std::string &name, bool hasRelay = false);
  void startEndpoint(const std::string &name, const std::string &node,
                     const std::string &service = "s");

  ChildProcess &process(const std::string &name) { return Processes.at(name); }
  const NodeAddresses &node(const std::string &name) { return Nodes.at(name); }
  const std::string &logAddress() const { return Log; }
  const std::string &endpointAddress(const std::string &name) {
    return Endpoints.at(name);
  }

  /// Publishes a value; throws if it is not accepted.
  void publish(const std::string &path, const nlohmann::json &value);
  HttpReply tryPublish(const std::string &node, const std::string &path,
                       const nlohmann::json &value, std::int64_t base,
                       const std::string &id);
  /// Publishes the default settings: service "w/s" with a route for host
  /// "s.example".
  void publishDefaults(const nlohmann::json &service = {{"floor", 1}});

  /// Changes the behaviour of a stand-in and returns its counters.
  nlohmann::json controlEndpoint(const std::string &name,
                                 const nlohmann::json &change);
  void controlLog(const nlohmann::json &change);
  void controlRelay(const std::string &node, const nlohmann::json &change);

  HttpReply call(const std::string &node, HttpCall call, int timeoutMs = 5'000);
  nlohmann::json status(const std::string &node);
  nlohmann::json settings(const std::string &node, const std::string &path);

  /// Returns how often work with this tag was started, summed over all
  /// endpoints that respond.
  int countRuns(const std::string &tag);

  /// Waits until every node accepts callers, routes to all endpoints, reports
  /// all members and keepers and has the settings of the default route.
  void awaitReady();

  /// Waits for a condition; throws if it does not hold within the limit.
  static void await(const std::string &what, std::function<bool()> condition,
                    int limitMs = 20'000);

private:
  std::string file(const std::string &name) const;

  std::string Folder;
  std::string Log;
  std::map<std::string, ChildProcess> Processes;
  std::map<std::string, NodeAddresses> Nodes;
  std::map<std::string, std::string> Endpoints;
  FreeAddresses Addresses;
  std::string LogLevel = "info";
};

/// Returns a POST request, which is not idempotent, whose runs the endpoints
/// count by tag.
HttpCall taggedWork(const std::string &tag, int workMs = 25);

} // namespace hickoryglade::testing
