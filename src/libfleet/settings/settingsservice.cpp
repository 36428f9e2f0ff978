#include "libfleet/settings/settingsservice.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

namespace hickoryglade::fleet {

namespace {

constexpr Millis PollWait = std::chrono::seconds(5);
constexpr Millis FirstBackoff = std::chrono::milliseconds(200);
constexpr Millis MostBackoff = std::chrono::seconds(2);
constexpr Millis VerdictPoll = std::chrono::milliseconds(10);
constexpr Millis RefreshPeriod = std::chrono::milliseconds(500);

/// Each place in the refresh order waits this much longer before it writes.
constexpr Millis RefreshStep = std::chrono::milliseconds(500);

/// Records in the oldest quarter of what the log keeps are written anew, and
/// those that have stood for half the time that it keeps them.
constexpr std::int64_t RefreshedPart = 4;
constexpr std::int64_t RefreshedAge = 2;

} // namespace

SettingsService::SettingsService(asio::io_context &io, std::string logAddress,
                                 std::string stream, Millis retention,
                                 Metrics &metrics, Events events)
    : Io(io), LogAddress(logAddress), Stream(stream), Retention(retention),
      Reader(io.get_executor(), logAddress, stream), Counters(metrics),
      Handlers(std::move(events)) {}

void SettingsService::followDocuments(std::unique_ptr<SettingsSource> source) {
  Source = std::move(source);
}

void SettingsService::start() {
  if (Source) {
    asio::co_spawn(Io, takeDocuments(), asio::detached);
    return;
  }
  asio::co_spawn(Io, follow(), asio::detached);
  asio::co_spawn(Io, refresh(), asio::detached);
}

void SettingsService::noteReachable(bool isReachable) {
  IsReachable = isReachable;
  if (isReachable)
    HeardAt = now();
}

/// Notes when the version in force changed.
void SettingsService::reportChange() {
  if (ReportedNext != Folded.Next) {
    ReportedNext = Folded.Next;
    TakenAt = now();
  }
  Handlers.OnChange();
}

asio::awaitable<void> SettingsService::pause(Millis wait) {
  asio::steady_timer timer(Io, wait);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> SettingsService::follow() {
  Millis backoff = FirstBackoff;
  Loaded = co_await Handlers.FetchSnapshot();
  while (true) {
    Millis wait = Loaded ? PollWait : Millis(0);
    ReadResult result = co_await Reader.read(Folded.Next, wait);
    noteReachable(result.Status == LogStatus::Done ||
                  result.Status == LogStatus::Expired);
    if (result.Status == LogStatus::Done) {
      backoff = FirstBackoff;
      FirstKept = result.First;
      bool isFirst = !Loaded;
      Loaded = true;
      fold(result.Records);
      if (isFirst)
        reportChange();
      continue;
    }
    if (result.Status == LogStatus::Expired) {
      co_await takeExpired(result.First);
      continue;
    }
    Counters.countLogFailure("read");
    logEvent(LogLevel::Warn, "log_unreachable", {{"stream", Stream}});
    bool hasPeerState = co_await Handlers.FetchSnapshot();
    Loaded = Loaded || hasPeerState;
    co_await pause(result.Status == LogStatus::Overloaded ? result.RetryAfter
                                                          : backoff);
    backoff = std::min(backoff * 2, MostBackoff);
  }
}

asio::awaitable<void> SettingsService::takeDocuments() {
  Millis backoff = FirstBackoff;
  while (true) {
    if (Loaded)
      co_await Handlers.AwaitTurn();
    SettingsUpdate update = co_await Source->next();
    if (update.IsReachable != IsReachable)
      logEvent(LogLevel::Warn,
               update.IsReachable ? "store_regained" : "store_lost",
               {{"settings_next", Folded.Next}});
    noteReachable(update.IsReachable);
    takeDocument(update);
    if (IsReachable && Loaded) {
      backoff = FirstBackoff;
      continue;
    }
    if (!IsReachable) {
      Counters.countLogFailure("read");
      co_await Handlers.FetchSnapshot();
    }
    co_await pause(backoff);
    backoff = std::min(backoff * 2, MostBackoff);
  }
}

void SettingsService::takeDocument(const SettingsUpdate &update) {
  if (!update.Faults.empty()) {
    Refused = {update.RefusedVersion, update.Faults, now()};
    Counters.countSettingsRecord("rejected");
    logEvent(LogLevel::Warn, "settings_rejected",
             {{"version", update.RefusedVersion},
              {"in_force", Folded.Next},
              {"where", update.Faults.front().Where},
              {"reason", update.Faults.front().Reason},
              {"faults", update.Faults.size()}});
  }
  if (!update.Document || !replaceTree(Folded, *update.Document))
    return;
  Loaded = true;
  Refused.reset();
  Counters.countSettingsRecord("accepted");
  logEvent(LogLevel::Info, "settings_taken",
           {{"version", update.Document->Version},
            {"values", update.Document->Values.size()}});
  reportChange();
}

/// Records have expired before this node read them: peers may know them.
asio::awaitable<void> SettingsService::takeExpired(std::int64_t first) {
  FirstKept = first;
  bool hasPeerState = co_await Handlers.FetchSnapshot();
  if (hasPeerState && Folded.Next >= first)
    co_return;
  logEvent(LogLevel::Warn, "log_expired",
           {{"stream", Stream}, {"first", first}, {"next", Folded.Next}});
  skipTo(Folded, first);
}

void SettingsService::fold(const std::vector<LogRecord> &records) {
  for (const LogRecord &record : records) {
    FoldResult result = foldRecord(Folded, record.Offset, record.Data);
    if (!result.Rejected.empty()) {
      Counters.countSettingsRecord("rejected");
      logEvent(LogLevel::Warn, "settings_rejected",
               {{"offset", record.Offset}, {"reason", result.Rejected}});
    }
    if (result.Verdict) {
      Counters.countSettingsRecord(
          std::string(toString(result.Verdict->Outcome)));
      logEvent(LogLevel::Info, "settings_verdict",
               {{"change", result.Verdict->Id},
                {"path", result.Verdict->Path},
                {"outcome", toString(result.Verdict->Outcome)},
                {"revision", result.Verdict->Revision}});
    }
  }
  if (records.empty())
    return;
  reportChange();
}

void SettingsService::merge(const SettingsState &peer) {
  bool isChanged =
      Source ? takeSnapshot(Folded, peer) : mergeSnapshot(Folded, peer);
  bool isFirst = !Loaded;
  Loaded = true;
  if (isChanged || isFirst)
    reportChange();
}

asio::awaitable<std::optional<ChangeVerdict>>
SettingsService::publish(SettingsChange change, Millis limit) {
  Instant until = now() + limit;
  LogClient writer(Io.get_executor(), LogAddress, Stream);
  change.AtMs = wallMicros() / 1'000;
  std::string data = encodeChange(change);
  Millis backoff = FirstBackoff;
  while (now() < until) {
    AppendResult result = co_await writer.append(data);
    if (result.Status == LogStatus::Done)
      break;
    Counters.countLogFailure("append");
    if (Folded.Verdicts.contains(change.Id))
      break;
    co_await pause(std::min(backoff, toMillis(until - now())));
    backoff = std::min(backoff * 2, MostBackoff);
  }
  while (now() < until) {
    auto it = Folded.Verdicts.find(change.Id);
    if (it != Folded.Verdicts.end())
      co_return it->second;
    co_await pause(VerdictPoll);
  }
  co_return std::nullopt;
}

RecordPlace SettingsService::oldestSafe() const {
  RecordPlace place;
  if (FirstKept > 0)
    place.Offset = FirstKept + (Folded.Next - FirstKept) / RefreshedPart;
  place.AtMs = wallMicros() / 1'000 - Retention.count() / RefreshedAge;
  return place;
}

asio::awaitable<void> SettingsService::refresh() {
  LogClient writer(Io.get_executor(), LogAddress, Stream);
  while (true) {
    co_await pause(RefreshPeriod);
    if (!IsReachable)
      continue;
    auto due = dueRefresh(Folded, oldestSafe());
    if (!due)
      continue;
    std::string what = due->Path + ' ' + std::to_string(due->Revision);
    co_await pause(RefreshStep * int(Handlers.RefreshRank(what)));
    auto still = dueRefresh(Folded, oldestSafe());
    if (!still || still->Path != due->Path)
      continue;
    still->AtMs = wallMicros() / 1'000;
    AppendResult result = co_await writer.append(encodeRefresh(*still));
    logEvent(LogLevel::Info, "settings_refresh",
             {{"path", still->Path},
              {"revision", still->Revision},
              {"appended", result.Status == LogStatus::Done}});
  }
}

} // namespace hickoryglade::fleet
