#include "libhickoryglade/overload/shedcomparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hickoryglade {

namespace {

/// Weight of the latest result. An entry sees about four results a second, so
/// most of the average comes from the last second.
constexpr double LatestResultWeight = 0.2;

/// Results before an entry reports a share. A single result would report 0% or
/// 100%.
constexpr int MinResults = 4;

/// An entry's average without a result for this long is not reported, since the
/// load may have changed.
constexpr Micros MaxAverageAge = std::chrono::seconds(3);

/// A gate receives about six tickets a second, so these reports cover a little
/// more than a second.
constexpr std::size_t MaxReports = 8;
constexpr Micros MaxReportAge = std::chrono::seconds(3);

/// Probability below which a run of sheds is rare.
constexpr double RareProbability = 0.02;

/// Below the lower bound the other endpoints shed next to nothing, so that
/// sheds_for_doubt decides alone. The upper bound limits the run to 38 sheds.
constexpr double MinShare = 0.05;
constexpr double MaxShare = 0.9;

constexpr double Percent = 100;

} // namespace

void noteResult(ShedAverage &average, bool isShed, Instant now) {
  if (now - average.UpdatedAt > MaxAverageAge)
    average = {};
  average.UpdatedAt = now;
  ++average.Results;
  // The first results count alike; otherwise the average would start near 0.
  double weight = std::max(LatestResultWeight, 1.0 / average.Results);
  average.Share += ((isShed ? 1.0 : 0.0) - average.Share) * weight;
}

std::optional<int> shedPercent(const ShedAverage &average, Instant now) {
  bool isKnown =
      average.Results >= MinResults && now - average.UpdatedAt <= MaxAverageAge;
  if (!isKnown)
    return std::nullopt;
  return int(std::lround(average.Share * Percent));
}

void noteReport(ShedReports &reports, std::optional<int> percent, Instant now) {
  if (!percent)
    return;
  reports.Latest.push_back({now, std::clamp(*percent, 0, int(Percent))});
  if (reports.Latest.size() > MaxReports)
    reports.Latest.pop_front();
}

std::optional<double> shedShare(const ShedReports &reports, Instant now) {
  auto recent =
      std::ranges::find_if(reports.Latest, [&](const ShedReports::Report &it) {
        return now - it.At <= MaxReportAge;
      });
  auto n = std::distance(recent, reports.Latest.end());
  if (n == 0)
    return std::nullopt;
  int sum =
      std::accumulate(recent, reports.Latest.end(), 0,
                      [](int all, const auto &it) { return all + it.Percent; });
  return sum / Percent / double(n);
}

int rareShedRun(std::optional<double> share, int shedsForDoubt) {
  if (!share || *share < MinShare)
    return shedsForDoubt;
  double run = std::log(RareProbability) / std::log(std::min(*share, MaxShare));
  return std::max(shedsForDoubt, int(std::ceil(run)));
}

} // namespace hickoryglade
