#pragma once

#include <optional>

namespace hickoryglade {

/// What an endpoint says about itself in a response.
struct EndpointNotice {
  /// Requests per second that it takes from all nodes together; nothing if it
  /// names no limit.
  std::optional<double> Limit;
  /// True if the response does not tell whether there is a limit.
  bool IsLimitUnknown = false;
  /// True if the endpoint is about to stop and takes no new requests.
  bool IsLeaving = false;

  bool operator==(const EndpointNotice &) const = default;
};

} // namespace hickoryglade
