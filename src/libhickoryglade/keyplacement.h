#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/leaseledger.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Copies of each key's record: at the keeper and at the second in rank.
constexpr std::size_t KeyCopies = 2;

/// Keepers of a key, best first, by rendezvous hashing of node names. When a
/// keeper leaves, the next in rank, which holds the copy, replaces it.
std::vector<LeaseHolder> rankKeepers(const std::vector<LeaseHolder> &roster,
                                     const std::string &key);

/// History of the keeper rosters, to find the nodes that may have the record of
/// a key.
class KeyPlacement {
public:
  /// Sets the current roster. Keepers in handedOn transferred their records to
  /// their successors before they left.
  void note(std::vector<LeaseHolder> roster,
            const std::vector<LeaseHolder> &handedOn, Instant now);

  const std::vector<LeaseHolder> &current() const;

  /// Returns the keepers to query, besides those queried already, to be sure
  /// to find a key that was used within its lifetime: one that held a copy of
  /// its record in each roster of that time. Nothing if all copies of a roster
  /// are lost.
  std::optional<std::vector<LeaseHolder>>
  formerKeepersToQuery(const std::string &key,
                       const std::vector<LeaseHolder> &asked, Micros lifetime,
                       Instant now) const;

  /// Drops rosters that were replaced longer ago than the longest lifetime.
  void forget(Micros longestLifetime, Instant now);

private:
  struct Epoch {
    std::vector<LeaseHolder> Roster;
    /// Time at which the next roster replaced this one.
    Instant End;
  };

  std::deque<Epoch> Past;
  std::vector<LeaseHolder> Roster;
  std::vector<LeaseHolder> HandedOn;
};

} // namespace hickoryglade
