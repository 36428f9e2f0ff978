#pragma once

#include "libfleet/base/asio.h"
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

/// Answers one request. The scope tells when the caller has gone.
using HttpHandler = std::function<asio::awaitable<HttpResponse>(
    HttpRequest, std::shared_ptr<CallScope>)>;

/// Builds the answer to bytes that are not an acceptable request.
using HttpFaultHandler = std::function<HttpResponse(int status)>;

/// What a front allows its callers; may change while it runs.
struct HttpLimits {
  std::atomic<std::uint32_t> HeaderBytes = 32 * 1024;
  std::atomic<std::uint64_t> BodyBytes = 64 * 1024 * 1024;
  std::atomic<std::int64_t> HeaderTimeoutMs = 10'000;
  std::atomic<std::int64_t> IdleTimeoutMs = 60'000;
};

struct ServerState;

/// Accepts HTTP/1.1 connections and shares them out between executors. Each
/// executor must be run by one thread.
class HttpServer {
public:
  struct Worker {
    asio::any_io_executor Executor;
    HttpHandler Handler;
    /// Tells the handler's scope when the caller leaves before its answer.
    bool WatchesCaller = true;
  };

  HttpServer(asio::any_io_executor ex, std::string address,
             std::vector<Worker> workers, HttpFaultHandler onFault);

  HttpLimits &limits() { return *Limits; }

  /// Takes the address; fails if it cannot be had.
  absl::Status listen();

  /// Begins to accept connections.
  void start();

  /// Open connections close after their next answer; new ones are taken for
  /// one request.
  void beginDrain();

  /// Takes the connections that have come and no more; idle ones are closed,
  /// the others after their answer.
  void stop();

  /// True while a request is being read, served or answered, or a connection is
  /// so new that its request may be on the way.
  bool isBusy() const;

private:
  void accept();

  asio::any_io_executor Executor;
  std::string Address;
  tcp::acceptor Acceptor;
  std::vector<Worker> Workers;
  HttpFaultHandler OnFault;
  void serveNext(Worker &worker, tcp::socket socket);

  /// What the front shares with its connections.
  std::shared_ptr<ServerState> State;
  Instant AcceptedAt;
  std::shared_ptr<HttpLimits> Limits = std::make_shared<HttpLimits>();
  std::size_t NextWorker = 0;
};

} // namespace hickoryglade::fleet
