#pragma once

#include "libhickoryglade/leaseledger.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/routerpolicy.h"
#include "libhickoryglade/routetable.h"
#include "libhickoryglade/workspaces/workspacetable.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// A node whose gate serves endpoints of a service.
struct GateView {
  std::string Node;
  std::int64_t BootId = 0;
  std::string DataCentre;
  int Slots = 0;
  Standing State = Standing::Healthy;
  /// Hashes of the names of its endpoints.
  std::vector<std::uint64_t> EndpointHashes;

  bool operator==(const GateView &) const = default;
};

/// Address and process of a node.
struct NodeView {
  std::string FleetAddress;
  std::int64_t BootId = 0;
  /// Offset up to which the node reports having read the ledger.
  std::int64_t LedgerNext = 0;
  bool IsSuspect = false;
  bool IsLeaving = false;

  bool operator==(const NodeView &) const = default;
};

/// Latest time at which this node's settings are known to have been the newest,
/// kept up to date for all threads.
struct SettingsAsOf {
  std::atomic<Instant::rep> Value{0};

  Instant time() const { return Instant(Micros(Value.load())); }
  void set(Instant at) { Value.store(at.time_since_epoch().count()); }
};

struct ServiceView {
  std::vector<GateView> Gates;
  ServicePolicy Policy;
  std::map<std::string, int> Shares;
};

/// State of the fleet as the control thread publishes it to the traffic
/// threads. Immutable once published.
struct FleetView {
  bool HasSettings = false;
  /// Version up to which the settings are applied.
  std::int64_t SettingsNext = 0;
  /// Policy at the root of the settings tree, but with the largest body limit
  /// of any service.
  ServicePolicy Root;
  std::shared_ptr<const RouteTable> Routes =
      std::make_shared<const RouteTable>();
  std::shared_ptr<const WorkspaceTable> Workspaces =
      std::make_shared<const WorkspaceTable>();
  std::shared_ptr<const SettingsAsOf> AsOf =
      std::make_shared<const SettingsAsOf>();
  std::map<std::string, ServiceView> Services;
  std::map<std::string, NodeView> Nodes;
  Quarantine Crashes;
  /// Processes that keep idempotency keys, and the ledger offset up to which
  /// this roster is current.
  std::vector<LeaseHolder> Keepers;
  std::int64_t KeepersOffset = 0;
  /// Keepers that copied their records to their successors before they left.
  std::vector<LeaseHolder> HandedOn;
  /// End of this node's own keeper lease by its clock; empty if it holds none.
  std::optional<Instant> KeeperLeaseEnd;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace hickoryglade::fleet
