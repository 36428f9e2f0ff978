#pragma once

#include "libfleet/http/httpdialect.h"
#include "libfleet/node/departurestore.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/peers/nodedirectory.h"
#include "libfleet/settings/settingssource.h"
#include "libhickoryglade/announcement.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace hickoryglade::fleet {

/// Notice that an endpoint has left.
struct Departure {
  std::string Name;
  /// The process that left, and all earlier ones, started until then.
  std::int64_t StartedAtMs = 0;
};

/// A message that cannot be parsed, with the reason.
struct MalformedAnnouncement {
  std::string Reason;
};

/// A message of an endpoint about itself; monostate if the request is not one.
using EndpointMessage = std::variant<std::monostate, Announcement, Departure,
                                     MalformedAnnouncement>;

/// Platform-specific parts of a node. An adapter registers itself under the
/// name that node settings use.
struct PlatformAdapter {
  /// Adapts a node's settings to the platform's requirements.
  NodeSettings (*AdaptSettings)(NodeSettings settings);
  HttpDialect (*Dialect)();
  EndpointMessage (*ParseEndpointMessage)(const HttpRequest &request);
  std::unique_ptr<SettingsSource> (*MakeSettingsSource)(
      asio::any_io_executor ex, const NodeSettings &settings);
  std::unique_ptr<NodeDirectory> (*MakeDirectory)(asio::any_io_executor ex,
                                                  const std::string &address);
  std::unique_ptr<DepartureStore> (*MakeDepartureStore)(
      asio::any_io_executor ex, const std::string &address);
};

} // namespace hickoryglade::fleet
