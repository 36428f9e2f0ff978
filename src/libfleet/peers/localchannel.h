#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/base/clock.h"
#include "libfleet/peers/framechannel.h"

#include "fleet_types.h"

#include <functional>
#include <memory>

namespace hickoryglade::fleet {

/// One direction of the channel between an entry and the gate of its own node:
/// frames are passed without being encoded, and bodies without being copied.
class LocalChannel : public FrameChannel {
public:
  /// The callbacks for what is sent, called on the receiver's thread.
  struct Receiver {
    std::function<void(wire::Frame)> OnFrame;
    std::function<void(std::int64_t stream, Body body)> OnBody;
  };

  LocalChannel(asio::any_io_executor to, std::string node, Receiver receiver);

  void send(wire::Frame frame) override;
  void sendBody(std::int64_t stream, Body body, BodyKind kind) override;
  void dropBody(std::int64_t) override {}
  bool isOpen() const override { return true; }
  std::string peerName() const override { return NodeName; }
  std::int64_t ageMs() const override;

private:
  asio::any_io_executor To;
  std::string NodeName;
  Receiver Receive;
  Instant OpenedAt;
};

} // namespace hickoryglade::fleet
