#pragma once

#include "libhickoryglade/instant.h"

#include <deque>
#include <optional>

namespace hickoryglade {

/// An entry's moving average of the share of a service's results, over all
/// gates, in which the endpoint refused the request without running it.
struct ShedAverage {
  double Share = 0;
  int Results = 0;
  Instant UpdatedAt;

  bool operator==(const ShedAverage &) const = default;
};

void noteResult(ShedAverage &average, bool isShed, Instant now);

/// The share in percent, to be sent with tickets; nothing while too few results
/// are known or the latest is too old.
std::optional<int> shedPercent(const ShedAverage &average, Instant now);

/// The latest values of a service's share that tickets have brought to a gate.
struct ShedReports {
  struct Report {
    Instant At;
    int Percent = 0;
  };

  /// Oldest first; bounded.
  std::deque<Report> Latest;
};

void noteReport(ShedReports &reports, std::optional<int> percent, Instant now);

/// Mean of the recent reports, from 0 to 1; nothing if there is none.
std::optional<double> shedShare(const ShedReports &reports, Instant now);

/// Number of consecutive sheds that makes an endpoint suspect: the shortest run
/// that is rare at an endpoint that sheds this share of its arrivals, and at
/// least shedsForDoubt.
int rareShedRun(std::optional<double> share, int shedsForDoubt);

} // namespace hickoryglade
