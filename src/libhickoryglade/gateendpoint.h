#pragma once

#include "libhickoryglade/announcement.h"
#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/standing.h"
#include "libhickoryglade/ticket.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// A request that holds a slot of an endpoint.
struct SlotHolder {
  Ticket Request;
  Instant Since;
  /// False while the slot is held for a body that has not arrived.
  bool IsStarted = false;
};

/// A request whose connection broke while it ran.
struct DroppedRequest {
  std::uint64_t Fingerprint = 0;
  Instant At;
};

/// An endpoint behind this gate and what the gate has seen of it.
struct GateEndpoint {
  Announcement Announced;
  /// Counts the incarnations that this gate has seen; fences late results.
  std::int64_t Generation = 1;
  Instant LastAnnounced;
  /// Silence after which the endpoint is taken for gone.
  Micros AnnouncementLimit = std::chrono::milliseconds(1'900);
  Standing State = Standing::Healthy;
  /// Why the standing is what it is.
  std::string StateReason = "announced";
  std::vector<SlotHolder> Holders;
  std::vector<DroppedRequest> Dropped;
  Instant LastCompletion;
  /// Latest completions, oldest first; bounded.
  std::deque<Instant> Completed;
  /// True from when it was found hanging until it has answered again.
  bool IsHanging = false;
  /// Requests that started before this say nothing of its present state.
  Instant EvidenceSince;
  int ConsecutiveFailures = 0;
  /// Share of failures among the latest outcomes.
  double FailureShare = 0;
  /// Refusals in a row by the endpoint though it had a slot free.
  int ConsecutiveSheds = 0;
  /// False once nothing has been found listening at its address.
  bool IsListening = true;
  /// Answers since the endpoint's start.
  int Completions = 0;
  /// When it last passed a trial, while that still counts.
  std::optional<Instant> RecoveredAt;
  /// Answers since the present trial began.
  int TrialAnswers = 0;
  /// Times that the endpoint fell ill again soon after it was readmitted.
  int Relapses = 0;
  Instant StateSince;
  /// End of the ejection lease by this node's clock.
  std::optional<Instant> EjectedUntil;
};

/// Share of failures above which a doubtful endpoint gets trials only, while
/// there are others in good standing, and one answer does not clear it.
constexpr double MaxFailureShare = 0.5;

/// A request is overdue once it has taken this many times what entries have
/// seen such requests take anywhere.
constexpr int OverdueFactor = 6;

/// Takes note of a completed request.
void noteCompletion(GateEndpoint &endpoint, Instant now);

/// True if a request has started since the endpoint's standing last changed.
bool hasStartedSinceChange(const GateEndpoint &endpoint);

/// True for a request that has run for much longer than such requests take, and
/// has time for another try.
bool shouldRetryElsewhere(const SlotHolder &holder, const ServicePolicy &policy,
                          Instant now);

int freeSlots(const GateEndpoint &endpoint);
int longHeld(const GateEndpoint &endpoint, Instant now, Micros longAfter);

EndpointEvidence evidenceOf(const GateEndpoint &endpoint,
                            const ServicePolicy &policy, Instant now);

/// Time that a sick endpoint rests before a trial; doubles with relapses.
Micros restBeforeTrial(const ServicePolicy &policy, int relapses);

} // namespace hickoryglade
