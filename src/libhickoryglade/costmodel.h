#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hickoryglade {

/// Class of requests with a similar expected run time.
struct CostClass {
  /// Settings path of the route.
  std::string Route;
  std::string Method;
  std::uint64_t BodyBytes = 0;
};

struct CostEstimate {
  /// Zero if no run time of the class is known.
  Micros Expected{0};
  bool IsLong = false;

  bool operator==(const CostEstimate &) const = default;
};

/// Moving average of the expected run times of a service's requests.
class MeanCost {
public:
  void add(Micros expected);

  /// True if a request that is expected to run this long is much shorter than
  /// the average.
  bool isMuchAbove(Micros expected) const;

private:
  double Mean = 0;
};

/// Moving averages of the run times that an entry has observed over all gates,
/// by route, method and size class. The number of classes is bounded; the least
/// recently used class is evicted first.
class CostModel {
public:
  explicit CostModel(std::size_t maxClasses = 10'000);

  CostEstimate estimate(const CostClass &cls, Micros longAfter) const;
  void observe(const CostClass &cls, Micros runTime);

  std::size_t size() const { return Classes.size(); }

private:
  struct Average {
    double Micros = 0;
    std::uint64_t LastUse = 0;
  };

  void evict();

  std::unordered_map<std::string, Average> Classes;
  std::size_t MaxClasses;
  std::uint64_t Uses = 0;
};

} // namespace hickoryglade
