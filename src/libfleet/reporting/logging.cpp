#include "libfleet/reporting/logging.h"

#include "libfleet/reporting/logbudget.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>

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

/// Serialises the members of an object without its braces, after a comma.
std::string membersOf(const nlohmann::json &fields) {
  if (!fields.is_object() || fields.empty())
    return "";
  std::string text =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return "," + text.substr(1, text.size() - 2);
}

/// Writes to standard output without blocking. A writable pipe accepts a line
/// of up to 4,096 bytes whole.
class OutputSink : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// Returns and resets the number of lines lost because the pipe was full.
  int takeLost() { return Lost.exchange(0); }

protected:
  void sink_it_(const spdlog::details::log_msg &message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    bool hasRoom = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
    if (!hasRoom || write(STDOUT_FILENO, line.data(), line.size()) < 0)
      ++Lost;
  }
  void flush_() override {}

private:
  std::atomic<int> Lost = 0;
};

std::shared_ptr<OutputSink> &output() {
  static std::shared_ptr<OutputSink> it;
  return it;
}

std::mutex BudgetMutex;
LogBudget Budget;

std::int64_t currentSecond() {
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

void writeLine(LogLevel level, std::string_view event,
               const nlohmann::json &fields) {
  spdlog::log(toSpdlog(level), "\"event\":\"{}\"{}", event, membersOf(fields));
}

/// Logs how many lines were dropped before this second.
void reportDropped(std::int64_t second) {
  for (const LogBudget::Dropped &it : Budget.takeDropped(second))
    writeLine(LogLevel::Warn, "log_dropped",
              {{"of", it.Event}, {"lines", it.Lines}, {"reason", "budget"}});
  if (int lost = output() ? output()->takeLost() : 0)
    writeLine(LogLevel::Warn, "log_dropped",
              {{"lines", lost}, {"reason", "the reader is slow"}});
}

} // namespace

void startLogging(const std::string &node, const std::string &level) {
  output() = std::make_shared<OutputSink>();
  auto logger = std::make_shared<spdlog::logger>("fleet", output());
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
  std::lock_guard guard(BudgetMutex);
  std::int64_t second = currentSecond();
  reportDropped(second);
  if (Budget.tryAcquire(std::string(event), level >= LogLevel::Warn, second))
    writeLine(level, event, fields);
}

bool isLogged(LogLevel level) { return spdlog::should_log(toSpdlog(level)); }

} // namespace hickoryglade::fleet
