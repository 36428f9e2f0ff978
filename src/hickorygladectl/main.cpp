#include "hickorygladectl/commands.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

/// The operators' command-line tool.

namespace {

using namespace hickoryglade::ctl;

struct Command {
  std::string_view Name;
  int (*Run)(const Options &);
};

constexpr std::array<Command, 6> Commands{{
    {"publish", publish},
    {"get", get},
    {"validate", validate},
    {"status", status},
    {"watch", watch},
    {"explain", explain},
}};

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  if (auto status = parseOptions(argc, argv, options))
    return *status;
  auto it = std::ranges::find(Commands, options.Command, &Command::Name);
  if (it == Commands.end()) {
    std::cerr << Usage;
    return ExitUsage;
  }
  return it->Run(options);
}
