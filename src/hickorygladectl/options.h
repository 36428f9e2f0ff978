#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::ctl {

/// Exit statuses, for scripts.
enum ExitStatus {
  ExitDone = 0,
  ExitUsage = 2,
  ExitConflict = 3,
  ExitInvalid = 4,
  ExitUnreachable = 5,
  ExitNotYetInForce = 6,
  ExitNotFound = 7,
};

/// The parsed command line.
struct Options {
  std::string Node = "127.0.0.1:9200";
  std::string Command;
  std::vector<std::string> Arguments;
  std::string Value;
  std::string File;
  std::optional<long long> Base;
  std::string Id;
  bool IsJson = false;
  bool IsRemoval = false;
  int Count = 0;
  std::chrono::milliseconds Wait{7'000};
};

extern const char *const Usage;

/// Returns an exit status if the program should exit at once.
std::optional<int> parseOptions(int argc, char **argv, Options &options);

} // namespace hickoryglade::ctl
