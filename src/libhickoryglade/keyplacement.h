#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/leaseledger.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Copies of each key's record: at the keeper and at the next in rank.
constexpr std::size_t KeyCopies = 2;

/// Keepers of a key, best first, by rendezvous hashing on node names: when a
/// keeper goes, the next in rank, which holds the copy, takes its place.
std::vector<LeaseHolder> rankKeepers(const std::vector<LeaseHolder> &roster,
                                     const std::string &key);

/// Rosters that were in force, to tell where records of a key may lie.
class KeyPlacement {
public:
  /// Notes a changed roster. Keepers in handedOn have given their records to
  /// their successors before they left.
  void note(std::vector<LeaseHolder> roster,
            const std::vector<LeaseHolder> &handedOn, Instant now);

  const std::vector<LeaseHolder> &current() const;

  /// Processes to ask, besides those asked already, before a key that was
  /// used within its lifetime would surely be known: one of its places in
  /// each roster of that time. Nothing if a roster's places are all lost.
  std::optional<std::vector<LeaseHolder>>
  witnesses(const std::string &key, const std::vector<LeaseHolder> &asked,
            Micros lifetime, Instant now) const;

  /// Forgets rosters that ended longer ago than the longest lifetime.
  void forget(Micros longestLifetime, Instant now);

private:
  struct Epoch {
    std::vector<LeaseHolder> Roster;
    /// When the next roster replaced this one.
    Instant End;
  };

  std::deque<Epoch> Past;
  std::vector<LeaseHolder> Roster;
  std::vector<LeaseHolder> HandedOn;
};

} // namespace hickoryglade
