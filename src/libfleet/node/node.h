#pragma once

#include "libfleet/node/nodesettings.h"

#include <absl/status/status.h>

#include <memory>

namespace hickoryglade::fleet {

/// One node of the fleet: its threads and the services that run on them.
class Node {
public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts all threads; on failure, none is running.
  absl::Status start();

  /// Applies the settings that can change while the node runs. Returns false if
  /// others differ too.
  bool reload(const NodeSettings &settings);

  /// Leaves the fleet: stops accepting requests after the linger time and waits
  /// for those in flight up to the configured limit. Returns false if some were
  /// aborted.
  bool stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace hickoryglade::fleet
