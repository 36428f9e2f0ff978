#pragma once

#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/routetable.h"
#include "libhickoryglade/routerpolicy.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// One node that gates endpoints of a service.
struct GateView {
  std::string Node;
  std::int64_t BootId = 0;
  std::string DataCentre;
  int Slots = 0;
  Standing State = Standing::Healthy;

  bool operator==(const GateView &) const = default;
};

/// Where to connect to a node.
struct NodeView {
  std::string FleetAddress;
  std::int64_t BootId = 0;

  bool operator==(const NodeView &) const = default;
};

struct ServiceView {
  std::vector<GateView> Gates;
  ServicePolicy Policy;
  std::map<std::string, int> Shares;
};

/// What the control thread gives to the traffic threads. Never changed after
/// it has been handed over.
struct FleetView {
  bool HasSettings = false;
  std::shared_ptr<const RouteTable> Routes =
      std::make_shared<const RouteTable>();
  std::map<std::string, ServiceView> Services;
  std::map<std::string, NodeView> Nodes;
  Quarantine Crashes;
  /// Nodes that keep idempotency keys, and the log offset they are as of.
  std::vector<std::string> Keepers;
  std::int64_t KeepersOffset = 0;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace hickoryglade::fleet
