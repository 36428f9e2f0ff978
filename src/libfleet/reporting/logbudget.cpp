#include "libfleet/reporting/logbudget.h"

#include <utility>

namespace hickoryglade::fleet {

namespace {

/// Limits for the lines of one event. At its usual peak of 400 requests/s, a
/// node writes every failure and half of the other lines.
constexpr int MaxLinesPerSecond = 200;
constexpr int MaxFailureLinesPerSecond = 400;

} // namespace

bool LogBudget::tryAcquire(const std::string &event, bool isFailure,
                           std::int64_t second) {
  Count &count = ByEvent[event];
  if (count.Second != second) {
    count.Second = second;
    count.Written = 0;
  }
  if (count.Written >=
      (isFailure ? MaxFailureLinesPerSecond : MaxLinesPerSecond)) {
    ++count.Unreported;
    return false;
  }
  ++count.Written;
  return true;
}

std::vector<LogBudget::Dropped> LogBudget::takeDropped(std::int64_t second) {
  std::vector<Dropped> all;
  for (auto &[event, count] : ByEvent)
    if (count.Unreported > 0 && count.Second < second)
      all.push_back({event, std::exchange(count.Unreported, 0)});
  return all;
}

} // namespace hickoryglade::fleet
