#include "libhickoryglade/balance/loadestimate.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hickoryglade {

namespace {

/// About the run time of a request, after which a gate's slots are used by
/// other requests than those in its report.
constexpr Micros FadeTime = std::chrono::seconds(1);

/// An entry that receives four requests a second hears of each of some dozen
/// gates about this often, and the mean load of a service changes slowly.
constexpr Micros MeanFadeTime = std::chrono::seconds(5);

/// Least weight, as a share of a gate's slots, of a gate that may have a free
/// slot: the load of one that is never asked would not become known again.
constexpr double LeastFreeShare = 0.05;

double remaining(Micros age, Micros fadeTime) {
  return std::exp(-double(std::max(age, Micros{0}).count()) /
                  double(fadeTime.count()));
}

double reportedBusyShare(const Candidate &it) {
  double busy = it.Slots - it.ReportedFree.value_or(it.Slots);
  return std::clamp(busy / std::max(it.Slots, 1), 0.0, 1.0);
}

} // namespace

double meanBusyShare(std::span<const Candidate> candidates) {
  double busy = 0;
  double total = 0;
  for (const Candidate &it : candidates) {
    if (!it.ReportedFree)
      continue;
    double weight = it.Slots * remaining(it.ReportAge, MeanFadeTime);
    busy += weight * reportedBusyShare(it);
    total += weight;
  }
  return total > 0 ? busy / total : 0;
}

double expectedBusyShare(const Candidate &it, double mean) {
  double own = double(it.Outstanding) / std::max(it.Slots, 1);
  double faded = mean;
  if (it.ReportedFree)
    faded += (reportedBusyShare(it) - mean) * remaining(it.ReportAge, FadeTime);
  return std::clamp(std::max(faded, own), 0.0, 1.0);
}

std::vector<std::size_t> drawByFreeSlots(std::span<const Candidate> candidates,
                                         std::vector<std::size_t> among,
                                         std::size_t n, Random &rng) {
  double mean = meanBusyShare(candidates);
  std::vector<double> weights;
  std::ranges::transform(
      among, std::back_inserter(weights), [&](std::size_t i) {
        const Candidate &it = candidates[i];
        double free = 1 - expectedBusyShare(it, mean);
        return std::max(it.Slots, 1) * std::max(free, LeastFreeShare);
      });
  std::vector<std::size_t> drawn;
  while (drawn.size() < n && !among.empty()) {
    std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                         weights.end());
    auto at = std::ptrdiff_t(distribution(rng));
    drawn.push_back(among[std::size_t(at)]);
    among.erase(among.begin() + at);
    weights.erase(weights.begin() + at);
  }
  return drawn;
}

std::vector<std::size_t> chooseCompared(std::span<const Candidate> candidates,
                                        const std::vector<std::size_t> &among,
                                        const RouteRequest &request,
                                        Random &rng) {
  if (request.CompareGates < 2)
    return {};
  std::vector<std::size_t> usable;
  std::ranges::copy_if(among, std::back_inserter(usable), [&](std::size_t i) {
    const Candidate &it = candidates[i];
    return it.State == Standing::Healthy && !it.IsLimited &&
           knownFreeSlots(it) > 0;
  });
  if (usable.size() < 2)
    return {};
  return drawByFreeSlots(candidates, std::move(usable),
                         std::size_t(request.CompareGates), rng);
}

} // namespace hickoryglade
