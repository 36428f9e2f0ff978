#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade {

/// A request as a gate sees it before the body: who asks for what, until
/// when, and at what expected cost.
struct Ticket {
  /// Request id and attempt number: "id/1". Never used twice.
  std::string AttemptId;
  std::string Workspace;
  /// Qualified service name.
  std::string Service;
  Instant Deadline;
  /// Until when an answer has its full value to the caller, if its entry says.
  std::optional<Instant> Target;
  /// Slot time that entries have seen such requests take.
  Micros ExpectedCost{0};
  bool IsLong = false;
  bool IsIdempotent = false;
  /// Hash of the request's content; equal for a resent copy.
  std::uint64_t Fingerprint = 0;
  /// Endpoints that this very request has crashed on its way here.
  int KnownCrashes = 0;
  /// True if a free slot is to be held for a claim instead of started.
  bool AwaitsClaim = false;
  /// True if the request is not to wait for a slot.
  bool OnlyIfFree = false;
  /// True if an endpoint has seen the request before.
  bool IsRepeat = false;
  /// True if the entry knows that the endpoint is doubtful or on trial.
  bool AcceptsDoubtful = false;
  /// True if it may go to an endpoint whose running work is silent for longer
  /// than usual, as others were silent too.
  bool AcceptsSilent = false;
  /// True if it comes because endpoints in good standing have no slot free.
  bool IsSpill = false;
  /// True if its entry has sent it to the one gate at which all copies of
  /// suspect content meet.
  bool IsSerialized = false;
  /// Rank among requests that compete for a slot; 0 goes first.
  int Priority = 0;
  /// True if no other endpoint may be tried after this one.
  bool IsLastTry = false;

  /// Longest wait that its entry allows; nothing if it leaves that to the gate.
  std::optional<Micros> MaxWait;

  /// Set by the gate when it lets the request wait.
  Instant WaitingSince;
  Micros EstimatedWait{0};

  bool operator==(const Ticket &) const = default;
};

} // namespace hickoryglade
