#pragma once

#include "world/world.h"

#include <string>
#include <vector>

namespace hickoryglade::world {

/// Kind of request. Its work is uniformly distributed between 50% and 150% of
/// WorkMs.
struct RequestKind {
  std::string Name;
  int Priority = 0;
  int TargetMs = 0;
  int TimeoutMs = 0;
  int WorkMs = 0;
  /// Frequency of the kind relative to the other kinds.
  int Weight = 1;
};

/// Overload test: several kinds of requests compete for the slots of one
/// service while the load peaks above its capacity.
struct Overload {
  std::vector<RequestKind> Kinds;
  /// Offered work relative to capacity, outside and during the peak.
  double Load = 0.6;
  double PeakLoad = 2.0;
  ServicePolicy Policy;
};

/// Results of one kind of request during the peak, as shares of its requests.
struct OverloadFigures {
  std::string Kind;
  int Requests = 0;
  double InTarget = 0;
  double Answered = 0;
  double Refused = 0;
  /// Percentiles of the time from the call to its refusal.
  double RefusalMs50 = 0;
  double RefusalMs99 = 0;
  /// Share of the refusals that carry a Retry-After below the caller's timeout.
  double UsefulRetryAfter = 0;
  /// Requests that ran although their callers got no answer.
  double Wasted = 0;

  bool operator==(const OverloadFigures &) const = default;
};

/// Returns figures in the order of the kinds. Equal seeds give equal figures.
std::vector<OverloadFigures> runOverload(const Overload &overload,
                                         std::uint64_t seed);

/// Three kinds of requests as in an online shop: urgent short ones, common
/// ones of medium priority, and slow ones of low priority.
std::vector<RequestKind> defaultKinds();

} // namespace hickoryglade::world
