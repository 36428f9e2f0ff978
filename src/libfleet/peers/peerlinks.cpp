#include "libfleet/peers/peerlinks.h"

#include "libfleet/base/address.h"
#include "libfleet/reporting/logging.h"

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

/// Time limit for the connection and the exchange of hello frames. A request
/// waits at most RequestConnectLimit of it before it tries another gate.
constexpr Micros ConnectLimit = std::chrono::milliseconds(500);
constexpr Micros RequestConnectLimit = std::chrono::milliseconds(200);
constexpr Micros PollPeriod = std::chrono::milliseconds(2);

/// Backoff after the first loss of a link. It doubles with each further loss,
/// at most MaxDoublings times.
constexpr Micros InitialBackoff = std::chrono::milliseconds(250);
constexpr int MaxDoublings = 3;

/// Attempts to reopen a lost link without its backoff, and the least time from
/// one to the next. A process that is being ended may still accept the first.
constexpr int MaxReopens = 4;
constexpr Micros ReopenPause = std::chrono::milliseconds(15);

} // namespace

PeerLinks::PeerLinks(asio::any_io_executor ex, wire::Hello own,
                     BodyBudgetPtr budget, TrafficCounters &traffic)
    : Executor(std::move(ex)), Own(std::move(own)), Budget(std::move(budget)),
      Traffic(traffic) {}

void PeerLinks::setLocal(std::string node, std::shared_ptr<GateClient> client) {
  LocalNode = std::move(node);
  Local = std::move(client);
}

asio::awaitable<std::shared_ptr<GateClient>>
PeerLinks::connect(std::string node, const NodeView &view, Instant until,
                   std::function<bool()> isOver) {
  if (node == LocalNode)
    co_return Local;
  until = std::min(until, now() + RequestConnectLimit);
  std::string address = view.FleetAddress;
  while (true) {
    Peer &peer = Peers[node];
    bool isMoved = peer.Connection && peer.Address != address;
    if (isMoved)
      peer.Connection->close("the node's address has changed");
    if (peer.Client && peer.Connection && peer.Connection->isOpen() &&
        peer.Connection->peer())
      co_return peer.Client;
    if (now() >= until || (isOver && isOver()))
      co_return nullptr;
    bool isBackingOff = now() < peer.DownUntil;
    bool isOpening = peer.IsConnecting || peer.Connection;
    if (isBackingOff && !isOpening && peer.DownUntil >= until)
      co_return nullptr;
    if (!isBackingOff && !peer.IsConnecting && !peer.Connection) {
      peer.IsConnecting = true;
      asio::co_spawn(Executor, open(node, address), asio::detached);
    }
    asio::steady_timer pause(Executor, PollPeriod);
    error_code ec;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> PeerLinks::open(std::string node, std::string address) {
  std::optional<Address> parsed = parseAddress(address);
  auto socket = std::make_shared<tcp::socket>(Executor);
  auto timer = std::make_shared<asio::steady_timer>(Executor, ConnectLimit);
  timer->async_wait([socket](const error_code &ec) {
    error_code ignored;
    if (!ec)
      socket->close(ignored);
  });
  error_code ec = asio::error::invalid_argument;
  if (parsed)
    co_await socket->async_connect(
        tcp::endpoint(asio::ip::make_address(parsed->Ip), parsed->Port),
        asio::redirect_error(asio::use_awaitable, ec));
  timer->cancel();
  Peer &peer = Peers[node];
  peer.IsConnecting = false;
  peer.IsRefused = ec == asio::error::connection_refused;
  if (ec || !socket->is_open()) {
    startBackoff(node);
    co_return;
  }
  auto slot = std::make_shared<GateClient *>(nullptr);
  peer.Connection =
      std::make_shared<Link>(std::move(*socket), Own, Traffic,
                             TrafficCause::Requests, eventsFor(node, slot));
  peer.Client = std::make_shared<GateClient>(peer.Connection, Budget);
  *slot = peer.Client.get();
  peer.Client->OnStreamCount = [link = peer.Connection.get()](std::size_t n) {
    link->setBusy(n > 0);
  };
  peer.Address = address;
  peer.Connection->setBusy(true);
  peer.Connection->start();
}

Link::Events PeerLinks::eventsFor(const std::string &node,
                                  const std::shared_ptr<GateClient *> &slot) {
  Link::Events events;
  events.OnFrame = [this, node, slot](const std::shared_ptr<Link> &link,
                                      wire::Frame frame) {
    if (frame.__isset.hello) {
      Peers[node].Losses = 0;
      Peers[node].Reopens = 0;
      link->setBusy(*slot && (*slot)->openStreams() > 0);
      return;
    }
    if (frame.__isset.goodbye) {
      if (*slot)
        (*slot)->failStreams(true);
      return link->close("the node ends");
    }
    if (*slot && !(*slot)->takeFrame(std::move(frame)))
      link->close("unexpected frame");
  };
  events.OnClose = [this, node, slot](const std::shared_ptr<Link> &) {
    Peer &peer = Peers[node];
    std::shared_ptr<GateClient> client = std::move(peer.Client);
    peer.Client = nullptr;
    peer.Connection = nullptr;
    *slot = nullptr;
    startBackoff(node);
    if (client)
      client->failStreams();
  };
  return events;
}

void PeerLinks::startBackoff(const std::string &node) {
  Peer &peer = Peers[node];
  // An attempt of reopenNow() leaves the backoff as it is.
  if (peer.Losses > 0 && now() < peer.DownUntil)
    return;
  Micros pause = InitialBackoff * (1 << std::min(peer.Losses, MaxDoublings));
  ++peer.Losses;
  peer.DownUntil = now() + pause;
}

/// A lost path is up again once a new connection over it is established.
bool PeerLinks::isPathUp(const std::string &node, Instant now) const {
  auto it = Peers.find(node);
  if (it == Peers.end() || it->second.Losses == 0)
    return true;
  const Peer &peer = it->second;
  return peer.Connection && peer.Connection->peer() && now >= peer.DownUntil;
}

bool PeerLinks::isRefused(const std::string &node) const {
  auto it = Peers.find(node);
  return it != Peers.end() && it->second.IsRefused;
}

void PeerLinks::reconnectIfDue(const std::string &node, const NodeView &view,
                               Instant now) {
  auto it = Peers.find(node);
  if (it == Peers.end() || it->second.Losses == 0)
    return;
  prepare(node, view, now);
}

void PeerLinks::reopenNow(const std::string &node, const NodeView &view) {
  Peer &peer = Peers[node];
  bool mayReopen =
      peer.Losses > 0 && peer.Reopens < MaxReopens && now() >= peer.ReopenAt;
  if (!mayReopen || peer.Connection || peer.IsConnecting)
    return;
  ++peer.Reopens;
  peer.ReopenAt = now() + ReopenPause;
  peer.IsConnecting = true;
  asio::co_spawn(Executor, open(node, view.FleetAddress), asio::detached);
}

std::shared_ptr<GateClient>
PeerLinks::openClient(const std::string &node) const {
  if (node == LocalNode)
    return Local;
  auto it = Peers.find(node);
  if (it == Peers.end())
    return nullptr;
  const Peer &peer = it->second;
  bool isOpen = peer.Client && peer.Connection && peer.Connection->isOpen() &&
                peer.Connection->peer();
  return isOpen ? peer.Client : nullptr;
}

bool PeerLinks::isConnected(const std::string &node) const {
  return node == LocalNode || openClient(node);
}

void PeerLinks::prepare(const std::string &node, const NodeView &view,
                        Instant now) {
  Peer &peer = Peers[node];
  if (peer.Connection || peer.IsConnecting || now < peer.DownUntil)
    return;
  peer.IsConnecting = true;
  asio::co_spawn(Executor, open(node, view.FleetAddress), asio::detached);
}

void PeerLinks::closeAll() {
  for (auto &[node, peer] : Peers)
    if (auto link = peer.Connection)
      link->close("the node stops");
}

} // namespace hickoryglade::fleet
