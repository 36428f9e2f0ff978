#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace hickoryglade::fleet {

enum class LogLevel { Debug, Info, Warn, Error };

/// Sends all later log lines to standard output as JSON, one object a line.
/// Lines that exceed the limit per second, or that would block on a slow
/// reader, are dropped and counted.
void startLogging(const std::string &node, const std::string &level);

void setLogLevel(const std::string &level);

/// Writes one line: time, level, node, event and the given fields.
void logEvent(LogLevel level, std::string_view event,
              const nlohmann::json &fields);

bool isLogged(LogLevel level);

} // namespace hickoryglade::fleet
