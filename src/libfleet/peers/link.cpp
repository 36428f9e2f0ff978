#include "libfleet/peers/link.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/framecodec.h"
#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

constexpr Micros HeartbeatPeriod = std::chrono::milliseconds(150);

/// Time without frames after which a busy link is closed: covers two lost
/// heartbeats and the time for which a VM with a processor quota may be paused.
constexpr Micros SilenceLimit = std::chrono::milliseconds(400);

/// Heartbeat periods that expire within SilenceLimit unless this process itself
/// was paused. After a pause, the timer expires before the frames are read that
/// have arrived meanwhile.
constexpr int MinSilentPeriods = SilenceLimit / HeartbeatPeriod + 1;

/// A peer has read what was written earlier than this. Bounds the wait for
/// peers that are gone.
constexpr Micros ReadTime = std::chrono::seconds(2);

constexpr std::size_t ChunkBytes = 64 * 1024;
constexpr std::size_t MaxWriteBytes = 256 * 1024;

/// Bounds memory: the link to a peer that does not read is closed.
constexpr std::size_t MaxQueuedFrames = 100'000;

TrafficCause causeOf(const wire::Frame &frame) {
  const auto &has = frame.__isset;
  if (has.call)
    return TrafficCause::Requests;
  if (has.answer)
    return TrafficCause::Answers;
  if (has.ticket || has.grant || has.cancel || has.quotaRequest ||
      has.quotaReply)
    return TrafficCause::Tickets;
  if (has.failure)
    return TrafficCause::Refusals;
  if (has.revoke || has.revoked)
    return TrafficCause::Questions;
  if (has.snapshot || has.snapshotRequest || has.snapshotHead)
    return TrafficCause::Settings;
  if (has.keyRequest || has.keyReply)
    return TrafficCause::Keys;
  return TrafficCause::Links;
}

} // namespace

Link::Link(tcp::socket socket, wire::Hello own, TrafficCounters &traffic,
           TrafficCause bodies, Events events)
    : Socket(std::move(socket)), Timer(Socket.get_executor()),
      Own(std::move(own)), Traffic(traffic), BodyCause(bodies),
      Handlers(std::move(events)), OpenedAt(now()), LastReceived(OpenedAt) {}

void Link::start() {
  error_code ec;
  Socket.set_option(tcp::no_delay(true), ec);
  wire::Frame hello;
  hello.__set_hello(Own);
  send(std::move(hello));
  IsStarted = true;
  readPrefix();
  sendHeartbeat();
}

/// A peer counts as far until its hello frame names its data centre.
bool Link::isFar() const { return !Peer || Peer->dataCentre != Own.dataCentre; }

void Link::close(std::string_view reason) {
  if (!Open)
    return;
  Open = false;
  error_code ec;
  Socket.close(ec);
  Timer.cancel();
  logEvent(Busy ? LogLevel::Warn : LogLevel::Debug, "link_closed",
           {{"peer", Peer ? Peer->node : ""},
            {"reason", reason},
            {"busy", Busy},
            {"silent_ms", toMillis(now() - LastReceived).count()}});
  if (Handlers.OnClose)
    Handlers.OnClose(shared_from_this());
}

// A process that ends with unread bytes on a connection resets it, and the peer
// may lose what was sent before.
void Link::finish(bool isComplete) {
  HasRecentData = hasUnsent() || now() - LastWritten < ReadTime;
  // Bodies are sent after all other frames.
  if (isComplete && Bodies.empty()) {
    wire::Frame frame;
    frame.__set_goodbye({});
    send(std::move(frame));
  }
  IsFinishing = true;
  if (!IsWriting)
    writeNext();
}

std::string Link::peerName() const { return Peer ? Peer->node : ""; }

std::int64_t Link::ageMs() const { return toMillis(now() - OpenedAt).count(); }

void Link::setBusy(bool isBusy) {
  if (isBusy == Busy)
    return;
  Busy = isBusy;
  BusySince = now();
  SilentPeriods = 0;
  if (IsStarted && !IsHeartbeatActive)
    sendHeartbeat();
}

void Link::send(wire::Frame frame) {
  if (!Open || IsFinishing)
    return;
  if (Urgent.size() >= MaxQueuedFrames)
    return close("send queue full: the peer does not read");
  Urgent.push_back(encodeFrame(frame));
  Traffic.add(causeOf(frame), isFar(), Urgent.back().size());
  if (!IsWriting)
    writeNext();
}

void Link::sendBody(std::int64_t stream, Body body, BodyKind kind) {
  if (!Open || IsFinishing || body->empty())
    return;
  Bodies.push_back({stream, std::move(body), kind, 0});
  if (!IsWriting)
    writeNext();
}

void Link::dropBody(std::int64_t stream) {
  std::erase_if(Bodies,
                [&](const Outgoing &it) { return it.Stream == stream; });
}

/// Takes urgent frames first, then one chunk of the next body in turn.
bool Link::fillWriteBuffer() {
  Writing.clear();
  while (!Urgent.empty() && Writing.size() < MaxWriteBytes) {
    Writing += Urgent.front();
    Urgent.pop_front();
  }
  if (Writing.size() >= MaxWriteBytes || Bodies.empty())
    return !Writing.empty();
  Outgoing it = std::move(Bodies.front());
  Bodies.pop_front();
  std::size_t n = std::min(ChunkBytes, it.Content->size() - it.Sent);
  wire::Frame frame;
  frame.stream = it.Stream;
  frame.data.bytes = it.Content->substr(it.Sent, n);
  frame.__isset.data = true;
  std::string bytes = encodeFrame(frame);
  Traffic.add(it.Kind == BodyKind::Settings ? TrafficCause::Settings
                                            : BodyCause,
              isFar(), bytes.size());
  Writing += bytes;
  it.Sent += n;
  if (it.Sent < it.Content->size())
    Bodies.push_back(std::move(it));
  return true;
}

void Link::writeNext() {
  if (!Open || !fillWriteBuffer()) {
    IsWriting = false;
    error_code ec;
    if (Open && IsFinishing)
      Socket.shutdown(tcp::socket::shutdown_send, ec);
    return;
  }
  IsWriting = true;
  asio::async_write(
      Socket, asio::buffer(Writing),
      [self = shared_from_this()](const error_code &ec, std::size_t) {
        if (ec)
          return self->close("write failed");
        self->LastWritten = now();
        self->writeNext();
      });
}

void Link::readPrefix() {
  asio::async_read(
      Socket, asio::buffer(Prefix),
      [self = shared_from_this()](const error_code &ec, std::size_t) {
        if (ec)
          return self->close("read failed");
        std::size_t length = prefixedLength(
            std::string_view(self->Prefix.data(), self->Prefix.size()));
        if (length == 0 || length > MaxFrameBytes)
          return self->close("frame length out of range");
        self->readContent(length);
      });
}

void Link::readContent(std::size_t length) {
  Content.resize(length);
  readRest(0);
}

/// A link on which a long frame arrives is not silent.
void Link::readRest(std::size_t begin) {
  Socket.async_read_some(
      asio::buffer(Content) + begin,
      [self = shared_from_this(), begin](const error_code &ec, std::size_t n) {
        if (ec)
          return self->close("read failed");
        self->noteReceived();
        if (begin + n < self->Content.size())
          return self->readRest(begin + n);
        std::optional<wire::Frame> frame = decodeFrame(self->Content);
        if (!frame)
          return self->close("malformed frame");
        self->takeFrame(std::move(*frame));
        if (self->Open)
          self->readPrefix();
      });
}

void Link::noteReceived() {
  LastReceived = now();
  SilentPeriods = 0;
}

void Link::takeFrame(wire::Frame frame) {
  if (frame.__isset.hello) {
    Peer = frame.hello;
  } else if (!Peer) {
    return close("the first frame is not a hello");
  }
  if (frame.__isset.heartbeat) {
    if (frame.heartbeat.reply)
      return;
    wire::Frame reply;
    reply.heartbeat = frame.heartbeat;
    reply.heartbeat.reply = true;
    reply.__isset.heartbeat = true;
    return send(std::move(reply));
  }
  Handlers.OnFrame(shared_from_this(), std::move(frame));
}

bool Link::isSilent() const {
  return now() - std::max(LastReceived, BusySince) > SilenceLimit &&
         SilentPeriods >= MinSilentPeriods;
}

/// Repeats only while streams are in flight. The first heartbeat is sent at
/// once, because an idle link may have been broken for a long time.
void Link::sendHeartbeat() {
  IsHeartbeatActive = Busy;
  if (!Busy || !Open)
    return;
  wire::Frame frame;
  frame.heartbeat.sequence = ++HeartbeatSequence;
  frame.heartbeat.reply = false;
  frame.__isset.heartbeat = true;
  send(std::move(frame));
  Timer.expires_after(HeartbeatPeriod);
  Timer.async_wait([self = shared_from_this()](const error_code &ec) {
    if (ec || !self->Open)
      return;
    ++self->SilentPeriods;
    if (self->Busy && self->isSilent())
      return self->close("silent");
    self->sendHeartbeat();
  });
}

} // namespace hickoryglade::fleet
