#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// Calls one HTTP server over a kept connection, one call at a time.
class HttpClient {
public:
  HttpClient(asio::any_io_executor ex, std::string address);
  ~HttpClient();

  const std::string &address() const { return Address; }

  /// Gives nothing if no whole answer came within the limit. The call may have
  /// taken effect all the same. The connection is not used again then.
  asio::awaitable<std::optional<HttpResponse>> call(std::string method,
                                                    std::string target,
                                                    std::string content,
                                                    Millis limit);

private:
  struct Connection;

  asio::awaitable<bool> connect();

  asio::any_io_executor Executor;
  std::string Address;
  std::unique_ptr<Connection> Current;
};

} // namespace hickoryglade::fleet
