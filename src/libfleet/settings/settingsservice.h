#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/log/logclient.h"
#include "libfleet/settings/settingssource.h"
#include "libhickoryglade/settingsdigest.h"
#include "libhickoryglade/settingsfreshness.h"
#include "libhickoryglade/settingslog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryglade::fleet {

class Metrics;

/// Keeps this node's copy of the fleet settings up to date, on the control
/// thread. Reads them from the log's settings stream, appends changes to it and
/// rewrites values before their records expire; or polls a document source.
class SettingsService {
public:
  struct Events {
    std::function<void()> OnChange;
    /// Merges the settings of a peer; returns false if no peer answered.
    std::function<asio::awaitable<bool>()> FetchSnapshot;
    /// Rank of this node among all members for rewriting a given record.
    std::function<std::size_t(const std::string &what)> RefreshRank;
    /// Waits until this node has to poll the document source. Returns how long
    /// the poll may wait there for a change.
    std::function<asio::awaitable<Millis>()> AwaitPollDue;
    /// The document source has answered.
    std::function<void()> OnSourceRead;
    /// Bytes of the document source's answer have arrived. Passes the time
    /// since the first ones.
    std::function<void(Micros)> OnSourceProgress;
  };

  SettingsService(asio::io_context &io, std::string logAddress,
                  std::string stream, Millis retention, Metrics &metrics,
                  Events events);

  /// Reads whole documents from a source instead of changes from the log.
  void useDocumentSource(std::unique_ptr<SettingsSource> source);

  void start();
  const SettingsState &state() const { return FoldedState; }

  /// True once settings have been received from the log, the document source or
  /// a peer.
  bool isLoaded() const { return Loaded; }
  bool isLogReachable() const { return IsReachable; }

  /// How current the settings in force are known to be; only with a document
  /// source.
  const SettingsFreshness &freshness() const { return Freshness; }
  /// Notes that no version was newer than the one in force at a time.
  void noteCurrent(Instant asOf);

  /// Incarnation of the document source at its last answer.
  std::int64_t sourceIncarnation() const { return SourceIncarnation; }

  /// When the log or the document source last answered.
  Instant sourceAnsweredAt() const { return SourceAnsweredAt; }
  /// When the current version came into force on this node.
  Instant inForceSince() const { return InForceSince; }

  /// The latest refused document; reset when a later one is accepted.
  const std::optional<RefusedDocument> &refused() const { return Refused; }

  /// Takes over those settings of a peer that are newer than this node's.
  void merge(const SettingsState &peer);

  /// Takes over the parts of a peer's settings that differ, if they are newer,
  /// and the place in the document source up to which they go.
  AdoptResult adopt(const SettingsPart &part,
                    const std::optional<SourcePosition> &position);

  /// True if whole documents are read from a source, and not changes from a
  /// log.
  bool hasDocumentSource() const { return Source != nullptr; }
  std::optional<SourcePosition> sourcePosition() const;

  /// Appends a change and waits for its verdict; returns nothing if there is
  /// none within the limit.
  asio::awaitable<std::optional<ChangeVerdict>> publish(SettingsChange change,
                                                        Millis limit);

private:
  asio::awaitable<void> follow();
  asio::awaitable<void> pollDocuments();
  void reportSlowPoll(Instant askedAt, bool isAnswered) const;
  void noteIncarnation(std::int64_t incarnation);
  void reportAdjustments(const SettingsUpdate &update) const;
  void reportUnused(const SettingsDocument &document) const;
  void applyDocument(const SettingsUpdate &update);
  asio::awaitable<void> refresh();
  RecordPosition oldestSafe() const;
  asio::awaitable<void> pause(Millis wait);
  void noteReachable(bool isReachable);
  void noteSourceReachable(bool isReachable);
  void logReachable(bool isReachable) const;
  void watchPoll(Millis wait);
  void noteProgress();
  void reportChange(std::string_view source);
  void fold(const std::vector<LogRecord> &records);
  asio::awaitable<void> handleExpiredRecords(std::int64_t first);

  asio::io_context &Io;
  std::string LogAddress;
  std::string Stream;
  Millis Retention;
  LogClient Reader;
  std::unique_ptr<SettingsSource> Source;
  Metrics &Counters;
  Events Handlers;
  SettingsState FoldedState;
  std::int64_t FirstKept = 0;
  bool Loaded = false;
  bool IsReachable = false;
  /// Expires if a poll of the document source is not answered in time.
  asio::steady_timer PollTimer;
  /// When the answer to the current poll began to arrive.
  std::optional<Instant> ArrivesSince;
  Instant SourceAnsweredAt;
  SettingsFreshness Freshness;
  std::int64_t SourceIncarnation = 0;
  Instant InForceSince;
  std::int64_t ReportedNext = -1;
  std::optional<RefusedDocument> Refused;
};

} // namespace hickoryglade::fleet
