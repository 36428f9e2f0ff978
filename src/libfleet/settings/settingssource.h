#pragma once

#include "libfleet/base/asio.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/settingslog.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace hickoryglade::fleet {

/// Place in a settings source from which later documents can be read.
struct SourcePosition {
  std::int64_t Offset = 0;
  /// As in SettingsUpdate.
  std::int64_t Incarnation = 0;

  bool operator==(const SourcePosition &) const = default;
};

/// Result of one poll of a settings source.
struct SettingsUpdate {
  /// False if the source could not be reached.
  bool IsReachable = false;
  /// A time at which the source had no document newer than the latest that it
  /// has returned. Not set if it was not reached or has newer ones.
  Instant AsOf;
  /// Rises when the source comes back from an older copy of itself; 0 if the
  /// source does not tell.
  std::int64_t SourceIncarnation = 0;
  /// Size of the answer, and number of records that it held.
  std::size_t Bytes = 0;
  std::size_t Records = 0;
  /// The newest document, if no earlier poll has returned it.
  std::optional<SettingsDocument> Document;
  /// Values of the document that were replaced by the nearest ones that can be
  /// applied, with the reasons.
  std::vector<SettingsFault> Adjustments;
  /// Reasons why the newest document was refused.
  std::vector<SettingsFault> Faults;
  /// Version stated in the refused document; 0 if it cannot be read.
  std::int64_t RefusedVersion = 0;
};

/// A settings document that was refused as a whole.
struct RefusedDocument {
  std::int64_t Version = 0;
  std::vector<SettingsFault> Faults;
  Instant At;
};

/// Source of the settings documents that operators publish. A document holds
/// the whole settings tree.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// Reads the newest document. If there is none that it has not returned yet,
  /// waits for one for the given time at most.
  virtual asio::awaitable<SettingsUpdate> next(Millis wait) = 0;

  /// The place after the last document that has been returned or skipped; none
  /// if the newest document is read next.
  virtual std::optional<SourcePosition> position() const = 0;
  /// Skips documents that another node has read. Never goes back.
  virtual void skipTo(const SourcePosition &position) = 0;

  /// Called as bytes of an answer arrive.
  std::function<void()> OnProgress;
};

} // namespace hickoryglade::fleet
