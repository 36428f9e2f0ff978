#pragma once

#include "platform/platformfleet.h"
#include "soak/judge.h"
#include "soak/routes.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace hickoryglade::soak {

struct OperatorPlan {
  std::uint64_t Seed = 0;
  /// With a service of long runs, its gates are not stopped in turn, but each
  /// in a pair with an entry that waits for it.
  Layout Services = {};
  /// Range of the time between two SIGTERMs.
  int LeastStopGapMs = 500;
  int MostStopGapMs = 800;
  std::int64_t GraceMs = 6'000;
  /// Time between the end of a process and the next one's start.
  std::int64_t RestartMs = 1'000;

  auto operator<=>(const OperatorPlan &) const = default;
};

struct OperatorRecord {
  std::vector<NodeEvent> Starts;
  std::vector<NodeEvent> Stops;
  std::vector<NodeEvent> Ends;
  /// Stops of a gate and an entry that waited for it.
  int Pairs = 0;
  /// Runs of other entries that were under way at the SIGTERM of their gate.
  int LongRuns = 0;
  /// Processes that were killed at the end of their grace period.
  int Killed = 0;
  /// Processes that ended by themselves.
  int EndedAlone = 0;
};

/// Stops the nodes in turn and in pairs and restarts them, sends SIGHUP,
/// changes the settings and pauses the store, until it is told to end.
OperatorRecord runOperator(const OperatorPlan &plan,
                           testing::PlatformFleet &fleet,
                           const std::vector<std::string> &nodes,
                           const std::atomic<bool> &isOver);

/// Starts a node and its settings as deploy/node.json has them.
void startNode(testing::PlatformFleet &fleet, const std::string &name,
               int index, const Layout &layout);

/// Bounds and settings of all nodes.
void applySettings(testing::PlatformFleet &fleet);

} // namespace hickoryglade::soak
