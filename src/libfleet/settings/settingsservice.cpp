#include "libfleet/settings/settingsservice.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

namespace hickoryglade::fleet {

namespace {

constexpr Millis PollWait = std::chrono::seconds(5);
constexpr Millis InitialBackoff = std::chrono::milliseconds(200);
constexpr Millis MaxBackoff = std::chrono::seconds(2);
/// Time without a byte after which a document source counts as lost.
constexpr Millis SilenceLimit = std::chrono::milliseconds(500);

/// Polls of a document source that take this long are logged when they end.
constexpr Micros SlowPoll = std::chrono::seconds(1);
constexpr Millis VerdictPoll = std::chrono::milliseconds(10);
constexpr Millis RefreshPeriod = std::chrono::milliseconds(500);

/// Delay per rank before a node rewrites a record, so that normally only the
/// first node in rank does.
constexpr Millis RefreshRankDelay = std::chrono::milliseconds(500);

/// A record is rewritten once it is in the oldest quarter of the offsets that
/// the log retains, or older than half the retention time.
constexpr std::int64_t RefreshOffsetDivisor = 4;
constexpr std::int64_t RefreshAgeDivisor = 2;

} // namespace

SettingsService::SettingsService(asio::io_context &io, std::string logAddress,
                                 std::string stream, Millis retention,
                                 Metrics &metrics, Events events)
    : Io(io), LogAddress(logAddress), Stream(stream), Retention(retention),
      Reader(io.get_executor(), logAddress, stream), Counters(metrics),
      Handlers(std::move(events)), PollTimer(io) {}

void SettingsService::useDocumentSource(
    std::unique_ptr<SettingsSource> source) {
  Source = std::move(source);
  Source->OnProgress = [this] { noteProgress(); };
}

void SettingsService::start() {
  if (Source) {
    asio::co_spawn(Io, pollDocuments(), asio::detached);
    return;
  }
  asio::co_spawn(Io, follow(), asio::detached);
  asio::co_spawn(Io, refresh(), asio::detached);
}

void SettingsService::noteReachable(bool isReachable) {
  IsReachable = isReachable;
  if (isReachable)
    SourceAnsweredAt = now();
}

/// Records when the version in force changed and calls OnChange. The version
/// was written after the time as of which the one before was the newest.
void SettingsService::reportChange(std::string_view source) {
  if (ReportedNext != FoldedState.Next) {
    ReportedNext = FoldedState.Next;
    InForceSince = now();
    if (Freshness.AsOf != Instant{}) {
      Micros lag = InForceSince - Freshness.AsOf;
      Counters.observeSettingsLag(lag);
      logEvent(LogLevel::Info, "settings_in_force",
               {{"next", FoldedState.Next},
                {"source", source},
                {"lag_ms", toMillis(lag).count()}});
    }
  }
  Handlers.OnChange();
}

asio::awaitable<void> SettingsService::pause(Millis wait) {
  asio::steady_timer timer(Io, wait);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> SettingsService::follow() {
  Millis backoff = InitialBackoff;
  Loaded = co_await Handlers.FetchSnapshot();
  while (true) {
    Millis wait = Loaded ? PollWait : Millis(0);
    ReadResult result = co_await Reader.read(FoldedState.Next, wait);
    noteReachable(result.Status == LogStatus::Done ||
                  result.Status == LogStatus::Expired);
    if (result.Status == LogStatus::Done) {
      backoff = InitialBackoff;
      FirstKept = result.First;
      bool isFirst = !Loaded;
      Loaded = true;
      fold(result.Records);
      if (isFirst)
        reportChange("log");
      continue;
    }
    if (result.Status == LogStatus::Expired) {
      co_await handleExpiredRecords(result.First);
      continue;
    }
    Counters.countLogFailure("read");
    logEvent(LogLevel::Warn, "log_unreachable", {{"stream", Stream}});
    bool hasPeerState = co_await Handlers.FetchSnapshot();
    Loaded = Loaded || hasPeerState;
    co_await pause(result.Status == LogStatus::Overloaded ? result.RetryAfter
                                                          : backoff);
    backoff = std::min(backoff * 2, MaxBackoff);
  }
}

asio::awaitable<void> SettingsService::pollDocuments() {
  Millis backoff = InitialBackoff;
  while (true) {
    Millis wait{0};
    if (Loaded)
      wait = co_await Handlers.AwaitPollDue();
    watchPoll(wait);
    Instant askedAt = now();
    ArrivesSince.reset();
    SettingsUpdate update = co_await Source->next(wait);
    PollTimer.cancel();
    reportSlowPoll(askedAt, update.IsReachable);
    noteSourceReachable(update.IsReachable);
    if (update.IsReachable)
      noteIncarnation(update.SourceIncarnation);
    applyDocument(update);
    if (IsReachable && Loaded) {
      noteCurrent(update.AsOf);
      Handlers.OnSourceRead();
      backoff = InitialBackoff;
      continue;
    }
    if (!IsReachable) {
      Counters.countLogFailure("read");
      co_await Handlers.FetchSnapshot();
    }
    co_await pause(backoff);
    backoff = std::min(backoff * 2, MaxBackoff);
  }
}

/// A process that has never had current settings logs no age.
void SettingsService::logReachable(bool isReachable) const {
  nlohmann::json age;
  if (Freshness.AsOf != Instant{})
    age = toMillis(now() - Freshness.AsOf).count();
  logEvent(LogLevel::Warn, isReachable ? "store_regained" : "store_lost",
           {{"settings_next", FoldedState.Next}, {"as_of_ms", age}});
}

void SettingsService::noteSourceReachable(bool isReachable) {
  if (isReachable != IsReachable)
    logReachable(isReachable);
  noteReachable(isReachable);
}

/// Counts the source as lost if it sends nothing soon after the wait.
void SettingsService::watchPoll(Millis wait) {
  PollTimer.expires_after(wait + SilenceLimit);
  PollTimer.async_wait([this](const error_code &ec) {
    if (!ec)
      noteSourceReachable(false);
  });
}

void SettingsService::noteProgress() {
  watchPoll(Millis(0));
  if (!ArrivesSince)
    ArrivesSince = now();
  Handlers.OnSourceProgress(now() - *ArrivesSince);
}

void SettingsService::noteIncarnation(std::int64_t incarnation) {
  if (SourceIncarnation != 0 && incarnation != SourceIncarnation)
    logEvent(LogLevel::Warn, "store_restored",
             {{"incarnation_before", SourceIncarnation},
              {"incarnation", incarnation},
              {"settings_next", FoldedState.Next}});
  SourceIncarnation = incarnation;
}

void SettingsService::noteCurrent(Instant asOf) {
  hickoryglade::noteCurrent(Freshness, asOf);
}

void SettingsService::reportSlowPoll(Instant askedAt, bool isAnswered) const {
  Micros time = now() - askedAt;
  if (time >= SlowPoll)
    logEvent(LogLevel::Info, "settings_poll",
             {{"answered", isAnswered},
              {"ms", toMillis(time).count()},
              {"settings_next", FoldedState.Next}});
}

/// A restored store may offer an older document than the one in force. Two
/// documents of the same version are a mistake of the operator's; a node keeps
/// the one that it took first.
void SettingsService::reportUnused(const SettingsDocument &document) const {
  std::int64_t inForce = FoldedState.Next - 1;
  if (document.Version < inForce)
    logEvent(LogLevel::Info, "settings_older",
             {{"version", document.Version}, {"in_force", inForce}});
  else if (!holdsDocument(FoldedState, document))
    logEvent(LogLevel::Warn, "settings_conflict",
             {{"version", document.Version}});
}

void SettingsService::applyDocument(const SettingsUpdate &update) {
  if (!update.Faults.empty()) {
    Refused = {update.RefusedVersion, update.Faults, now()};
    Counters.countSettingsRecord("rejected");
    logEvent(LogLevel::Warn, "settings_rejected",
             {{"version", update.RefusedVersion},
              {"in_force", FoldedState.Next},
              {"where", update.Faults.front().Where},
              {"reason", update.Faults.front().Reason},
              {"faults", update.Faults.size()}});
  }
  if (!update.Document)
    return;
  if (!replaceTree(FoldedState, *update.Document)) {
    reportUnused(*update.Document);
    return;
  }
  Loaded = true;
  Refused.reset();
  Counters.countSettingsRecord("accepted");
  logEvent(LogLevel::Info, "settings_taken",
           {{"version", update.Document->Version},
            {"values", update.Document->Values.size()},
            {"records", update.Records},
            {"bytes", update.Bytes}});
  reportAdjustments(update);
  reportChange("store");
}

void SettingsService::reportAdjustments(const SettingsUpdate &update) const {
  Counters.setSettingsAdjustments(update.Adjustments);
  for (const SettingsFault &it : update.Adjustments)
    logEvent(LogLevel::Warn, "settings_adjusted",
             {{"version", update.Document->Version},
              {"where", it.Where},
              {"reason", it.Reason}});
}

/// Records expired before this node read them. Fetches the settings from a peer
/// and skips the expired offsets only if no peer has them.
asio::awaitable<void>
SettingsService::handleExpiredRecords(std::int64_t first) {
  FirstKept = first;
  bool hasPeerState = co_await Handlers.FetchSnapshot();
  if (hasPeerState && FoldedState.Next >= first)
    co_return;
  logEvent(LogLevel::Warn, "log_expired",
           {{"stream", Stream}, {"first", first}, {"next", FoldedState.Next}});
  skipTo(FoldedState, first);
}

void SettingsService::fold(const std::vector<LogRecord> &records) {
  for (const LogRecord &record : records) {
    FoldResult result = foldRecord(FoldedState, record.Offset, record.Data);
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
  reportChange("log");
}

void SettingsService::merge(const SettingsState &peer) {
  bool isChanged = Source ? adoptSnapshot(FoldedState, peer)
                          : mergeSnapshot(FoldedState, peer);
  bool isFirst = !Loaded;
  Loaded = true;
  if (isChanged || isFirst)
    reportChange("member");
}

AdoptResult
SettingsService::adopt(const SettingsPart &part,
                       const std::optional<SourcePosition> &position) {
  AdoptResult result = adoptPart(FoldedState, part);
  if (result != AdoptResult::Adopted)
    return result;
  Loaded = true;
  if (position)
    Source->skipTo(*position);
  reportChange("member");
  return result;
}

std::optional<SourcePosition> SettingsService::sourcePosition() const {
  return Source ? Source->position() : std::nullopt;
}

asio::awaitable<std::optional<ChangeVerdict>>
SettingsService::publish(SettingsChange change, Millis limit) {
  Instant until = now() + limit;
  LogClient writer(Io.get_executor(), LogAddress, Stream);
  change.AtMs = wallMicros() / 1'000;
  std::string data = encodeChange(change);
  Millis backoff = InitialBackoff;
  while (now() < until) {
    AppendResult result = co_await writer.append(data);
    if (result.Status == LogStatus::Done)
      break;
    Counters.countLogFailure("append");
    if (FoldedState.Verdicts.contains(change.Id))
      break;
    co_await pause(std::min(backoff, toMillis(until - now())));
    backoff = std::min(backoff * 2, MaxBackoff);
  }
  while (now() < until) {
    auto it = FoldedState.Verdicts.find(change.Id);
    if (it != FoldedState.Verdicts.end())
      co_return it->second;
    co_await pause(VerdictPoll);
  }
  co_return std::nullopt;
}

RecordPosition SettingsService::oldestSafe() const {
  RecordPosition place;
  if (FirstKept > 0)
    place.Offset =
        FirstKept + (FoldedState.Next - FirstKept) / RefreshOffsetDivisor;
  place.AtMs = wallMicros() / 1'000 - Retention.count() / RefreshAgeDivisor;
  return place;
}

asio::awaitable<void> SettingsService::refresh() {
  LogClient writer(Io.get_executor(), LogAddress, Stream);
  while (true) {
    co_await pause(RefreshPeriod);
    if (!IsReachable)
      continue;
    auto due = dueRefresh(FoldedState, oldestSafe());
    if (!due)
      continue;
    std::string what = due->Path + ' ' + std::to_string(due->Revision);
    co_await pause(RefreshRankDelay * int(Handlers.RefreshRank(what)));
    auto stillDue = dueRefresh(FoldedState, oldestSafe());
    if (!stillDue || stillDue->Path != due->Path)
      continue;
    stillDue->AtMs = wallMicros() / 1'000;
    AppendResult result = co_await writer.append(encodeRefresh(*stillDue));
    logEvent(LogLevel::Info, "settings_refresh",
             {{"path", stillDue->Path},
              {"revision", stillDue->Revision},
              {"appended", result.Status == LogStatus::Done}});
  }
}

} // namespace hickoryglade::fleet
