#pragma once

#include "libfleet/http/httpdialect.h"
#include "libfleet/node/fleetview.h"
#include "libhickoryglade/errorkind.h"

#include <optional>

namespace hickoryglade::fleet {

/// Finds the workspace of a caller by its key, and replaces the key in the
/// request by the workspace's name. Sets the route's workspace and priority to
/// those that hold for the request. Returns an error if the key is missing,
/// unknown or cannot be confirmed. Does nothing unless settings name workspaces
/// or require keys.
std::optional<Error> identifyCaller(const FleetView &view,
                                    const HttpDialect &dialect, Instant now,
                                    HttpRequest &request, Route &route);

} // namespace hickoryglade::fleet
