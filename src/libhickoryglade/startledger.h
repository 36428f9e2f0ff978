#pragma once

#include "libhickoryglade/instant.h"

#include <map>
#include <string>
#include <unordered_map>

namespace hickoryglade {

/// What a gate knows about an attempt.
enum class StartState { Unseen, Waiting, Started, Finished, Fenced };

/// A gate's first-hand record of what it has started, kept until no late
/// copy of an attempt can be taken for a fresh one.
class StartLedger {
public:
  StartState stateOf(const std::string &attempt) const;

  /// Notes that an attempt waits for a slot.
  void noteWaiting(const std::string &attempt, Instant forgetAt);

  /// Returns false, and changes nothing, if the attempt must not start.
  bool tryStart(const std::string &attempt, Instant forgetAt);

  void noteFinished(const std::string &attempt);

  /// Fences an attempt that has not started; returns the state thereafter.
  StartState revoke(const std::string &attempt, Instant forgetAt);

  /// Drops entries whose time is over.
  void forget(Instant now);

  std::size_t size() const { return Records.size(); }

private:
  struct Record {
    StartState State = StartState::Unseen;
    Instant ForgetAt;
  };

  void put(const std::string &attempt, StartState state, Instant forgetAt);

  std::unordered_map<std::string, Record> Records;
  std::multimap<Instant, std::string> ByForgetAt;
};

} // namespace hickoryglade
