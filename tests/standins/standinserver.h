#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickoryglade::standins {

/// A connection on which a stand-in can send arbitrary bytes, also bytes that
/// are not valid HTTP.
class RawConnection {
public:
  virtual ~RawConnection() = default;
  virtual fleet::asio::awaitable<void> write(std::string bytes) = 0;
  virtual void close() = 0;
  /// Returns true once the peer has closed the connection.
  virtual bool isClosedByPeer() = 0;
};

/// Handles one request; returns false to close the connection.
using RawHandler = std::function<fleet::asio::awaitable<bool>(
    fleet::HttpRequest, std::shared_ptr<RawConnection>)>;

/// Serves HTTP/1.1 on one address. Exits the process if it cannot listen.
void serveHttp(fleet::asio::io_context &io, const std::string &address,
               RawHandler handler);

/// Returns the bytes of a complete response.
std::string answerBytes(int status, const std::string &body,
                        const std::string &headers = {});

/// Response to an HTTP call. The status is 0 if the call failed.
struct CallResult {
  int Status = 0;
  std::string Body;
  bool IsConnected = false;
  std::vector<fleet::HttpHeader> Headers;
};
fleet::asio::awaitable<CallResult>
callHttp(std::string address, std::string method, std::string target,
         std::string body, std::vector<fleet::HttpHeader> headers = {},
         Millis limit = Millis(2'000));

fleet::asio::awaitable<void> sleepFor(Millis time);

/// Returns the value of "--name VALUE" on the command line, or the fallback.
std::string optionValue(int argc, char **argv, const std::string &name,
                        const std::string &fallback);

} // namespace hickoryglade::standins
