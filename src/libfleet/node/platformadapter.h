#pragma once

#include "libfleet/http/httpdialect.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/peers/nodedirectory.h"
#include "libfleet/settings/settingssource.h"
#include "libhickoryglade/announcement.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace hickoryglade::fleet {

/// An endpoint says that it has left.
struct Departure {
  std::string Name;
};

/// A message that cannot be used, with the reason.
struct MalformedAnnouncement {
  std::string Reason;
};

/// What an endpoint says of itself; nothing if the request is not of that kind.
using EndpointMessage = std::variant<std::monostate, Announcement, Departure,
                                     MalformedAnnouncement>;

/// All that a platform words in its own way. An adapter registers itself under
/// the name that node settings use.
struct PlatformAdapter {
  /// Fits a node's settings to what the platform demands.
  NodeSettings (*AdaptSettings)(NodeSettings settings);
  HttpDialect (*Dialect)();
  EndpointMessage (*ParseEndpointMessage)(const HttpRequest &request);
  std::unique_ptr<SettingsSource> (*MakeSettingsSource)(
      asio::any_io_executor ex, const NodeSettings &settings);
  std::unique_ptr<NodeDirectory> (*MakeDirectory)(asio::any_io_executor ex,
                                                  const std::string &address);
};

} // namespace hickoryglade::fleet
