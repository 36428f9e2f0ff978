#pragma once

#include "libhickoryglade/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade::soak {

/// Returns a number from 0 to 1 that depends on the arguments only.
double drawOf(std::uint64_t seed, const std::string &of);

/// Times in which a server breaks off most of its requests.
struct FaultPhases {
  std::uint64_t Seed = 0;
  /// Start of the first period on the wall clock.
  std::int64_t EpochMs = 0;
  std::int64_t PeriodMs = 9'000;
  double Share = 0.3;
  double Odds = 0.85;

  auto operator<=>(const FaultPhases &) const = default;
};

/// What a server does with one request.
struct WorkPlan {
  Millis Work{0};
  /// Calls that the server makes through its own node.
  int Calls = 0;
  /// When the server breaks off; none if it completes.
  std::optional<Millis> BreakAfter;

  auto operator<=>(const WorkPlan &) const = default;
};

bool isFaulty(const FaultPhases &phases, const std::string &server,
              std::int64_t atMs);

/// Reads the members `work` (milliseconds) and `calls` of a target's query.
WorkPlan planOf(const FaultPhases &phases, const std::string &server,
                const std::string &id, const std::string &target,
                std::int64_t atMs);

} // namespace hickoryglade::soak
