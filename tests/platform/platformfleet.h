#pragma once

#include "process/childprocess.h"
#include "process/freeaddress.h"
#include "process/httpcall.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hickoryglade::testing {

/// Runs real nodes with stand-ins for the users' platform: the store, and a
/// server beside each node.
class PlatformFleet {
public:
  PlatformFleet();
  ~PlatformFleet();

  struct NodeAddresses {
    std::string Http;
    std::string Fleet;
    std::string Admin;
    std::string Ready;
    /// Control addresses of the node's relays, the one to the store first; none
    /// if it has no relays.
    std::vector<std::string> RelayControls = {};
  };

  /// Sets the heartbeat period of servers that are started from now on.
  void setHeartbeatMs(int heartbeatMs) { HeartbeatMs = heartbeatMs; }

  /// Sets further settings of nodes that are started from now on.
  void setNodeSettings(nlohmann::json settings) {
    ExtraSettings = std::move(settings);
  }

  /// Sets the bounds that the platform hands to such nodes.
  void setPlatformBounds(nlohmann::json bounds) {
    PlatformBounds = std::move(bounds);
  }

  /// Sets the node program, to run another version of it.
  void setNodeProgram(std::string program) { NodeProgram = std::move(program); }

  /// Sets further options of servers that are started from now on.
  void setServerOptions(std::vector<std::string> options) {
    ServerOptions = std::move(options);
  }

  /// Sets further defaults of the settings tree of such nodes.
  void setRootDefaults(nlohmann::json defaults) {
    RootDefaults = std::move(defaults);
  }

  void startStore();
  void startNode(const std::string &name, const std::string &service = "s");
  /// Starts a node whose traffic with other nodes and the store goes through
  /// relays. Other nodes reach it only through its relay.
  void startRelayedNode(const std::string &name);
  /// Changes both relays of a node.
  void controlRelays(const std::string &node, const nlohmann::json &change);
  /// Holds back all traffic between a relayed node and the store.
  void cutFromStore(const std::string &node);
  /// Starts a server that only the given node reaches.
  void startServer(const std::string &node, const std::string &service = "s");

  /// Starts two nodes with a server each and a third whose server belongs to
  /// another service, and waits until all of them serve.
  void startNodes();
  /// Starts the store and these nodes.
  void startDefault();

  /// Publishes a configuration as the operator does.
  void configure(const nlohmann::json &config) { configureText(config.dump()); }
  void configureText(const std::string &config);
  /// A node's status report; null if it does not answer.
  nlohmann::json statusOf(const std::string &node);
  /// Version up to which a node has the settings, as it reports itself.
  std::int64_t settingsOf(const std::string &node);
  /// Writes a record to a keyed topic of the store.
  void appendToStore(const std::string &topic, const std::string &key,
                     const std::string &value);
  nlohmann::json controlStore(const nlohmann::json &change);
  nlohmann::json controlServer(const std::string &node,
                               const nlohmann::json &change);

  /// Number of requests that the server of a node has received.
  int arrivals(const std::string &node);

  /// Sends one client attempt with an id of its own. Thread-safe.
  HttpReply call(const std::string &node, const std::string &method,
                 const std::string &target, const std::string &body = "");
  int readiness(const std::string &node);
  /// Returns how often the servers have run the latest attempt in total.
  int runsOfLastAttempt();
  const std::string &lastId() const { return LastId; }

  ChildProcess &process(const std::string &name) { return Processes.at(name); }
  const NodeAddresses &node(const std::string &name) { return Nodes.at(name); }

  /// Returns an address that no process of the fleet has.
  std::string freeAddress() { return Addresses.next(); }

  /// Folder of what the processes print, as NAME.err; removed at the end.
  const std::string &folder() const { return Folder; }

  /// Waits until every node serves requests.
  void awaitServing();

private:
  std::string file(const std::string &name) const;
  std::string startRelay(const std::string &node, const std::string &to);
  void controlRelay(const std::string &control, const nlohmann::json &change);

  std::string Folder;
  FreeAddresses Addresses;
  std::string Store;
  std::map<std::string, ChildProcess> Processes;
  std::map<std::string, NodeAddresses> Nodes;
  std::map<std::string, std::string> Servers;
  std::mutex Mutex;
  std::string LastId;
  std::atomic<int> Attempts = 0;
  int HeartbeatMs = 200;
  nlohmann::json ExtraSettings = nlohmann::json::object();
  nlohmann::json RootDefaults = nlohmann::json::object();
  nlohmann::json PlatformBounds;
  std::string NodeProgram;
  std::vector<std::string> ServerOptions;
};

/// Returns a configuration with a safe route at /safe/ and a non-idempotent one
/// at /once/, both to the given service.
nlohmann::json defaultConfig(int version, const std::string &service = "s");

} // namespace hickoryglade::testing
