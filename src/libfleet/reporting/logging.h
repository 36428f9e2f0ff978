#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace hickoryglade::fleet {

enum class LogLevel { Debug, Info, Warn, Error };

/// Sends all later log lines to standard output as JSON, one object a line.
/// Lines beyond a budget a second, and those that would have to wait for a slow
/// reader, are left out and counted.
void startLogging(const std::string &node, const std::string &level);

void setLogLevel(const std::string &level);

/// Writes one line: time, level, node, event and the given fields.
void logEvent(LogLevel level, std::string_view event,
              const nlohmann::json &fields);

bool isLogged(LogLevel level);

} // namespace hickoryglade::fleet
