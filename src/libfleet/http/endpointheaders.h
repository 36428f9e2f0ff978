#pragma once

#include "libfleet/http/httpdialect.h"
#include "libhickoryglade/endpointnotice.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickoryglade::fleet {

/// Parses a limit: a decimal number of requests per second that is not
/// negative.
std::optional<double> parseLimit(std::string_view text);

/// The headers of one response in which an endpoint describes itself.
struct EndpointHeaders {
  EndpointNotice Notice;
  /// Value of the limit header if it is not a limit.
  std::string BadLimit;

  bool operator==(const EndpointHeaders &) const = default;
};

/// Reads what an endpoint says about itself from the head of its response.
EndpointHeaders readEndpointHeaders(const HttpDialect &dialect, int status,
                                    const std::vector<HttpHeader> &head);

} // namespace hickoryglade::fleet
