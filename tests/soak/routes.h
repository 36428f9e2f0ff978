#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hickoryglade::soak {

struct RouteSpec {
  std::string Name;
  bool IsIdempotent = true;
  std::string Service;
  std::int64_t TargetMs = 0;
  std::int64_t TimeoutMs = 0;
  int MaxAttempts = 1;

  std::string prefix() const { return "/" + Name + "/"; }
  auto operator<=>(const RouteSpec &) const = default;
};

inline const RouteSpec Look = {"look", true, "alpha", 1'500, 5'000, 2};
inline const RouteSpec Order = {"order", false, "beta", 1'500, 5'000, 2};
/// Called by the servers of the other service.
inline const RouteSpec Inner = {"inner", true, "beta", 1'000, 4'000, 2};

/// Routes to the service of long runs.
inline const RouteSpec Archive = {"archive", true, "gamma", 6'000, 10'000, 2};
inline const RouteSpec Scan = {"scan", true, "gamma", 6'000, 10'000, 1};
inline const RouteSpec Import = {"import", false, "gamma", 6'000, 10'000, 2};

/// Which services the servers beside the nodes belong to.
struct Layout {
  int Nodes = 0;
  /// The last nodes, beside which servers of the service of long runs are; 0 if
  /// there is no such service.
  int LongGates = 0;

  bool isLongGate(int node) const { return node >= Nodes - LongGates; }
  auto operator<=>(const Layout &) const = default;
};

/// Returns the operator's document. Versions differ in a route that nobody
/// uses.
nlohmann::json operatorDocument(int version, const Layout &layout);

/// Service of the node with this index; two of three of the others run the
/// first one.
std::string serviceOf(int node, const Layout &layout);

} // namespace hickoryglade::soak
