#include "libhickoryglade/costmodel.h"

#include <algorithm>
#include <bit>

namespace hickoryglade {

namespace {

/// Weight of a new observation in the moving average.
constexpr double Weight = 0.1;

/// Sizes within a factor of four share a class.
constexpr int SizeClassBits = 2;

std::string keyOf(const CostClass &cls) {
  int sizeClass = int(std::bit_width(cls.BodyBytes)) / SizeClassBits;
  return cls.Route + ' ' + cls.Method + ' ' + std::to_string(sizeClass);
}

} // namespace

void MeanCost::add(Micros expected) {
  // The latest hundred requests make up most of the average.
  constexpr double latestWeight = 0.02;
  Mean += (double(expected.count()) - Mean) * latestWeight;
}

bool MeanCost::isMuchAbove(Micros expected) const {
  constexpr double shortShare = 0.5;
  return double(expected.count()) < Mean * shortShare;
}

CostModel::CostModel(std::size_t maxClasses) : MaxClasses(maxClasses) {}

CostEstimate CostModel::estimate(const CostClass &cls, Micros longAfter) const {
  auto it = Classes.find(keyOf(cls));
  if (it == Classes.end())
    return {};
  Micros expected{static_cast<Micros::rep>(it->second.Micros)};
  return {expected, expected > longAfter};
}

void CostModel::observe(const CostClass &cls, Micros runTime) {
  std::string key = keyOf(cls);
  auto it = Classes.find(key);
  if (it == Classes.end()) {
    if (Classes.size() >= MaxClasses)
      evict();
    Classes[key] = {double(runTime.count()), ++Uses};
    return;
  }
  Average &average = it->second;
  average.Micros += Weight * (double(runTime.count()) - average.Micros);
  average.LastUse = ++Uses;
}

void CostModel::evict() {
  auto oldest = std::ranges::min_element(
      Classes, {}, [](const auto &it) { return it.second.LastUse; });
  Classes.erase(oldest);
}

} // namespace hickoryglade
