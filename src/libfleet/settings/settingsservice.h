#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/log/logclient.h"
#include "libfleet/settings/settingssource.h"
#include "libhickoryglade/settingslog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

class Metrics;

/// Follows the settings stream on the control thread, appends changes, and
/// writes values anew before the log forgets them.
class SettingsService {
public:
  struct Events {
    std::function<void()> OnChange;
    /// Asks some peer for its state.
    std::function<asio::awaitable<bool>()> FetchSnapshot;
    /// This node's place among all in writing a given record anew.
    std::function<std::size_t(const std::string &what)> RefreshRank;
    /// Waits while others read the source of documents for this node.
    std::function<asio::awaitable<void>()> AwaitPollDue;
  };

  SettingsService(asio::io_context &io, std::string logAddress,
                  std::string stream, Millis retention, Metrics &metrics,
                  Events events);

  /// Takes whole documents from a source in place of changes from the log.
  void useDocumentSource(std::unique_ptr<SettingsSource> source);

  void start();
  const SettingsState &state() const { return Folded; }

  /// True once a state has come from the log or from a peer.
  bool isLoaded() const { return Loaded; }
  bool isLogReachable() const { return IsReachable; }

  /// When the source of settings last answered.
  Instant sourceAnsweredAt() const { return SourceAnsweredAt; }
  /// When the version in force was taken.
  Instant inForceSince() const { return InForceSince; }

  /// The latest refused document, until a later one is taken.
  const std::optional<RefusedDocument> &refused() const { return Refused; }

  /// Takes over what a peer knows.
  void merge(const SettingsState &peer);

  /// Appends a change and waits for its verdict; gives nothing if the log
  /// cannot be reached in time.
  asio::awaitable<std::optional<ChangeVerdict>> publish(SettingsChange change,
                                                        Millis limit);

private:
  asio::awaitable<void> follow();
  asio::awaitable<void> pollDocuments();
  void applyDocument(const SettingsUpdate &update);
  asio::awaitable<void> refresh();
  RecordPlace oldestSafe() const;
  asio::awaitable<void> pause(Millis wait);
  void noteReachable(bool isReachable);
  void reportChange();
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
  SettingsState Folded;
  std::int64_t FirstKept = 0;
  bool Loaded = false;
  bool IsReachable = false;
  Instant SourceAnsweredAt;
  Instant InForceSince;
  std::int64_t ReportedNext = -1;
  std::optional<RefusedDocument> Refused;
};

} // namespace hickoryglade::fleet
