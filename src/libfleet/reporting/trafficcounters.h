#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hickoryglade::fleet {

/// Why bytes go from one node to another.
enum class TrafficCause {
  /// Heads of requests and their bodies.
  Requests,
  /// Heads of answers and their bodies.
  Answers,
  /// Tickets, grants and withdrawals.
  Tickets,
  /// Refusals and failures.
  Refusals,
  /// Introductions and heartbeats of links.
  Links,
  /// What became of attempts whose link was lost.
  Questions,
  Settings,
  Keys,
  Membership,
  Standings,
};

constexpr std::size_t TrafficCauses = 10;

std::string_view toString(TrafficCause cause);

/// Bytes that a node has sent to others, without those of TCP and IP. Safe to
/// use from every thread.
class TrafficCounters {
public:
  void add(TrafficCause cause, bool isFar, std::size_t bytes);

  /// Bytes so far, to nodes of other data centres or of the own one.
  std::uint64_t bytes(TrafficCause cause, bool isFar) const;

private:
  using Row = std::array<std::atomic<std::uint64_t>, TrafficCauses>;
  Row Near{};
  Row Far{};
};

} // namespace hickoryglade::fleet
