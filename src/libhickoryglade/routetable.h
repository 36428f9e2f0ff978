#pragma once

#include "libhickoryglade/servicepolicy.h"
#include "libhickoryglade/settingstree.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryglade {

/// A service that receives a share of a route's requests.
struct SplitPart {
  /// Qualified service name.
  std::string Service;
  std::int64_t Weight = 0;

  bool operator==(const SplitPart &) const = default;
};

/// Maps requests with a host and path prefix to a service.
struct Route {
  std::string Path;
  std::string Host;
  std::string Prefix;
  /// Workspace to which the requests are accounted.
  std::string Workspace;
  /// Qualified service name: "workspace/service".
  std::string Service;
  ServicePolicy Policy;
  /// Services among which requests are split; empty if all go to Service.
  std::vector<SplitPart> Split;

  bool operator==(const Route &) const = default;
};

/// Routes by host, longest prefix first.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const SettingsTree &tree);

  /// Returns nullptr if no route matches. The host may include a port.
  const Route *find(std::string_view host, std::string_view target) const;

  std::size_t size() const;

private:
  std::map<std::string, std::vector<Route>, std::less<>> ByHost;
};

/// Returns "workspace/service".
std::string qualifiedService(std::string_view workspace,
                             std::string_view service);

} // namespace hickoryglade
