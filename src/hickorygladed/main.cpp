#include "libfleet/node/node.h"
#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <malloc.h>
#include <sstream>

/// The daemon: reads its settings and runs a node until a signal stops it.

namespace {

using namespace hickoryglade;

constexpr int ExitUsage = 2;

/// Size from which memory is returned to the system once it is freed. Without a
/// fixed value the allocator raises it with each long body that it frees, and
/// then keeps memory in fragments.
constexpr int MmapBytes = 128 * 1024;

constexpr const char *Usage =
    R"(Usage: hickorygladed --settings FILE [--check | --print-settings]

Runs one node of a hickoryglade fleet until SIGTERM or SIGINT, then finishes
what is in flight and exits. SIGHUP reads the settings again: the log level and
the limits of a stop change at once, anything else with the next start.

  -s, --settings FILE  settings of this node, JSON with comments
  -c, --check          check the settings and exit
  -p, --print-settings print the settings in force, defaults included, as JSON
                       and exit
  -h, --help           print this help and exit
  -V, --version        print the version and exit

Exit status: 0 after a clean stop, 1 if a start failed or requests in flight
had to be cut off, 2 if the command line or the settings are wrong.
)";

struct Options {
  std::string SettingsFile;
  bool IsCheck = false;
  bool IsPrint = false;
};

/// Returns an exit status if the program should exit at once.
std::optional<int> parseOptions(int argc, char **argv, Options &options) {
  const option longOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"print-settings", no_argument, nullptr, 'p'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  };
  int it = 0;
  while ((it = getopt_long(argc, argv, "s:cphV", longOptions, nullptr)) != -1) {
    switch (it) {
    case 's':
      options.SettingsFile = optarg;
      break;
    case 'c':
      options.IsCheck = true;
      break;
    case 'p':
      options.IsPrint = true;
      break;
    case 'h':
      std::cout << Usage;
      return 0;
    case 'V':
      std::cout << "hickorygladed " << HICKORYGLADE_VERSION << "\n";
      return 0;
    default:
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  if (options.SettingsFile.empty() || optind != argc) {
    std::cerr << Usage;
    return ExitUsage;
  }
  return std::nullopt;
}

/// Prints every fault and returns nothing if the file is invalid.
std::optional<fleet::NodeSettings> loadSettings(const std::string &file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << in.rdbuf();
  fleet::NodeSettingsResult result = fleet::parseNodeSettings(text.str());
  for (const SettingsFault &it : result.Faults)
    std::cerr << file << ": " << it.Where << ": " << it.Reason << "\n";
  if (!result.Faults.empty())
    return std::nullopt;
  return result.Settings;
}

/// Reloads the settings file. Only some settings can change while a node runs;
/// the log says whether others wait for a restart.
void reload(const std::string &file, fleet::NodeSettings &settings,
            fleet::Node &node) {
  std::optional<fleet::NodeSettings> next = loadSettings(file);
  if (!next) {
    fleet::logEvent(fleet::LogLevel::Error, "reload_refused", {{"file", file}});
    return;
  }
  bool needsRestart = !node.reload(*next);
  fleet::logEvent(fleet::LogLevel::Info, "reloaded",
                  {{"file", file},
                   {"changed", *next != settings},
                   {"needs_restart", needsRestart}});
  settings = *next;
}

/// Handles signals; returns when the node should stop.
void waitForStop(const sigset_t &signals, const std::string &file,
                 fleet::NodeSettings settings, fleet::Node &node) {
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    fleet::logEvent(fleet::LogLevel::Info, "signal", {{"number", signal}});
    if (signal == SIGHUP)
      reload(file, settings, node);
  }
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  if (auto status = parseOptions(argc, argv, options))
    return *status;
  auto settings = loadSettings(options.SettingsFile);
  if (!settings)
    return ExitUsage;
  if (options.IsCheck) {
    std::cout << options.SettingsFile << ": ok\n";
    return 0;
  }
  if (options.IsPrint) {
    constexpr int indent = 2;
    std::cout << fleet::toJson(*settings).dump(indent) << "\n";
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, MmapBytes);

  fleet::startLogging(settings->Node, settings->LogLevel);
  fleet::Node node(*settings);
  if (absl::Status status = node.start(); !status.ok()) {
    std::cerr << "cannot start: " << status.message() << "\n";
    return 1;
  }
  waitForStop(signals, options.SettingsFile, *settings, node);
  return node.stop() ? 0 : 1;
}
