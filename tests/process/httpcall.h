#pragma once

#include "libfleet/http/httpmessage.h"

#include <chrono>
#include <string>
#include <vector>

namespace hickoryglade::testing {

/// Answer to one HTTP call; status 0 if none came.
struct HttpReply {
  int Status = 0;
  std::vector<fleet::HttpHeader> Headers;
  std::string Body;

  std::string header(std::string_view name) const {
    return fleet::headerValue(Headers, name);
  }
  /// A member of a problem answer; empty if there is none.
  std::string problem(const std::string &key) const;
};

struct HttpCall {
  std::string Method = "GET";
  std::string Target = "/";
  std::vector<fleet::HttpHeader> Headers;
  std::string Body;
};

/// Makes one call on a connection of its own.
HttpReply callOnce(const std::string &address, const HttpCall &call,
                   std::chrono::milliseconds limit);

/// Sends bytes and gives what comes back within a time.
std::string sendRaw(const std::string &address, const std::string &bytes,
                    std::chrono::milliseconds limit);

void sendDatagram(const std::string &address, const std::string &bytes);

} // namespace hickoryglade::testing
