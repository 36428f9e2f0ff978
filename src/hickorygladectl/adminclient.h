#pragma once

#include <nlohmann/json.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace hickoryglade::ctl {

/// A node's answer to an admin request.
struct AdminReply {
  int Status = 0;
  nlohmann::json Body;
};

/// Sends a request to a node's admin address. Fails if the node is unreachable
/// or does not answer in time.
absl::StatusOr<AdminReply> sendAdminRequest(const std::string &address,
                                            const std::string &method,
                                            const std::string &target,
                                            const std::string &body,
                                            std::chrono::milliseconds timeout);

} // namespace hickoryglade::ctl
