#pragma once

#include "libfleet/node/nodesettings.h"

#include <absl/status/status.h>

#include <memory>

namespace hickoryglade::fleet {

/// One node of the fleet: its threads and what runs on them.
class Node {
public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts all threads; on failure none runs.
  absl::Status start();

  /// Takes over the settings that can change while the node runs; returns false
  /// if others differ too.
  bool reload(const NodeSettings &settings);

  /// Leaves the fleet: takes nothing new, finishes what is in flight within
  /// the configured limit. Returns false if something had to be cut off.
  bool stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace hickoryglade::fleet
