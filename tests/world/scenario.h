#pragma once

#include "world/world.h"

#include <string>
#include <vector>

namespace hickoryglade::world {

/// Result of a scenario run.
struct ScenarioResult {
  /// Failed expectations with their line numbers.
  std::vector<std::string> Failures;
  std::vector<std::string> Trace;
};

/// Runs a scenario with the named mechanisms disabled. Actions (`at`) take
/// place during the `run` lines that follow them. The lines are:
///   seed N | node A B .. | endpoint NAME on NODE [slots N]
///   policy KEY VALUE
///   at MS load RATE for MS work MS [long PERCENT] [post]
///   at MS request ID via NODE work MS [post] [poison] [timeout MS]
///   at MS cut A B | heal A B | pause A | resume A | stall E | recover E
///   at MS leave E | log away | log back | publish ID NODE PATH BASE JSON
///   run MS
///   expect ejected at most N | STANDING E | ID told OUTCOME | honest
///   expect crashes at most N | left quiet | settings agree
///   expect served at least PERCENT
ScenarioResult runScenario(const std::string &text,
                           const std::vector<std::string> &disabled);

} // namespace hickoryglade::world
