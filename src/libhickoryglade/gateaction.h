#pragma once

#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/standing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickoryglade {

/// Send the attempt to the endpoint now.
struct StartAction {
  std::string AttemptId;
  std::string Endpoint;

  bool operator==(const StartAction &) const = default;
};

/// Report that a slot is held until the attempt's body arrives.
struct GrantAction {
  std::string AttemptId;
  std::string Endpoint;

  bool operator==(const GrantAction &) const = default;
};

/// Report that the attempt will not run here.
struct RefuseAction {
  std::string AttemptId;
  Error Reason;

  bool operator==(const RefuseAction &) const = default;
};

/// Abort a running attempt: close its connection and answer with the error.
struct AbortAction {
  std::string AttemptId;
  Error Reason;

  bool operator==(const AbortAction &) const = default;
};

/// Report to the entry that an attempt is overdue at an endpoint that stalls,
/// or that its gate ends soon; the entry may start another attempt, and ends
/// this one with giveUpOverdue() when the other has answered.
struct OverdueAction {
  std::string AttemptId;
  /// Time until the gate aborts the attempt, if it is stopping.
  std::optional<Micros> EndsIn = std::nullopt;

  bool operator==(const OverdueAction &) const = default;
};

/// Announce an endpoint's changed standing to the other members.
struct StandingAction {
  std::string Endpoint;
  Standing State = Standing::Healthy;
  std::string Reason;

  bool operator==(const StandingAction &) const = default;
};

/// Why a request waits though a slot is free: because of the endpoint's limit,
/// or since the slot is reserved for more urgent requests.
enum class HoldReason { Limit, Reserved };

/// Report that a request waits though a slot is free.
struct HoldAction {
  std::string AttemptId;
  Micros ExpectedWait{0};
  HoldReason Reason = HoldReason::Limit;

  bool operator==(const HoldAction &) const = default;
};

/// Report that an endpoint has named a limit, changed it or ended it.
struct LimitAction {
  std::string Endpoint;
  std::string Service;
  /// Requests per second; nothing if there is no limit.
  std::optional<double> Before;
  std::optional<double> After;

  bool operator==(const LimitAction &) const = default;
};

/// Acquire an ejection lease for an unhealthy endpoint, or give it up.
struct EjectionAction {
  std::string Endpoint;
  std::string Service;
  bool IsWanted = true;

  bool operator==(const EjectionAction &) const = default;
};

/// Report that an endpoint crashed while it ran a request with this content.
struct CrashAction {
  std::uint64_t Fingerprint = 0;
  std::string Service;
  /// Name of the crash, see crashName().
  std::string Crash;

  bool operator==(const CrashAction &) const = default;
};

/// Report that a content that is held against crashes has been completed.
struct ContentClearedAction {
  std::uint64_t Fingerprint = 0;

  bool operator==(const ContentClearedAction &) const = default;
};

using GateAction =
    std::variant<StartAction, GrantAction, RefuseAction, AbortAction,
                 OverdueAction, StandingAction, HoldAction, LimitAction,
                 EjectionAction, CrashAction, ContentClearedAction>;
using GateActions = std::vector<GateAction>;

} // namespace hickoryglade
