#pragma once

#include "libfleet/base/asio.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/settingslog.h"

#include <optional>

namespace hickoryglade::fleet {

/// What a source of settings has to say.
struct SettingsUpdate {
  /// False if the source could not be asked.
  bool IsReachable = false;
  /// The newest document, if there is one that has not been given before.
  std::optional<SettingsDocument> Document;
  /// Reasons for which the newest document was refused.
  std::vector<SettingsFault> Faults;
  /// Version that the refused document names; 0 if it cannot be read.
  std::int64_t RefusedVersion = 0;
};

/// A settings document that was refused as a whole.
struct RefusedDocument {
  std::int64_t Version = 0;
  std::vector<SettingsFault> Faults;
  Instant At;
};

/// Gives whole settings documents as operators publish them.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// Waits for news, for a time of the source's own choice.
  virtual asio::awaitable<SettingsUpdate> next() = 0;
};

} // namespace hickoryglade::fleet
