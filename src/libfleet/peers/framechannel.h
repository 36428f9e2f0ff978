#pragma once

#include "libfleet/http/httpmessage.h"

#include <cstdint>
#include <string>

namespace hickoryglade::wire {
class Frame;
} // namespace hickoryglade::wire

namespace hickoryglade::fleet {

/// What a body on a channel holds.
enum class BodyKind {
  /// The body of a request or response.
  Http,
  Settings,
};

/// Bidirectional channel for frames between an entry and a gate: a link to
/// another node, or a LocalChannel within one node.
class FrameChannel {
public:
  virtual ~FrameChannel() = default;

  virtual void send(wire::Frame frame) = 0;

  /// Sends a body in chunks that are interleaved with those of other streams.
  virtual void sendBody(std::int64_t stream, Body body, BodyKind kind) = 0;

  /// Drops the unsent part of a stream's body.
  virtual void dropBody(std::int64_t stream) = 0;

  virtual bool isOpen() const = 0;

  /// Name of the node at the other end; empty while it is not known.
  virtual std::string peerName() const = 0;

  /// Time since the channel was opened, on the clock of this end.
  virtual std::int64_t ageMs() const = 0;
};

} // namespace hickoryglade::fleet
