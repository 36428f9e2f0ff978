#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/http/bodybudget.h"
#include "libfleet/http/callscope.h"
#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <absl/status/status.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Handles one request. The scope is cancelled if the caller disconnects.
using HttpHandler = std::function<asio::awaitable<HttpResponse>(
    HttpRequest, std::shared_ptr<CallScope>)>;

/// Builds the error response to a request that could not be read.
using HttpFaultHandler = std::function<HttpResponse(int status)>;

/// Limits on requests and connections; may change while the server runs.
struct HttpLimits {
  std::atomic<std::uint32_t> HeaderBytes = 32 * 1024;
  std::atomic<std::uint64_t> BodyBytes = 64 * 1024 * 1024;
  std::atomic<std::int64_t> HeaderTimeoutMs = 10'000;
  std::atomic<std::int64_t> IdleTimeoutMs = 60'000;
};

struct ServerState;

/// HTTP/1.1 server that distributes its connections over workers in turn. Each
/// worker's executor must be run by one thread. Bodies of requests are read
/// within a budget: long ones wait, unread, for room in it.
class HttpServer {
public:
  struct Worker {
    asio::any_io_executor Executor;
    HttpHandler Handler;
    /// Cancels the handler's scope if the caller disconnects before the
    /// response.
    bool WatchesCaller = true;
  };

  HttpServer(asio::any_io_executor ex, std::string address,
             std::vector<Worker> workers, HttpFaultHandler onFault,
             BodyBudgetPtr budget);

  HttpLimits &limits() { return *Limits; }

  /// Binds the address; fails if it is not available.
  absl::Status listen();

  /// Starts to accept connections.
  void start();

  /// Closes open connections after their next response. New connections are
  /// accepted for one request each.
  void beginDrain();

  /// Accepts the connections that are pending and no more. Closes idle
  /// connections at once and the others after their response.
  void stop();

  /// True while a request is being read, served or answered, or a connection is
  /// so new that its first request may be in flight.
  bool isBusy() const;

private:
  void accept();

  asio::any_io_executor Executor;
  std::string Address;
  tcp::acceptor Acceptor;
  std::vector<Worker> Workers;
  HttpFaultHandler OnFault;
  BodyBudgetPtr Budget;
  void serveNext(Worker &worker, tcp::socket socket);

  /// State shared with the connections.
  std::shared_ptr<ServerState> State;
  Instant AcceptedAt;
  std::shared_ptr<HttpLimits> Limits = std::make_shared<HttpLimits>();
  std::size_t NextWorker = 0;
};

} // namespace hickoryglade::fleet
