#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/node/fleetview.h"
#include "libfleet/peers/framechannel.h"
#include "libfleet/peers/gateclient.h"

#include "fleet_types.h"

#include <memory>

namespace hickoryglade::fleet {

class PeerLinks;

/// Queries gates for the outcomes of attempts on behalf of nodes that have lost
/// their own path to the gate.
class RevokeRelay {
public:
  RevokeRelay(asio::any_io_executor ex, PeerLinks &links);

  void applyView(FleetViewPtr view) { View = std::move(view); }

  void forward(const std::shared_ptr<FrameChannel> &from,
               const wire::Frame &frame);

private:
  asio::awaitable<void> forwardQuery(std::weak_ptr<FrameChannel> from,
                                     std::int64_t stream, wire::Revoke query);
  asio::awaitable<std::optional<StreamEvent>> queryGate(wire::Revoke query);

  asio::any_io_executor Executor;
  PeerLinks &Links;
  FleetViewPtr View = std::make_shared<const FleetView>();
};

} // namespace hickoryglade::fleet
