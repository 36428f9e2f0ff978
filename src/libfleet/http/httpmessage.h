#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryglade::fleet {

struct HttpHeader {
  std::string Name;
  std::string Value;

  bool operator==(const HttpHeader &) const = default;
};

/// Bodies are shared, not copied, between the components of a node.
using Body = std::shared_ptr<const std::string>;

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HttpHeader> Headers;
  Body Content = std::make_shared<const std::string>();
};

struct HttpResponse {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  Body Content = std::make_shared<const std::string>();
};

/// True for the status of an interim response. Nodes never ask to switch
/// protocols, so that 101 is not valid in a response to them.
bool isInterimStatus(int status);

/// True for a status that a final response may have (RFC 9110, 15).
bool isFinalStatus(int status);

/// True for the name and value of a header that can be sent as they are
/// (RFC 9110, 5.5 and 5.6.2).
bool isValidHeader(std::string_view name, std::string_view value);

/// Value of the first header with this name, compared without regard to case;
/// empty if there is none.
std::string headerValue(const std::vector<HttpHeader> &headers,
                        std::string_view name);

/// True for headers that apply to one connection only (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view name);

} // namespace hickoryglade::fleet
