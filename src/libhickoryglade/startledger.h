#pragma once

#include "libhickoryglade/instant.h"

#include <map>
#include <string>
#include <unordered_map>

namespace hickoryglade {

/// State of an attempt at a gate.
enum class StartState { Unseen, Waiting, Started, Finished, Fenced };

/// Records which attempts a gate has queued, started or fenced. A record is
/// kept until late copies of its attempt can no longer arrive.
class StartLedger {
public:
  StartState stateOf(const std::string &attempt) const;

  /// Notes that an attempt waits for a slot.
  void noteWaiting(const std::string &attempt, Instant expiresAt);

  /// Marks an attempt as started. Returns false and changes nothing if it must
  /// not start.
  bool tryStart(const std::string &attempt, Instant expiresAt);

  void noteFinished(const std::string &attempt);

  /// Fences an attempt that has not started; returns its resulting state.
  StartState revoke(const std::string &attempt, Instant expiresAt);

  /// Removes expired records.
  void removeExpired(Instant now);

  std::size_t size() const { return Records.size(); }

private:
  struct Record {
    StartState State = StartState::Unseen;
    Instant ExpiresAt;
  };

  void put(const std::string &attempt, StartState state, Instant expiresAt);

  std::unordered_map<std::string, Record> Records;
  std::multimap<Instant, std::string> ByExpiry;
};

} // namespace hickoryglade
