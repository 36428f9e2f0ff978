#include "libfleet/http/httpmessage.h"

#include <absl/strings/ascii.h>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cstdint>

namespace hickoryglade::fleet {

namespace {

constexpr std::array<std::string_view, 9> HopByHop = {
    "connection", "keep-alive",          "proxy-connection",
    "te",         "transfer-encoding",   "upgrade",
    "trailer",    "proxy-authorization", "content-length"};

bool isEqual(std::string_view a, std::string_view b) {
  return boost::beast::iequals(boost::beast::string_view(a.data(), a.size()),
                               boost::beast::string_view(b.data(), b.size()));
}

bool isTokenChar(char c) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(std::uint8_t(c)) || others.find(c) != others.npos;
}

bool isValueChar(char c) {
  return c == '\t' || !absl::ascii_iscntrl(std::uint8_t(c));
}

} // namespace

bool isInterimStatus(int status) {
  constexpr int switchingProtocols = 101;
  return status / 100 == 1 && status != switchingProtocols;
}

bool isFinalStatus(int status) {
  constexpr int leastFinal = 200;
  constexpr int greatest = 599;
  return status >= leastFinal && status <= greatest;
}

bool isValidHeader(std::string_view name, std::string_view value) {
  return !name.empty() && std::ranges::all_of(name, isTokenChar) &&
         std::ranges::all_of(value, isValueChar);
}

std::string headerValue(const std::vector<HttpHeader> &headers,
                        std::string_view name) {
  auto it = std::ranges::find_if(
      headers, [&](const HttpHeader &h) { return isEqual(h.Name, name); });
  return it == headers.end() ? std::string() : it->Value;
}

bool isHopByHop(std::string_view name) {
  return std::ranges::any_of(
      HopByHop, [&](std::string_view it) { return isEqual(it, name); });
}

} // namespace hickoryglade::fleet
