#pragma once

#include "libhickoryglade/membership.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/settingslog.h"
#include "libhickoryglade/standingboard.h"

#include "fleet_types.h"

#include <optional>

namespace hickoryglade::fleet {

/// How a node introduces itself on a link.
wire::Hello makeHello(const std::string &node, std::int64_t bootId,
                      const std::string &dataCentre);

wire::Gossip toWire(const GossipMessage &message);
/// Gives nothing if a value is out of range.
std::optional<GossipMessage> fromWire(const wire::Gossip &gossip);

wire::StandingReport toWire(const StandingReport &report);
/// Gives nothing for a standing that does not exist.
std::optional<StandingReport> fromWire(const wire::StandingReport &report);

wire::Snapshot toWire(const SettingsState &state);
/// State of a snapshot; what does not parse is left out.
SettingsState fromWire(const wire::Snapshot &snapshot);

} // namespace hickoryglade::fleet
