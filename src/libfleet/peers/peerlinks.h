#pragma once

#include "libfleet/node/fleetview.h"
#include "libfleet/peers/gateclient.h"
#include "libfleet/peers/link.h"

#include <map>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

/// Links from one traffic thread to the gates of other nodes, opened when
/// first needed and again after a loss.
class PeerLinks {
public:
  PeerLinks(asio::any_io_executor ex, wire::Hello own,
            TrafficCounters &traffic);

  /// Uses this client for the node itself in place of a link.
  void setLocal(std::string node, std::shared_ptr<GateClient> client);

  /// Gives an open client, or nothing if the node cannot be reached in time.
  asio::awaitable<std::shared_ptr<GateClient>>
  connect(std::string node, const NodeView &view, Instant until);

  /// False for a short time after a link to the node was lost.
  bool isPathUp(const std::string &node, Instant now) const;

  /// Opens a lost path anew, if that is due, so that no request has to.
  void reconnectIfDue(const std::string &node, const NodeView &view,
                      Instant now);

  void closeAll();

private:
  struct Peer {
    std::shared_ptr<Link> Connection;
    std::shared_ptr<GateClient> Client;
    std::string Address;
    bool IsConnecting = false;
    int Losses = 0;
    Instant DownUntil;
  };

  asio::awaitable<void> open(std::string node, std::string address);
  void startBackoff(const std::string &node);
  Link::Events eventsFor(const std::string &node,
                         const std::shared_ptr<GateClient *> &slot);

  asio::any_io_executor Executor;
  wire::Hello Own;
  TrafficCounters &Traffic;
  std::string LocalNode;
  std::shared_ptr<GateClient> Local;
  std::map<std::string, Peer> Peers;
};

} // namespace hickoryglade::fleet
