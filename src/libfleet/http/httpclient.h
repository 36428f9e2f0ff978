#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// HTTP client for one server. Keeps its connection open and sends one request
/// at a time.
class HttpClient {
public:
  HttpClient(asio::any_io_executor ex, std::string address);
  ~HttpClient();

  const std::string &address() const { return Address; }

  /// Returns nullopt if the response does not begin within the limit, stops
  /// arriving, or is not complete. The server may have executed the request
  /// nevertheless. The connection is not reused in this case.
  asio::awaitable<std::optional<HttpResponse>> call(std::string method,
                                                    std::string target,
                                                    std::string content,
                                                    Millis limit);

  /// Closes the connection, which the next call opens again. Not to be called
  /// during a call.
  void disconnect();

  /// Called as bytes of a response arrive.
  std::function<void()> OnProgress;

private:
  struct Connection;
  class ResponseParser;

  asio::awaitable<bool> connect();
  asio::awaitable<void> readResponse(Connection &connection,
                                     ResponseParser &parser, Millis limit,
                                     error_code &ec);

  asio::any_io_executor Executor;
  std::string Address;
  std::unique_ptr<Connection> Current;
};

} // namespace hickoryglade::fleet
