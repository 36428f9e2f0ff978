#pragma once

#include "libfleet/peers/link.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace hickoryglade::fleet {

/// Accepts links from other nodes. Runs on the gate's thread.
class LinkServer {
public:
  using FrameHandler =
      std::function<void(const std::shared_ptr<FrameChannel> &, wire::Frame)>;
  using CloseHandler =
      std::function<void(const std::shared_ptr<FrameChannel> &)>;

  LinkServer(asio::any_io_executor ex, std::string address, wire::Hello own,
             TrafficCounters &traffic, FrameHandler onFrame,
             CloseHandler onClose);

  absl::Status start();

  /// True while frames or bodies wait to be written on a link.
  bool hasUnsent() const;

  /// Accepts no more links and has the peers close those that are open; see
  /// Link::finish().
  void finish(bool isComplete);
  bool isFinished() const { return Links.empty(); }
  /// True while a peer may have yet to read what was sent to it.
  bool awaitsPeer() const;

private:
  void accept();

  asio::any_io_executor Executor;
  std::string Address;
  wire::Hello Own;
  TrafficCounters &Traffic;
  FrameHandler OnFrame;
  CloseHandler OnClose;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<Link>> Links;
};

} // namespace hickoryglade::fleet
