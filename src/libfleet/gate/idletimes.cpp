#include "libfleet/gate/idletimes.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace hickoryglade::fleet {

namespace {

/// A middlebox may have dropped the state of an idle connection without closing
/// it. Non-idempotent requests therefore use only a connection that worked a
/// moment ago, unless the endpoint is known to keep it.
constexpr Micros IdleLimit = std::chrono::seconds(15);
constexpr Micros IdleLimitNonIdempotent = std::chrono::seconds(1);

/// Time by which a connection is given up before the endpoint closes it: a
/// request may be on its way for this long when a process is short of processor
/// time.
constexpr Micros CloseMargin = std::chrono::seconds(2);

/// Longer timeouts are cut to this.
constexpr int MaxTimeoutSeconds = 3'600;

/// An endpoint that does not name its timeout may close connections sooner than
/// it did before.
constexpr int SurvivedDivisor = 2;

/// Idle time up to which the endpoint is taken to keep a connection.
Micros keptFor(const IdleTimes &times) {
  if (times.Named)
    return *times.Named - std::min(CloseMargin, *times.Named / 2);
  return times.Survived / SurvivedDivisor;
}

} // namespace

std::optional<Micros> keepAliveTimeout(std::string_view header) {
  constexpr std::string_view name = "timeout=";
  auto isName = [&](std::string_view text) {
    return boost::beast::iequals(
        boost::beast::string_view(text.data(), text.size()),
        boost::beast::string_view(name.data(), name.size()));
  };
  while (!header.empty()) {
    std::size_t comma = std::min(header.find(','), header.size());
    std::string_view part = header.substr(0, comma);
    header.remove_prefix(std::min(comma + 1, header.size()));
    part.remove_prefix(std::min(part.find_first_not_of(" \t"), part.size()));
    if (!isName(part.substr(0, name.size())))
      continue;
    part.remove_prefix(name.size());
    int timeout = 0;
    const char *end = part.data() + part.size();
    auto [at, ec] = std::from_chars(part.data(), end, timeout);
    bool isNumber =
        ec == std::errc{} && timeout >= 0 &&
        std::string_view(at, std::size_t(end - at)).find_first_not_of(" \t") ==
            std::string_view::npos;
    if (!isNumber)
      return std::nullopt;
    return std::chrono::seconds(std::min(timeout, MaxTimeoutSeconds));
  }
  return std::nullopt;
}

Micros idleLimit(const IdleTimes &times) {
  return times.Named ? std::min(IdleLimit, keptFor(times)) : IdleLimit;
}

bool mayUse(const IdleTimes &times, Instant idleSince, bool isIdempotent,
            Instant now) {
  Micros idleTime = now - idleSince;
  if (isIdempotent)
    return idleTime <= idleLimit(times);
  if (times.LostAt && idleSince <= *times.LostAt)
    return false;
  if (idleTime <= std::min(IdleLimitNonIdempotent, idleLimit(times)))
    return true;
  return hasJustWorked(times, now) &&
         idleTime <= std::min(IdleLimit, keptFor(times));
}

bool hasJustWorked(const IdleTimes &times, Instant now) {
  bool isLost = times.LostAt && times.WorkedAt <= times.LostAt;
  return times.WorkedAt && !isLost &&
         now - *times.WorkedAt <= IdleLimitNonIdempotent;
}

void noteExchange(IdleTimes &times, std::optional<Micros> named,
                  Micros idleBefore, Instant now) {
  times.Named = named;
  times.Survived = std::max(times.Survived, idleBefore);
  times.WorkedAt = now;
}

void noteClosed(IdleTimes &times, Micros idleTime) {
  times.Survived = std::min(times.Survived, idleTime);
}

void noteLoss(IdleTimes &times, Instant now) { times.LostAt = now; }

} // namespace hickoryglade::fleet
