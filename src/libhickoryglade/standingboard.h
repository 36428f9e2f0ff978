#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/standing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hickoryglade {

/// The passing standings (suspect, on trial) of one node's endpoints. Those
/// that are not named are healthy.
struct StandingReport {
  std::string Node;
  std::int64_t BootId = 0;
  /// Raised by the node with each report.
  std::int64_t Sequence = 0;
  std::map<std::string, Standing> States;

  bool operator==(const StandingReport &) const = default;
};

/// What a node has heard of passing standings. They change too often to be
/// part of members' records, which go to the whole fleet.
struct StandingBoard {
  struct Entry {
    StandingReport Report;
    Instant ReceivedAt;
  };
  std::map<std::string, Entry> Entries;
};

/// A report that is not repeated lapses after this time: the news of a recovery
/// may have been lost. One repeat may be lost before.
constexpr Micros StandingLifetime = std::chrono::seconds(5);

/// Between repeats of a report that names an endpoint.
constexpr Micros StandingRepeatPeriod = std::chrono::seconds(2);

/// True for a standing that is told in reports instead of members' records.
bool isTransient(Standing state);

/// Takes a report unless a later one of the node is known. Returns whether
/// anything that it says is new.
bool applyReport(StandingBoard &board, const StandingReport &report,
                 Instant now);

/// Drops lapsed reports; returns whether there were any that named endpoints.
bool expireReports(StandingBoard &board, Instant now);

/// The standing of an endpoint of a given process, if it is a passing one.
std::optional<Standing> transientStanding(const StandingBoard &board,
                                          const std::string &node,
                                          std::int64_t bootId,
                                          const std::string &endpoint);

} // namespace hickoryglade
