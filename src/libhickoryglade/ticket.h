#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade {

/// A request without its body: origin, service, deadline and expected cost, by
/// which a gate decides whether and when it may run.
struct Ticket {
  /// Request id and attempt number, as in "id/1". Never reused.
  std::string AttemptId;
  std::string Workspace;
  /// Qualified service name.
  std::string Service;
  Instant Deadline;
  /// Time until which an answer has its full value to the caller, if the entry
  /// gives one.
  std::optional<Instant> Target;
  /// Slot time that entries have learned for such requests.
  Micros ExpectedCost{0};
  bool IsLong = false;
  bool IsIdempotent = false;
  /// Hash of the request's content; equal for copies of a request.
  std::uint64_t Fingerprint = 0;
  /// Number of endpoints that earlier attempts of this request have crashed.
  int KnownCrashes = 0;
  /// True if a free slot is held until a claim, instead of starting at once.
  bool AwaitsClaim = false;
  /// True if the request must not wait for a slot.
  bool OnlyIfFree = false;
  /// True if an earlier attempt has reached an endpoint.
  bool IsRepeat = false;
  /// True if the entry knows that the endpoint is doubtful or on trial.
  bool AcceptsDoubtful = false;
  /// True if it may go to an endpoint whose running requests take longer than
  /// usual, since this was so at other gates too.
  bool AcceptsSilent = false;
  /// True if it was routed here since healthy endpoints have no free slot.
  bool IsSpill = false;
  /// True if its entry has routed it to the gate that serializes all copies of
  /// its suspect content.
  bool IsSerialized = false;
  /// Rank among requests that compete for a slot; 0 is served first.
  int Priority = 0;
  /// True if no attempt is left after this one, or its entry is stopping.
  bool IsLastTry = false;
  /// True if the entry decides when a run that is overdue is ended; otherwise
  /// the gate ends it at once.
  bool DecidesRetry = false;

  /// Share of the service's arrivals at endpoints that were shed recently, in
  /// percent, as far as the entry knows it.
  std::optional<int> ShedPercent;

  /// Longest wait that the entry allows; the gate's settings apply if empty.
  std::optional<Micros> MaxWait;

  /// Set by the gate when it queues the request.
  Instant WaitingSince;
  Micros EstimatedWait{0};
  /// Set by the queue when the request is to start because of its long wait. It
  /// may then take a reserved slot of an endpoint that only more urgent
  /// requests use.
  bool IsDue = false;

  bool operator==(const Ticket &) const = default;
};

} // namespace hickoryglade
