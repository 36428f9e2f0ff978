#pragma once

#include "libhickoryglade/servicepolicy.h"
#include "libhickoryglade/settingstree.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
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
  /// Takes over the routes of an earlier table whose settings have not changed.
  explicit RouteTable(const SettingsTree &tree,
                      const RouteTable *previous = nullptr);

  /// Returns nullptr if no route matches. The host may include a port.
  const Route *find(std::string_view host, std::string_view target) const;

  std::size_t size() const;

private:
  struct Entry {
    std::shared_ptr<const Route> Value;
    /// Tells whether the settings from which the route follows have changed.
    std::uint64_t Stamp = 0;
  };

  std::unordered_map<std::string_view, const Entry *> byPath() const;

  std::map<std::string, std::vector<Entry>, std::less<>> ByHost;
};

/// Returns "workspace/service".
std::string qualifiedService(std::string_view workspace,
                             std::string_view service);

} // namespace hickoryglade
