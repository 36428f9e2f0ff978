#pragma once

#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/settingslog.h"

#include "fleet_types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Prepares the replies to requests of other nodes for this node's settings, on
/// the control thread. Large ones go to a few nodes at a time, which then pass
/// the settings on.
class SettingsSender {
public:
  /// Reply without a position; the content is null if there is none.
  struct Reply {
    wire::SnapshotHead Head;
    Body Content;
  };

  /// The settings that a node with this digest lacks, or everything if the
  /// settings come as changes. Returns nullopt for malformed digests.
  std::optional<Reply> replyTo(const std::string &digest,
                               const SettingsState &state, bool isDocument);

private:
  struct Prepared {
    Body Content;
    std::size_t PlainBytes = 0;
  };
  struct Transfer {
    std::weak_ptr<const std::string> Content;
    Instant StartedAt;
  };

  std::optional<Prepared> prepare(const std::string &digest,
                                  const SettingsState &state, bool isDocument);

  /// Replies for the latest version, by digest.
  std::map<std::string, Prepared> Cache;
  std::int64_t CacheNext = -1;
  std::vector<Transfer> LargeTransfers;
};

} // namespace hickoryglade::fleet
