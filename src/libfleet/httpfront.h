#pragma once

#include "libfleet/asio.h"
#include "libfleet/callscope.h"
#include "libfleet/httpmessage.h"

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Answers one request. The scope tells when the caller has gone.
using HttpHandler = std::function<asio::awaitable<HttpAnswer>(
    HttpRequest, std::shared_ptr<CallScope>)>;

/// Builds the answer to bytes that are not an acceptable request.
using HttpFaultHandler = std::function<HttpAnswer(int status)>;

/// Accepts HTTP/1.1 connections and shares them out between executors. Each
/// executor must be run by one thread.
class HttpFront {
public:
  struct Lane {
    asio::any_io_executor Executor;
    HttpHandler Handler;
  };

  HttpFront(asio::any_io_executor ex, std::string address,
            std::vector<Lane> lanes, HttpFaultHandler onFault);

  /// Takes the address; fails if it cannot be had.
  absl::Status listen();

  /// Begins to accept connections.
  void start();

  /// Takes no more connections; open ones close after their answer.
  void stop();

private:
  void accept();

  asio::any_io_executor Executor;
  std::string Address;
  tcp::acceptor Acceptor;
  std::vector<Lane> Lanes;
  HttpFaultHandler OnFault;
  std::shared_ptr<std::atomic<bool>> IsStopping;
  std::size_t NextLane = 0;
};

} // namespace hickoryglade::fleet
