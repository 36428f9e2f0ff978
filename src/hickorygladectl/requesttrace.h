#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace hickoryglade::ctl {

/// Collects the lines about one request from the logs of several nodes.
class RequestTrace {
public:
  /// Takes the caller's id of the request or the fleet's.
  explicit RequestTrace(std::string id) : Id(std::move(id)) {}

  /// Reads the lines of one log; skips lines that are not JSON.
  void read(std::istream &in);

  /// Returns the lines about the request, sorted by time.
  std::vector<nlohmann::json> lines() const;

private:
  std::string Id;
  std::vector<nlohmann::json> All;
};

/// Formats a line as text: time, node, event and the other fields except level.
std::string formatLine(const nlohmann::json &line);

} // namespace hickoryglade::ctl
