#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/standing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hickoryglade {

/// The transient standings (suspect, on trial) of one node's endpoints.
/// Endpoints that are not listed are healthy.
struct StandingReport {
  std::string Node;
  std::int64_t BootId = 0;
  /// Incremented by the node with each report.
  std::int64_t Sequence = 0;
  std::map<std::string, Standing> States;

  bool operator==(const StandingReport &) const = default;
};

/// The latest reports of transient standings that a node has received. These
/// standings change too often to be part of members' records, which are sent to
/// the whole fleet.
struct StandingBoard {
  struct Entry {
    StandingReport Report;
    Instant ReceivedAt;
  };
  std::map<std::string, Entry> Entries;
};

/// A report that is not repeated expires after this time, because the report of
/// a recovery may have been lost. One repeat may be lost before that.
constexpr Micros StandingLifetime = std::chrono::seconds(5);

/// Time between repeats of a report that lists an endpoint.
constexpr Micros StandingRepeatPeriod = std::chrono::seconds(2);

/// True for a standing that is sent in reports instead of members' records.
bool isTransient(Standing state);

/// Stores a report unless a later one of the node is known. Returns true if it
/// changes any standing.
bool applyReport(StandingBoard &board, const StandingReport &report,
                 Instant now);

/// Drops expired reports; returns true if any of them listed endpoints.
bool expireReports(StandingBoard &board, Instant now);

/// The standing of an endpoint of the given process, if it is a transient one.
std::optional<Standing> transientStanding(const StandingBoard &board,
                                          const std::string &node,
                                          std::int64_t bootId,
                                          const std::string &endpoint);

} // namespace hickoryglade
