#include "libfleet/peers/revokerelay.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/peerlinks.h"
#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

namespace hickoryglade::fleet {

namespace {

/// Builds the frame that forwards a gate's reply, or reports the gate as
/// unreachable.
wire::Frame frameFor(const StreamEvent &event) {
  wire::Frame frame;
  if (const auto *answer = std::get_if<AnswerEvent>(&event.Content)) {
    frame = toFrame(answer->Answer, answer->Endpoint, answer->Load,
                    answer->RunTime);
    if (answer->Notice)
      frame.answer.__set_notice(*answer->Notice);
  } else if (const auto *failure = std::get_if<wire::Failure>(&event.Content)) {
    frame.__set_failure(*failure);
  } else {
    const auto *revoked = std::get_if<RevokedEvent>(&event.Content);
    frame.revoked.state = revoked ? revoked->State : 0;
    frame.revoked.isUnreachable = !revoked || revoked->IsUnreachable;
    frame.__isset.revoked = true;
  }
  return frame;
}

} // namespace

RevokeRelay::RevokeRelay(asio::any_io_executor ex, PeerLinks &links)
    : Executor(std::move(ex)), Links(links) {}

void RevokeRelay::forward(const std::shared_ptr<FrameChannel> &from,
                          const wire::Frame &frame) {
  asio::co_spawn(Executor, forwardQuery(from, frame.stream, frame.revoke),
                 asio::detached);
}

asio::awaitable<void>
RevokeRelay::forwardQuery(std::weak_ptr<FrameChannel> from, std::int64_t stream,
                          wire::Revoke query) {
  std::string attempt = query.attemptId;
  std::string gate = query.askedNode;
  std::optional<StreamEvent> event = co_await queryGate(std::move(query));
  StreamEvent reply = event ? std::move(*event) : StreamEvent{0, LostEvent{}};
  wire::Frame frame = frameFor(reply);
  logEvent(
      LogLevel::Info, "gate_asked_for_peer",
      {{"request", attempt.substr(0, attempt.rfind('/'))},
       {"attempt", attempt},
       {"gate", gate},
       {"reached", !(frame.__isset.revoked && frame.revoked.isUnreachable)}});
  frame.stream = stream;
  auto channel = from.lock();
  if (!channel || !channel->isOpen())
    co_return;
  bool hasBody = frame.__isset.answer;
  channel->send(std::move(frame));
  if (hasBody)
    channel->sendBody(stream,
                      std::get<AnswerEvent>(reply.Content).Answer.Content,
                      BodyKind::Http);
}

/// Returns nullopt if the gate is unreachable or does not reply in time.
asio::awaitable<std::optional<StreamEvent>>
RevokeRelay::queryGate(wire::Revoke query) {
  Instant until = now() + Millis(query.timeoutMs);
  auto gate = View->Nodes.find(query.askedNode);
  if (gate == View->Nodes.end())
    co_return std::nullopt;
  NodeView view = gate->second;
  auto client = co_await Links.connect(query.askedNode, view, until);
  if (!client)
    co_return std::nullopt;
  auto box = std::make_shared<StreamMailbox>(Executor);
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  query.askedNode.clear();
  frame.__set_revoke(query);
  client->channel().send(std::move(frame));
  std::optional<StreamEvent> event = co_await box->next(until);
  client->closeStream(stream);
  co_return event;
}

} // namespace hickoryglade::fleet
