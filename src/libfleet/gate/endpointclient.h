#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/gate/idletimes.h"
#include "libfleet/http/bodybudget.h"
#include "libfleet/http/endpointheaders.h"
#include "libhickoryglade/gate.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// How an exchange with an endpoint ended.
struct EndpointResult {
  AttemptOutcome Outcome = AttemptOutcome::Failed;
  /// Set for a complete response.
  std::optional<HttpResponse> Answer;
  /// Set otherwise.
  Error Failure;
  Micros RunTime{0};
  /// What the endpoint says about itself, if the response is its own.
  std::optional<EndpointHeaders> Headers = std::nullopt;
  /// When the head of the response arrived.
  Instant HeadAt = {};
};

/// Lets the owner of an exchange cancel it.
struct ExchangeHandle {
  std::function<void()> Cancel;
  bool IsCancelled = false;
};

/// A request to be sent to an endpoint.
struct EndpointCall {
  std::string Address;
  HttpRequest Request;
  bool IsIdempotent = false;
  Instant Deadline;
};

/// HTTP/1.1 client for endpoints with a pool of connections, each of which
/// carries one exchange at a time. Used from one thread only.
///
/// Bodies of responses are read within a budget. If it is used up, they wait
/// unread, and if that does not help, the response that holds most is broken
/// off, so that the others can be completed.
class EndpointClient {
public:
  /// `reusesLonger`: requests that may run only once also use connections that
  /// have been idle for some seconds, if the endpoint is known to keep them.
  EndpointClient(asio::any_io_executor ex, const HttpDialect &dialect,
                 BodyBudgetPtr budget, bool reusesLonger = false);
  ~EndpointClient();

  asio::awaitable<EndpointResult>
  exchange(EndpointCall call, std::shared_ptr<ExchangeHandle> handle);

  void setReusesLonger(bool reusesLonger) { ReusesLonger = reusesLonger; }

  /// Closes idle connections to an endpoint that may no longer work.
  void closeIdle(const std::string &address);

private:
  struct Connection;
  struct RequestWrite;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Incoming;

  /// Idle connections to an endpoint, and what is known of how it keeps them.
  struct Pool {
    std::list<ConnectionPtr> Idle;
    IdleTimes Times;
  };

  ConnectionPtr takeIdle(const EndpointCall &call);
  void putIdle(const std::string &address, ConnectionPtr connection);
  void noteLoss(const std::string &address);
  asio::awaitable<ConnectionPtr>
  connect(std::string address, Instant deadline,
          std::shared_ptr<ExchangeHandle> handle);
  asio::awaitable<EndpointResult>
  readResponse(ConnectionPtr connection, const EndpointCall &call,
               std::shared_ptr<const RequestWrite> write);
  static asio::awaitable<void>
  writeRequest(ConnectionPtr connection, HttpRequest request,
               std::string address, std::shared_ptr<RequestWrite> write);
  asio::awaitable<EndpointResult>
  classifyReadError(std::string address, error_code ec, ErrorKind kind);
  EndpointResult classifyResponse(HttpResponse response) const;
  asio::awaitable<error_code> readBody(Incoming &incoming, bool isHead);
  bool mayGetRoom() const;
  asio::awaitable<bool> makeRoom(Incoming &incoming, std::size_t bytes);
  asio::awaitable<bool> isListening(std::string address, bool isKept);
  asio::awaitable<EndpointResult>
  classifyLoss(std::string address, ErrorKind kind, std::string detail);

  asio::any_io_executor Executor;
  const HttpDialect &Dialect;
  BodyBudgetPtr Budget;
  bool ReusesLonger;
  std::map<std::string, Pool> Pools;
  /// Responses whose body is being read.
  std::vector<Incoming *> Reading;
};

} // namespace hickoryglade::fleet
