#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hickoryglade::fleet {

/// Why a node sends bytes to another node.
enum class TrafficCause {
  /// Headers and bodies of requests.
  Requests,
  /// Headers and bodies of responses.
  Answers,
  /// Tickets, grants, withdrawals and quota tokens.
  Tickets,
  /// Refusals and failures.
  Refusals,
  /// Handshakes and heartbeats of links.
  Links,
  /// Queries for the outcome of attempts whose link was lost.
  Questions,
  Settings,
  Keys,
  Membership,
  Standings,
};

constexpr std::size_t TrafficCauses = 10;

std::string_view toString(TrafficCause cause);

/// Counts the bytes that a node sends to other nodes, without TCP and IP
/// overhead. Thread-safe.
class TrafficCounters {
public:
  void add(TrafficCause cause, bool isFar, std::size_t bytes);

  /// Returns the bytes sent so far to nodes of other data centres (far) or of
  /// the same one.
  std::uint64_t bytes(TrafficCause cause, bool isFar) const;

private:
  using Row = std::array<std::atomic<std::uint64_t>, TrafficCauses>;
  Row Near{};
  Row Far{};
};

} // namespace hickoryglade::fleet
