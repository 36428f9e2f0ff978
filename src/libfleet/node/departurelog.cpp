#include "libfleet/node/departurelog.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/gate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace hickoryglade::fleet {

namespace {

/// Time limit of the first try of a call, which doubles with each failure. A
/// store that is slow is reached in the end, and one lost answer does not use
/// up the time in which an endpoint waits for its acknowledgement.
constexpr Millis FirstCallLimit{350};
constexpr Millis MaxCallLimit{2'800};

constexpr Millis FirstRetryPause{50};
constexpr Millis MaxRetryPause{1'000};

constexpr int MaxDoublings = 10;

/// Age at which a node removes the records of other nodes, which may be gone
/// for good. It exceeds the retention by more than clocks differ.
constexpr Millis AbandonedAfter = std::chrono::minutes(10);

/// Bounds the records that one call adds or removes.
constexpr std::size_t MaxBatch = 100;

/// Bounds the departures that are recorded at a time.
constexpr std::size_t MaxEntries = 1'000;

Millis doubled(Millis first, int times, Millis most) {
  return std::min(first * (1 << std::min(times, MaxDoublings)), most);
}

std::int64_t wallMillis() { return wallMicros() / 1'000; }

/// Negative if the clock has been set back.
Millis ageOf(const StoredDeparture &stored) {
  return Millis(wallMillis() - stored.RecordedAtMs);
}

} // namespace

DepartureLog::DepartureLog(asio::any_io_executor ex, std::string node,
                           std::unique_ptr<DepartureStore> store,
                           Metrics &metrics, RestoredHandler onRestored)
    : Executor(ex), Node(std::move(node)), Store(std::move(store)),
      Counters(metrics), OnRestored(std::move(onRestored)), Wakeup(ex) {}

void DepartureLog::start() { asio::co_spawn(Executor, run(), asio::detached); }

asio::awaitable<bool> DepartureLog::awaitRestored(Instant until) {
  while (!IsRestored && now() < until)
    co_await awaitChange(until);
  co_return IsRestored;
}

asio::awaitable<bool> DepartureLog::record(DepartedRecord departed,
                                           Instant until) {
  if (!isRecorded(departed)) {
    Key key(departed.Name, departed.StartedAtMs);
    if (!Entries.contains(key) && Entries.size() < MaxEntries) {
      Entries[key] = {{Node, departed, wallMillis()}, now()};
      Wakeup.cancel();
    }
    while (Entries.contains(key) && !isRecorded(departed) && now() < until)
      co_await awaitChange(until);
  }
  bool isDone = isRecorded(departed);
  Counters.countDeparture(isDone ? "acknowledged" : "unconfirmed");
  if (!isDone)
    logEvent(
        LogLevel::Warn, "departure_unconfirmed",
        {{"endpoint", departed.Name}, {"started_at_ms", departed.StartedAtMs}});
  co_return isDone;
}

// What others name may be wrong, so it leads to one further call only.
void DepartureLog::noteIncarnation(std::int64_t incarnation) {
  KnownIncarnation = std::max(KnownIncarnation, incarnation);
  for (auto &[key, it] : Entries)
    if (it.Incarnation < incarnation)
      it.IsStored = false;
  Wakeup.cancel();
}

/// Makes all calls of the store, one at a time.
asio::awaitable<void> DepartureLog::run() {
  while (true) {
    bool isDone = IsRestored;
    if (!IsRestored)
      isDone = co_await restore();
    bool isStored = co_await storePending();
    isDone = isDone && isStored;
    if (isDone)
      isDone = co_await removeExpired();
    Failures = isDone ? 0 : Failures + 1;
    Instant due =
        isDone ? nextDue()
               : now() + doubled(FirstRetryPause, Failures - 1, MaxRetryPause);
    if (due <= now())
      continue;
    error_code ec;
    Wakeup.expires_at(toSteady(due));
    co_await Wakeup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<bool> DepartureLog::restore() {
  auto list = co_await Store->list(Node, callLimit());
  if (!list) {
    logEvent(LogLevel::Warn, "departures_unknown", {{"failures", Failures}});
    co_return false;
  }
  take(*list);
  IsRestored = true;
  std::vector<DepartedRecord> departed;
  for (const auto &[key, it] : Entries)
    if (it.IsStored)
      departed.push_back(it.Stored.Departed);
  Counters.countDeparture("restored", departed.size());
  logEvent(LogLevel::Info, "departures_restored",
           {{"endpoints", departed.size()}, {"removes", Expired.size()}});
  OnRestored(std::move(departed));
  notifyWaiters();
  co_return true;
}

/// Adopts the records of this node's earlier processes, and marks those for
/// removal that are no longer needed.
void DepartureLog::take(const DepartureList &list) {
  for (const StoredDeparture &it : list.Departures) {
    bool isOwn = it.Node == Node;
    Millis age = ageOf(it);
    if (age >= (isOwn ? toMillis(DepartedRetention) : AbandonedAfter)) {
      Expired.push_back(it);
      continue;
    }
    if (!isOwn)
      continue;
    Entry &entry = Entries[{it.Departed.Name, it.Departed.StartedAtMs}];
    entry = {it, now() - std::max(age, Millis{0}), true, list.Incarnation};
  }
}

asio::awaitable<bool> DepartureLog::storePending() {
  std::vector<StoredDeparture> pending;
  for (const auto &[key, it] : Entries)
    if (!it.IsStored && pending.size() < MaxBatch)
      pending.push_back(it.Stored);
  if (pending.empty())
    co_return true;
  Instant begin = now();
  std::int64_t known = KnownIncarnation;
  auto incarnation = co_await Store->add(pending, callLimit());
  logEvent(LogLevel::Info, "departures_recorded",
           {{"endpoints", pending.size()},
            {"first", pending.front().Departed.Name},
            {"confirmed", incarnation.has_value()},
            {"ms", toMillis(now() - begin).count()}});
  // The store may have come back from an older copy during the call.
  bool isLost =
      KnownIncarnation > known && incarnation.value_or(0) < KnownIncarnation;
  if (!incarnation || isLost)
    co_return false;
  for (const StoredDeparture &it : pending) {
    Entry &entry = Entries.at({it.Departed.Name, it.Departed.StartedAtMs});
    entry.IsStored = true;
    entry.Incarnation = std::max(*incarnation, known);
  }
  notifyWaiters();
  co_return true;
}

asio::awaitable<bool> DepartureLog::removeExpired() {
  std::erase_if(Entries, [&](const auto &it) {
    bool isExpired = now() - it.second.RecordedAt >= DepartedRetention;
    if (isExpired)
      Expired.push_back(it.second.Stored);
    return isExpired;
  });
  if (Expired.empty())
    co_return true;
  std::size_t n = std::min(Expired.size(), MaxBatch);
  std::vector<StoredDeparture> batch(Expired.begin(),
                                     Expired.begin() + std::ptrdiff_t(n));
  bool isDone = co_await Store->remove(batch, callLimit());
  if (isDone)
    Expired.erase(Expired.begin(), Expired.begin() + std::ptrdiff_t(n));
  co_return isDone;
}

/// When run() has something to do again.
Instant DepartureLog::nextDue() const {
  bool isBusy = !Expired.empty() || std::ranges::any_of(Entries, [](auto &it) {
    return !it.second.IsStored;
  });
  if (isBusy)
    return now();
  Instant due = now() + DepartedRetention;
  for (const auto &[key, it] : Entries)
    due = std::min(due, it.RecordedAt + DepartedRetention);
  return due;
}

/// A record also covers the earlier processes of its endpoint.
bool DepartureLog::isRecorded(const DepartedRecord &departed) const {
  auto it = Entries.lower_bound({departed.Name, departed.StartedAtMs});
  return std::ranges::any_of(
      std::ranges::subrange(it, Entries.end()) |
          std::views::take_while([&](const auto &entry) {
            return entry.first.first == departed.Name;
          }),
      [](const auto &entry) { return entry.second.IsStored; });
}

Millis DepartureLog::callLimit() const {
  return doubled(FirstCallLimit, Failures, MaxCallLimit);
}

void DepartureLog::notifyWaiters() {
  for (asio::steady_timer *it : Waiting)
    it->cancel();
}

asio::awaitable<void> DepartureLog::awaitChange(Instant until) {
  asio::steady_timer timer(Executor, toSteady(until));
  Waiting.insert(&timer);
  error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  Waiting.erase(&timer);
}

} // namespace hickoryglade::fleet
