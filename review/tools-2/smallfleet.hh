#pragma once

#include "harness.hh"

namespace review {

/// A small deployment: the store, machines in two zones with a daemon each, and
/// a server beside each daemon.
class SmallFleet {
public:
  /// Services by machine, in order.
  SmallFleet(Record &record, std::vector<std::string> services,
             AppServer::Worker worker);

  /// Publishes the configuration; returns true once every machine is ready and
  /// serves this target.
  bool begin(const std::string &config, const std::string &target);

  Store &store() { return *Operator; }
  Machine &machine(std::size_t i) { return *Machines[i]; }
  AppServer &server(std::size_t i) { return *Servers[i]; }
  std::size_t size() const { return Machines.size(); }
  /// Times that an attempt has run at all servers.
  int runs(const std::string &id);
  /// Waits until every machine is ready and serves this target.
  bool awaitServing(const std::string &target, Millis limit);

private:
  Record &Log;
  Folder Temporary;
  std::unique_ptr<Store> Operator;
  std::vector<std::unique_ptr<Machine>> Machines;
  std::vector<std::unique_ptr<AppServer>> Servers;
  int Checks = 0;
};

} // namespace review
