#pragma once

#include "libhickoryglade/instant.h"

#include <cstddef>

namespace hickoryglade {

/// What a node knows of how current its settings are.
struct SettingsFreshness {
  /// A time at which no version was newer than the one in force.
  Instant AsOf;

  bool operator==(const SettingsFreshness &) const = default;
};

/// How the members of a fleet share the reading of a settings source.
struct ReadingPolicy {
  /// Number of members that read all the time; 0 if every member does.
  std::size_t Readers = 0;
  /// Age of its knowledge at which any member reads the source itself.
  Micros MaxAge{0};

  bool operator==(const ReadingPolicy &) const = default;
};

/// Place of a node in the order in which the members of a fleet read.
struct ReadingPlace {
  std::size_t Rank = 0;
  std::size_t Members = 1;

  bool operator==(const ReadingPlace &) const = default;
};

/// Notes that no version was newer at a time. Knowledge never gets older.
void noteCurrent(SettingsFreshness &freshness, Instant asOf);

/// Longest time that a poll may wait at the source for a change.
Micros longestPollWait(const ReadingPolicy &policy);

/// Time at which a member reads the source itself, unless it learns before that
/// its settings are current.
Instant readDue(const SettingsFreshness &freshness, const ReadingPolicy &policy,
                const ReadingPlace &place);

} // namespace hickoryglade
