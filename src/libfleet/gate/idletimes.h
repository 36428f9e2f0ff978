#pragma once

#include "libhickoryglade/instant.h"

#include <optional>
#include <string_view>

namespace hickoryglade::fleet {

/// What is known of how long an endpoint keeps idle connections open. Without
/// notes, the fixed limits apply.
struct IdleTimes {
  /// Timeout that the endpoint named in its latest response.
  std::optional<Micros> Named;
  /// Longest idle time of a connection that worked afterwards.
  Micros Survived{0};
  /// End of the latest exchange on any connection.
  std::optional<Instant> WorkedAt;
  /// When a connection was last lost during an exchange.
  std::optional<Instant> LostAt;

  bool operator==(const IdleTimes &) const = default;
};

/// Parses the timeout of a Keep-Alive header ("timeout=5, max=100").
std::optional<Micros> keepAliveTimeout(std::string_view header);

/// Idle time after which a connection is not used again.
Micros idleLimit(const IdleTimes &times);

/// True if a request may use a connection that has been idle since a time.
bool mayUse(const IdleTimes &times, Instant idleSince, bool isIdempotent,
            Instant now);

/// True if an exchange on any connection has ended a moment ago.
bool hasJustWorked(const IdleTimes &times, Instant now);

/// Notes a response on a connection that was idle for some time before.
void noteExchange(IdleTimes &times, std::optional<Micros> named,
                  Micros idleBefore, Instant now);

/// Notes that the endpoint has closed an idle connection.
void noteClosed(IdleTimes &times, Micros idleTime);

/// Notes that a connection was lost during an exchange.
void noteLoss(IdleTimes &times, Instant now);

} // namespace hickoryglade::fleet
