#pragma once

#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/standing.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hickoryglade {

/// The attempt may be sent to the endpoint now.
struct StartAction {
  std::string AttemptId;
  std::string Endpoint;

  bool operator==(const StartAction &) const = default;
};

/// A slot is held until the attempt's body arrives.
struct GrantAction {
  std::string AttemptId;
  std::string Endpoint;

  bool operator==(const GrantAction &) const = default;
};

/// The attempt will not run here.
struct RefuseAction {
  std::string AttemptId;
  Error Reason;

  bool operator==(const RefuseAction &) const = default;
};

/// A running attempt is given up: close its connection and answer.
struct AbortAction {
  std::string AttemptId;
  Error Reason;

  bool operator==(const AbortAction &) const = default;
};

/// An endpoint's standing has changed; members should hear of it.
struct StandingAction {
  std::string Endpoint;
  Standing State = Standing::Healthy;
  std::string Reason;

  bool operator==(const StandingAction &) const = default;
};

/// The gate wants an ejection lease for a sick endpoint, or no longer.
struct EjectionAction {
  std::string Endpoint;
  std::string Service;
  bool IsWanted = true;

  bool operator==(const EjectionAction &) const = default;
};

/// A request's content was running when an endpoint crashed.
struct CrashAction {
  std::uint64_t Fingerprint = 0;
  std::string Service;

  bool operator==(const CrashAction &) const = default;
};

using GateAction =
    std::variant<StartAction, GrantAction, RefuseAction, AbortAction,
                 StandingAction, EjectionAction, CrashAction>;
using GateActions = std::vector<GateAction>;

} // namespace hickoryglade
