#pragma once

#include "world/world.h"

#include <set>
#include <string>

namespace hickoryglade::world {

/// Qualified name of the one service.
inline const std::string Service = "w/s";

/// One try of a call, as its entry sees it.
struct World::Attempt {
  std::shared_ptr<Call> Request;
  std::string Id;
  /// Gates at which a ticket or the request itself waits.
  std::set<std::string> Gates;
  /// The gate that has the body.
  std::string ChosenGate;
  bool AwaitsGrant = false;
  bool OnlyIfFree = false;
  bool IsSpill = false;
  bool IsSerialized = false;
  /// Gates that the entry knows to be doubtful.
  std::set<std::string> DoubtfulGates;
  bool IsFinished = false;
  std::string Endpoint;
  bool HasResult = false;
  CallOutcome Result = CallOutcome::Pending;
  Error ResultError;
};

} // namespace hickoryglade::world
