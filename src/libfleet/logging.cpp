#include "libfleet/logging.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hickoryglade::fleet {

namespace {

spdlog::level::level_enum toSpdlog(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warn:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// The members of an object without its braces, behind a comma.
std::string membersOf(const nlohmann::json &fields) {
  if (!fields.is_object() || fields.empty())
    return "";
  std::string text =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return "," + text.substr(1, text.size() - 2);
}

} // namespace

void startLogging(const std::string &node, const std::string &level) {
  auto logger = spdlog::stderr_logger_mt("fleet");
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)"
                      R"("node":)" +
                      nlohmann::json(node).dump() + ",%v}");
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
}

void setLogLevel(const std::string &level) {
  spdlog::set_level(spdlog::level::from_str(level));
}

void logEvent(LogLevel level, std::string_view event,
              const nlohmann::json &fields) {
  if (!isLogged(level))
    return;
  spdlog::log(toSpdlog(level), "\"event\":\"{}\"{}", event, membersOf(fields));
}

bool isLogged(LogLevel level) { return spdlog::should_log(toSpdlog(level)); }

} // namespace hickoryglade::fleet
