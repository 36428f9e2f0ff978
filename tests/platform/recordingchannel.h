#pragma once

#include "libfleet/peers/framechannel.h"

#include "fleet_types.h"

#include <vector>

namespace hickoryglade::testing {

/// Channel that records what is sent.
struct RecordingChannel : fleet::FrameChannel {
  void send(wire::Frame frame) override { Sent.push_back(std::move(frame)); }
  void sendBody(std::int64_t, fleet::Body, fleet::BodyKind) override {}
  void dropBody(std::int64_t) override {}
  bool isOpen() const override { return true; }
  std::string peerName() const override { return "gate"; }
  std::int64_t ageMs() const override { return 0; }

  std::vector<wire::Frame> Sent;
};

} // namespace hickoryglade::testing
