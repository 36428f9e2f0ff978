#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/peers/framechannel.h"
#include "libfleet/reporting/trafficcounters.h"
#include "libhickoryglade/instant.h"

#include "fleet_types.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// A TCP connection that carries frames between two nodes. It exchanges
/// heartbeats while streams are in flight, and closes itself if nothing is
/// received for too long, whichever direction has failed. Used from one thread
/// only.
class Link : public FrameChannel, public std::enable_shared_from_this<Link> {
public:
  struct Events {
    std::function<void(const std::shared_ptr<Link> &, wire::Frame)> OnFrame;
    std::function<void(const std::shared_ptr<Link> &)> OnClose;
  };

  /// Traffic of bodies is counted under `bodies`: requests at an entry's end,
  /// responses at a gate's end.
  Link(tcp::socket socket, wire::Hello own, TrafficCounters &traffic,
       TrafficCause bodies, Events events);

  /// Sends the hello frame and starts to read.
  void start();
  void close(std::string_view reason);

  void send(wire::Frame frame) override;
  void sendBody(std::int64_t stream, Body body, BodyKind kind) override;
  void dropBody(std::int64_t stream) override;
  bool isOpen() const override { return Open; }
  std::string peerName() const override;
  std::int64_t ageMs() const override;

  /// True while frames or bodies wait to be written.
  bool hasUnsent() const {
    return IsWriting || !Urgent.empty() || !Bodies.empty();
  }

  /// Sends nothing more, so that the peer closes the link once it has read
  /// everything. If `isComplete`, all calls that came over it have been
  /// answered, and the peer is told so.
  void finish(bool isComplete);

  /// True while the peer may have yet to read what was sent before finish().
  bool awaitsPeer() const { return Open && HasRecentData; }

  /// Heartbeats are sent, and their replies expected, while busy.
  void setBusy(bool isBusy);

  /// The peer's hello frame, once received.
  const std::optional<wire::Hello> &peer() const { return Peer; }

private:
  struct Outgoing {
    std::int64_t Stream = 0;
    Body Content;
    BodyKind Kind = BodyKind::Http;
    std::size_t Sent = 0;
  };

  void readPrefix();
  void readContent(std::size_t length);
  void readRest(std::size_t begin);
  void takeFrame(wire::Frame frame);
  void noteReceived();
  bool isSilent() const;
  void writeNext();
  bool fillWriteBuffer();
  void sendHeartbeat();

  bool isFar() const;

  tcp::socket Socket;
  asio::steady_timer Timer;
  wire::Hello Own;
  TrafficCounters &Traffic;
  TrafficCause BodyCause;
  Events Handlers;
  std::optional<wire::Hello> Peer;
  std::array<char, 4> Prefix{};
  std::string Content;
  std::deque<std::string> Urgent;
  std::deque<Outgoing> Bodies;
  std::string Writing;
  bool IsWriting = false;
  bool Open = true;
  bool Busy = false;
  bool IsHeartbeatActive = false;
  bool IsStarted = false;
  bool IsFinishing = false;
  bool HasRecentData = false;
  Instant OpenedAt;
  Instant LastReceived;
  Instant LastWritten;
  Instant BusySince;
  /// Heartbeat periods that have expired since the later of both.
  int SilentPeriods = 0;
  std::int64_t HeartbeatSequence = 0;
};

} // namespace hickoryglade::fleet
