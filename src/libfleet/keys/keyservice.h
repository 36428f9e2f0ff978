#pragma once

#include "libfleet/node/fleetview.h"
#include "libfleet/peers/framechannel.h"
#include "libfleet/peers/peerlinks.h"
#include "libhickoryglade/keyplacement.h"
#include "libhickoryglade/keytable.h"

#include "fleet_types.h"

#include <memory>
#include <string>

namespace hickoryglade::fleet {

/// This node's share of the fleet's idempotency key records. Serves requests of
/// entries for the keys that it keeps, and of other keepers for the copies that
/// it holds for them. Runs on the gate's thread.
class KeyService {
public:
  KeyService(asio::any_io_executor ex, LeaseHolder self, PeerLinks &links);

  void start();
  void takeFrame(const std::shared_ptr<FrameChannel> &from,
                 const wire::Frame &frame);
  void applyView(const FleetViewPtr &view);

  /// Stops granting keys and copies all records to their next keepers. Returns
  /// false if some could not be copied within the limit.
  asio::awaitable<bool> handOn(Millis limit);

private:
  asio::awaitable<void> answer(std::shared_ptr<FrameChannel> from,
                               std::int64_t stream, wire::KeyRequest request);
  asio::awaitable<wire::KeyReply> reserve(wire::KeyRequest request);
  asio::awaitable<wire::KeyReply> complete(wire::KeyRequest request);
  asio::awaitable<void> release(wire::KeyRequest request);
  wire::KeyReply copy(const wire::KeyRequest &request);
  wire::KeyReply lookup(const wire::KeyRequest &request) const;
  asio::awaitable<KeyVerdict> confirmNew(wire::KeyRequest request,
                                         std::vector<LeaseHolder> ranked);
  asio::awaitable<std::optional<wire::KeyReply>>
  callKeeper(LeaseHolder holder, wire::KeyRequest request);
  wire::KeyReply replyFor(const KeyEntry &entry,
                          const wire::KeyRecord &record) const;
  bool isKeeperOf(const std::vector<LeaseHolder> &ranked) const;
  void scheduleExpiry();

  asio::any_io_executor Executor;
  asio::steady_timer Timer;
  LeaseHolder Self;
  PeerLinks &Links;
  FleetViewPtr View = std::make_shared<const FleetView>();
  KeyPlacement Placement;
  KeyTable Table;
  bool IsResigned = false;
};

} // namespace hickoryglade::fleet
