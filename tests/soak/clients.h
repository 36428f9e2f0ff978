#pragma once

#include "soak/judge.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hickoryglade::soak {

struct ClientPlan {
  std::uint64_t Seed = 0;
  /// Requests to one node in a second.
  double Rate = 2.5;
  /// The same to the service of long runs.
  double LongRate = 0;
  /// Share of these whose work no stop can wait for.
  double OutlastOdds = 0.15;
  int Seconds = 45;

  auto operator<=>(const ClientPlan &) const = default;
};

struct ClientTarget {
  std::string Node;
  std::string Address;

  auto operator<=>(const ClientTarget &) const = default;
};

/// Sends requests to all nodes, each in turn on a fresh connection or on one
/// that is used until the node closes it. Returns what the clients saw once the
/// last request has ended.
std::vector<Request> runClients(const ClientPlan &plan,
                                const std::vector<ClientTarget> &targets);

} // namespace hickoryglade::soak
