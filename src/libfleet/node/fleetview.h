#pragma once

#include "libhickoryglade/leaseledger.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/routerpolicy.h"
#include "libhickoryglade/routetable.h"

#include <map>
#include <memory>
#include <optional>
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
  /// Offset up to which the node says that it has read the ledger.
  std::int64_t LedgerNext = 0;

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
  /// Version up to which the settings have been taken.
  std::int64_t SettingsNext = 0;
  /// Policy at the root of the tree, with the largest body that any service
  /// takes.
  ServicePolicy Root;
  std::shared_ptr<const RouteTable> Routes =
      std::make_shared<const RouteTable>();
  std::map<std::string, ServiceView> Services;
  std::map<std::string, NodeView> Nodes;
  Quarantine Crashes;
  /// Processes that keep idempotency keys, and the ledger offset as of which
  /// they do.
  std::vector<LeaseHolder> Keepers;
  std::int64_t KeepersOffset = 0;
  /// Keepers that have left after handing on their records.
  std::vector<LeaseHolder> HandedOn;
  /// End of this node's own keeper lease, by its clock.
  std::optional<Instant> KeeperLeaseEnd;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace hickoryglade::fleet
