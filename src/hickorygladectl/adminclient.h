#pragma once

#include <nlohmann/json.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace hickoryglade::ctl {

/// Answer of a node to an operator's question.
struct AdminReply {
  int Status = 0;
  nlohmann::json Body;
};

/// Asks a node; fails if it cannot be reached or does not answer in time.
absl::StatusOr<AdminReply> sendAdminRequest(const std::string &address,
                                            const std::string &method,
                                            const std::string &target,
                                            const std::string &body,
                                            std::chrono::milliseconds timeout);

} // namespace hickoryglade::ctl
