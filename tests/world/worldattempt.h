#pragma once

#include "world/world.h"

#include <set>
#include <string>

namespace hickoryglade::world {

/// Qualified name of the only service.
inline const std::string Service = "w/s";

/// One attempt of a call, with the state that its entry keeps.
struct World::Attempt {
  std::shared_ptr<Call> Request;
  std::string Id;
  /// Gates that hold a ticket or the request itself.
  std::set<std::string> Gates;
  /// Gate that the request body is sent to; empty before a grant.
  std::string ChosenGate;
  bool AwaitsGrant = false;
  bool OnlyIfFree = false;
  bool IsSpill = false;
  bool IsSerialized = false;
  /// Target gates that have no healthy endpoint as far as the entry knows.
  std::set<std::string> DoubtfulGates;
  bool IsFinished = false;
  std::string Endpoint;
  bool HasResult = false;
  CallOutcome Result = CallOutcome::Pending;
  Error ResultError;
};

} // namespace hickoryglade::world
