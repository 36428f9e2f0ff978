#include "hickorygladectl/commands.h"
#include "hickorygladectl/requesttrace.h"

#include <fstream>
#include <iostream>
#include <span>

namespace hickoryglade::ctl {

int explain(const Options &options) {
  if (options.Arguments.empty()) {
    std::cerr << "hickorygladectl: explain requires the id of a request\n";
    return ExitUsage;
  }
  RequestTrace trace(options.Arguments.front());
  for (const std::string &file : std::span(options.Arguments).subspan(1)) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << file << ": cannot be read\n";
      return ExitUsage;
    }
    trace.read(in);
  }
  if (options.Arguments.size() == 1)
    trace.read(std::cin);
  std::vector<nlohmann::json> lines = trace.lines();
  for (const nlohmann::json &it : lines)
    std::cout << (options.IsJson ? it.dump() : formatLine(it)) << "\n";
  if (!lines.empty())
    return ExitDone;
  std::cerr << "hickorygladectl: no line about " << options.Arguments.front()
            << "\n";
  return ExitNotFound;
}

} // namespace hickoryglade::ctl
