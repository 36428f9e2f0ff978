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

/// Returns the operator's document. Versions differ in a route that nobody
/// uses.
nlohmann::json operatorDocument(int version);

/// Service of the node with this index; two of three run the first one.
std::string serviceOf(int node);

} // namespace hickoryglade::soak
