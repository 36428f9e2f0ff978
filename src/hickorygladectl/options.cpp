#include "hickorygladectl/options.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace hickoryglade::ctl {

const char *const Usage =
    R"(Usage: hickorygladectl [OPTIONS] COMMAND [ARGUMENTS]

Publishes settings to a hickoryglade fleet and prints its status.

Commands:
  publish PATH    set or remove the value at a path (--value, --file or
                  --remove) and wait until it is in force on every member
  get PATH [KEY]  print the values in force at a path and where each is
                  inherited from
  validate PATH   check a value (--value or --file) without publishing it
  status          print members, endpoints and quarantines
  watch           print the status whenever it changes
  explain ID [FILE ...]
                  print the log lines of one request in order of time, from
                  the logs of nodes (files, or standard input); ID is the
                  request id of the caller or of the fleet

Options:
  -n, --node IP:PORT  admin address of any node (default 127.0.0.1:9200)
  -v, --value JSON    the value, as JSON
  -f, --file FILE     file that contains the value, as JSON with comments
  -r, --remove        remove the value at the path
  -b, --base N        revision that the change is based on (default: the
                      current one)
  -i, --id ID         id of the change; publish again with the same id if the
                      outcome was unknown
  -w, --wait-ms N     how long to wait for every member (default 7000)
  -c, --count N       stop watching after N reports
  -j, --json          print JSON
  -h, --help          print this help and exit
  -V, --version       print the version and exit

Exit status: 0 success, 2 usage error, 3 conflict with another change,
4 invalid value, 5 node or log unreachable, 6 accepted but not yet in force
on every member, 7 no log line about the request.
)";

std::optional<int> parseOptions(int argc, char **argv, Options &options) {
  const option longOptions[] = {
      {"node", required_argument, nullptr, 'n'},
      {"value", required_argument, nullptr, 'v'},
      {"file", required_argument, nullptr, 'f'},
      {"remove", no_argument, nullptr, 'r'},
      {"base", required_argument, nullptr, 'b'},
      {"id", required_argument, nullptr, 'i'},
      {"wait-ms", required_argument, nullptr, 'w'},
      {"count", required_argument, nullptr, 'c'},
      {"json", no_argument, nullptr, 'j'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  };
  int it = 0;
  while ((it = getopt_long(argc, argv, "n:v:f:rb:i:w:c:jhV", longOptions,
                           nullptr)) != -1) {
    switch (it) {
    case 'n':
      options.Node = optarg;
      break;
    case 'v':
      options.Value = optarg;
      break;
    case 'f':
      options.File = optarg;
      break;
    case 'r':
      options.IsRemoval = true;
      break;
    case 'b':
      options.Base = std::atoll(optarg);
      break;
    case 'i':
      options.Id = optarg;
      break;
    case 'w':
      options.Wait = std::chrono::milliseconds(std::atoll(optarg));
      break;
    case 'c':
      options.Count = std::atoi(optarg);
      break;
    case 'j':
      options.IsJson = true;
      break;
    case 'h':
      std::cout << Usage;
      return ExitDone;
    case 'V':
      std::cout << "hickorygladectl " << HICKORYGLADE_VERSION << "\n";
      return ExitDone;
    default:
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  if (optind == argc) {
    std::cerr << Usage;
    return ExitUsage;
  }
  options.Command = argv[optind];
  options.Arguments.assign(argv + optind + 1, argv + argc);
  return std::nullopt;
}

} // namespace hickoryglade::ctl
