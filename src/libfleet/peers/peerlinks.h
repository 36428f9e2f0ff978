#pragma once

#include "libfleet/node/fleetview.h"
#include "libfleet/peers/gateclient.h"
#include "libfleet/peers/link.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

/// Links from one traffic thread to the gates of other nodes, opened on first
/// use and reopened after a loss.
class PeerLinks {
public:
  PeerLinks(asio::any_io_executor ex, wire::Hello own, BodyBudgetPtr budget,
            TrafficCounters &traffic);

  /// Sets the client that is used for the local node instead of a link.
  void setLocal(std::string node, std::shared_ptr<GateClient> client);

  /// Returns an open client, or nullptr if the node is not reached in time or
  /// before `isOver` becomes true.
  asio::awaitable<std::shared_ptr<GateClient>>
  connect(std::string node, const NodeView &view, Instant until,
          std::function<bool()> isOver = {});

  /// False after a link to the node was lost, until the backoff has passed and
  /// a new connection is established.
  bool isPathUp(const std::string &node, Instant now) const;

  /// True if the node's VM refused the latest connection: no process listens.
  bool isRefused(const std::string &node) const;

  /// Reopens a lost link once its backoff has passed, so that no request has to
  /// wait for it.
  void reconnectIfDue(const std::string &node, const NodeView &view,
                      Instant now);

  /// Reopens a link that has just been lost, in spite of its backoff, a few
  /// times in all: shows whether the node's process is still there.
  void reopenNow(const std::string &node, const NodeView &view);

  /// Returns the client of an open link; nullptr if there is none.
  std::shared_ptr<GateClient> openClient(const std::string &node) const;

  /// True if requests can be sent to the node without waiting for its link.
  bool isConnected(const std::string &node) const;

  /// Starts to open the link to a node, unless it is open or backing off.
  void prepare(const std::string &node, const NodeView &view, Instant now);

  void closeAll();

private:
  struct Peer {
    std::shared_ptr<Link> Connection;
    std::shared_ptr<GateClient> Client;
    std::string Address;
    bool IsConnecting = false;
    bool IsRefused = false;
    /// Attempts of reopenNow() since the link was last established, and when
    /// the next one may start.
    int Reopens = 0;
    Instant ReopenAt;
    int Losses = 0;
    Instant DownUntil;
  };

  asio::awaitable<void> open(std::string node, std::string address);
  void startBackoff(const std::string &node);
  Link::Events eventsFor(const std::string &node,
                         const std::shared_ptr<GateClient *> &slot);

  asio::any_io_executor Executor;
  wire::Hello Own;
  BodyBudgetPtr Budget;
  TrafficCounters &Traffic;
  std::string LocalNode;
  std::shared_ptr<GateClient> Local;
  std::map<std::string, Peer> Peers;
};

} // namespace hickoryglade::fleet
