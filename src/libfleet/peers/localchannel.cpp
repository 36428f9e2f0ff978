#include "libfleet/peers/localchannel.h"

namespace hickoryglade::fleet {

LocalChannel::LocalChannel(asio::any_io_executor to, std::string node,
                           Receiver receiver)
    : To(std::move(to)), NodeName(std::move(node)),
      Receive(std::move(receiver)), OpenedAt(now()) {}

void LocalChannel::send(wire::Frame frame) {
  asio::post(To, [receive = Receive.OnFrame, it = std::move(frame)]() mutable {
    receive(std::move(it));
  });
}

void LocalChannel::sendBody(std::int64_t stream, Body body, BodyKind) {
  if (body->empty())
    return;
  asio::post(
      To, [receive = Receive.OnBody, stream, it = std::move(body)]() mutable {
        receive(stream, std::move(it));
      });
}

std::int64_t LocalChannel::ageMs() const {
  return toMillis(now() - OpenedAt).count();
}

} // namespace hickoryglade::fleet
