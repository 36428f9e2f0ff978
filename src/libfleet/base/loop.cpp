#include "libfleet/base/loop.h"

#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace hickoryglade::fleet {

namespace {

/// Runs handlers until the executor is stopped.
void runUntilStopped(asio::io_context &io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception &fault) {
      logEvent(LogLevel::Error, "handler_failed", {{"reason", fault.what()}});
    }
  }
}

} // namespace

void Loop::start() {
  Runner = std::thread([this] { runUntilStopped(Io); });
}

void Loop::stop() {
  Io.stop();
  if (Runner.joinable())
    Runner.join();
}

} // namespace hickoryglade::fleet
