#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/node/fleetview.h"
#include "libfleet/peers/framechannel.h"
#include "libfleet/peers/peerlinks.h"
#include "libhickoryglade/quota/quotabucket.h"
#include "libhickoryglade/quota/quotaowners.h"

#include "fleet_types.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

std::vector<QuotaNode> quotaNodes(const FleetView &view);

/// Gives out the tokens of the quotas that this node owns. Runs on the gate's
/// thread.
class QuotaService {
public:
  QuotaService(const asio::any_io_executor &ex, std::string self,
               PeerLinks &links);

  void applyView(FleetViewPtr view);
  void takeFrame(const std::shared_ptr<FrameChannel> &from,
                 const wire::Frame &frame);

private:
  QuotaStance stanceOn(const std::string &workspace) const;
  void probe(const std::string &workspace);
  asio::awaitable<void> connectTo(std::string node, NodeView view);
  void scheduleExpiry();

  asio::any_io_executor Executor;
  asio::steady_timer Timer;
  PeerLinks &Links;
  bool IsExpiryScheduled = false;
  /// Nodes to which a connection is being tried.
  std::set<std::string> Probed;
  std::string Self;
  FleetViewPtr View = std::make_shared<const FleetView>();
  FleetPresence Presence;
  /// When this node first had settings.
  std::optional<Instant> StartedAt;
  QuotaBuckets Buckets;
};

} // namespace hickoryglade::fleet
