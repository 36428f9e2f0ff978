#include "libfleet/peers/linkserver.h"

#include "libfleet/base/listening.h"

#include <algorithm>

namespace hickoryglade::fleet {

LinkServer::LinkServer(asio::any_io_executor ex, std::string address,
                       wire::Hello own, TrafficCounters &traffic,
                       FrameHandler onFrame, CloseHandler onClose)
    : Executor(ex), Address(std::move(address)), Own(std::move(own)),
      Traffic(traffic), OnFrame(std::move(onFrame)),
      OnClose(std::move(onClose)), Acceptor(ex) {}

absl::Status LinkServer::start() {
  absl::Status status = bindAddress(Acceptor, Address);
  if (!status.ok())
    return status;
  error_code ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return absl::UnavailableError("cannot listen on " + Address + ": " +
                                  ec.message());
  accept();
  return absl::OkStatus();
}

bool LinkServer::hasUnsent() const {
  return std::ranges::any_of(Links,
                             [](const auto &it) { return it->hasUnsent(); });
}

bool LinkServer::awaitsPeer() const {
  return std::ranges::any_of(Links,
                             [](const auto &it) { return it->awaitsPeer(); });
}

void LinkServer::finish(bool isComplete) {
  error_code ec;
  Acceptor.close(ec);
  std::set<std::shared_ptr<Link>> open = Links;
  for (const auto &link : open)
    link->finish(isComplete);
}

void LinkServer::accept() {
  Acceptor.async_accept(
      Executor, [this](const error_code &ec, tcp::socket socket) {
        if (!Acceptor.is_open() || ec == asio::error::operation_aborted)
          return;
        if (!ec) {
          Link::Events events;
          events.OnFrame = [this](const std::shared_ptr<Link> &link,
                                  wire::Frame frame) {
            if (!frame.__isset.hello)
              OnFrame(link, std::move(frame));
          };
          events.OnClose = [this](const std::shared_ptr<Link> &link) {
            Links.erase(link);
            OnClose(link);
          };
          auto link =
              std::make_shared<Link>(std::move(socket), Own, Traffic,
                                     TrafficCause::Answers, std::move(events));
          Links.insert(link);
          link->start();
        }
        accept();
      });
}

} // namespace hickoryglade::fleet
