#pragma once

#include "libfleet/node/departurestore.h"
#include "libhickoryglade/instant.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickoryglade::fleet {

class Metrics;

/// Records the departures of this node's endpoints in the platform's store
/// before they are acknowledged, so that they hold for later processes of this
/// node even if all processes of the fleet end. Runs on one thread.
class DepartureLog {
public:
  /// Called once, with the departures that earlier processes have recorded.
  using RestoredHandler = std::function<void(std::vector<DepartedRecord>)>;

  DepartureLog(asio::any_io_executor ex, std::string node,
               std::unique_ptr<DepartureStore> store, Metrics &metrics,
               RestoredHandler onRestored);

  void start();

  /// Waits until the departures that earlier processes have recorded are known;
  /// returns false if they are not at `until`.
  asio::awaitable<bool> awaitRestored(Instant until);

  /// Records a departure. Returns false if the store has not confirmed it at
  /// `until`; it is still being recorded then.
  asio::awaitable<bool> record(DepartedRecord departed, Instant until);

  /// Records the departures again that an older copy of the store may lack.
  void noteIncarnation(std::int64_t incarnation);

private:
  struct Entry {
    StoredDeparture Stored;
    Instant RecordedAt;
    bool IsStored = false;
    /// Incarnation of the store that holds the record.
    std::int64_t Incarnation = 0;
  };
  /// Name and start of an endpoint's process.
  using Key = std::pair<std::string, std::int64_t>;

  asio::awaitable<void> run();
  asio::awaitable<bool> restore();
  void take(const DepartureList &list);
  asio::awaitable<bool> storePending();
  asio::awaitable<bool> removeExpired();
  Instant nextDue() const;
  bool isRecorded(const DepartedRecord &departed) const;
  Millis callLimit() const;
  void notifyWaiters();
  asio::awaitable<void> awaitChange(Instant until);

  asio::any_io_executor Executor;
  std::string Node;
  std::unique_ptr<DepartureStore> Store;
  Metrics &Counters;
  RestoredHandler OnRestored;
  /// Wakes run().
  asio::steady_timer Wakeup;
  /// Timers of calls that wait for a change.
  std::set<asio::steady_timer *> Waiting;
  std::map<Key, Entry> Entries;
  /// Records that are to be removed from the store.
  std::vector<StoredDeparture> Expired;
  bool IsRestored = false;
  /// The latest incarnation of the store that is known.
  std::int64_t KnownIncarnation = 0;
  /// Consecutive calls of the store that have failed.
  int Failures = 0;
};

} // namespace hickoryglade::fleet
