#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace hickoryglade::ctl {

/// Collects what the logs of several nodes say of one request.
class RequestTrace {
public:
  /// The id is the caller's own or the fleet's.
  explicit RequestTrace(std::string id) : Id(std::move(id)) {}

  /// Takes the lines of one log; lines that are not JSON are passed over.
  void read(std::istream &in);

  /// Lines about the request in the order of time.
  std::vector<nlohmann::json> lines() const;

private:
  std::string Id;
  std::vector<nlohmann::json> All;
};

/// One line for people: time, node, event and the other fields.
std::string formatLine(const nlohmann::json &line);

} // namespace hickoryglade::ctl
