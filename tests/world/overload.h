#pragma once

#include "world/world.h"

#include <string>
#include <vector>

namespace hickoryglade::world {

/// A kind of request in an overload; work is spread evenly from half to one and
/// a half times its mean.
struct RequestKind {
  std::string Name;
  int Priority = 0;
  int TargetMs = 0;
  int TimeoutMs = 0;
  int WorkMs = 0;
  /// Parts of all requests.
  int Weight = 1;
};

/// Several kinds of requests compete for the slots of one service, at a load
/// that rises beyond its capacity and falls again.
struct Overload {
  std::vector<RequestKind> Kinds;
  /// Offered work as a share of capacity, outside and inside the overload.
  double Load = 0.6;
  double PeakLoad = 2.0;
  ServicePolicy Policy;
};

/// What callers of one kind got during the overload, as shares of its requests.
struct OverloadFigures {
  std::string Kind;
  int Requests = 0;
  double InTarget = 0;
  double Answered = 0;
  double Refused = 0;
  /// Time after which callers knew that they were refused.
  double RefusalMs50 = 0;
  double RefusalMs99 = 0;
  /// Refusals that name a time to come back, within the caller's own time.
  double UsefulRetryAfter = 0;
  /// Requests that ran and whose callers got no answer.
  double Wasted = 0;

  bool operator==(const OverloadFigures &) const = default;
};

/// Figures by kind, in the order of the kinds; the same for the same seed.
std::vector<OverloadFigures> runOverload(const Overload &overload,
                                         std::uint64_t seed);

/// Three kinds like those of a service that sells: urgent and short, usual,
/// and slow ones that can wait.
std::vector<RequestKind> defaultKinds();

} // namespace hickoryglade::world
