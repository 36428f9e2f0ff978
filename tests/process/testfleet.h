#pragma once

#include "process/childprocess.h"
#include "process/freeaddress.h"
#include "process/httpcall.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace hickoryglade::testing {

/// A local fleet of real processes with stand-ins around it.
class TestFleet {
public:
  TestFleet();
  ~TestFleet();

  struct NodeAddresses {
    std::string Http;
    std::string Fleet;
    std::string Admin;
    /// Where others reach the node: a relay's address if it has one.
    std::string Advertised;
    std::string RelayControl;
  };

  /// Level of the logs of nodes that are started from now on.
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

  /// Publishes a value and requires that it is accepted.
  void publish(const std::string &path, const nlohmann::json &value);
  HttpReply tryPublish(const std::string &node, const std::string &path,
                       const nlohmann::json &value, std::int64_t base,
                       const std::string &id);
  /// The usual tree: service "w/s" at host "s.example".
  void publishDefaults(const nlohmann::json &service = {{"floor", 1}});

  /// What a stand-in counts, after it has taken a change of behaviour.
  nlohmann::json controlEndpoint(const std::string &name,
                                 const nlohmann::json &change);
  void controlLog(const nlohmann::json &change);
  void controlRelay(const std::string &node, const nlohmann::json &change);

  HttpReply call(const std::string &node, HttpCall call, int timeoutMs = 5'000);
  nlohmann::json status(const std::string &node);
  nlohmann::json settings(const std::string &node, const std::string &path);

  /// Runs of tagged work, added up over all endpoints that are alive.
  int countRuns(const std::string &tag);

  /// Waits until all nodes see each other, all endpoints and all keepers.
  void awaitReady();

  /// Waits for a condition; fails the test if it does not come about.
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

/// A POST of non-idempotent work that is counted under a tag.
HttpCall taggedWork(const std::string &tag, int workMs = 25);

} // namespace hickoryglade::testing
