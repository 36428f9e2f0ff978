#pragma once

#include "libhickoryglade/membership.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/settingsdigest.h"
#include "libhickoryglade/settingslog.h"
#include "libhickoryglade/standingboard.h"

#include "fleet_types.h"

#include <optional>

namespace hickoryglade::fleet {

/// Builds the hello frame with which a node identifies itself on a link.
wire::Hello makeHello(const std::string &node, std::int64_t bootId,
                      const std::string &dataCentre);

wire::Gossip toWire(const GossipMessage &message);
/// Returns nullopt if a value is out of range.
std::optional<GossipMessage> fromWire(const wire::Gossip &gossip);

wire::StandingReport toWire(const StandingReport &report);
/// Returns nullopt for an unknown standing.
std::optional<StandingReport> fromWire(const wire::StandingReport &report);

wire::QuarantineRecord toWire(std::uint64_t fingerprint,
                              const CrashRecord &record, Instant now);
CrashRecord fromWire(const wire::QuarantineRecord &record, Instant now);

wire::Snapshot toWire(const SettingsPart &part);
/// Returns nullopt if any value or bucket is invalid.
std::optional<SettingsPart> partFromWire(const wire::Snapshot &snapshot);

/// A digest in the form in which a SnapshotRequest has it.
std::string toWire(const SettingsDigest &digest);
/// Returns nullopt if the bytes are no digest.
std::optional<SettingsDigest> digestFromWire(const std::string &bytes);

wire::Snapshot toWire(const SettingsState &state);
/// Restores the state from a snapshot; skips entries that do not parse.
SettingsState fromWire(const wire::Snapshot &snapshot);

} // namespace hickoryglade::fleet
