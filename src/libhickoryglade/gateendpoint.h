#pragma once

#include "libhickoryglade/announcement.h"
#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/standing.h"
#include "libhickoryglade/ticket.h"
#include "libhickoryglade/tokenbucket.h"

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
  /// When the entry was last told that the request is overdue.
  std::optional<Instant> ReportedAt = std::nullopt;
};

/// A request whose connection broke while it ran.
struct DroppedRequest {
  std::uint64_t Fingerprint = 0;
  /// Incarnation of the endpoint that ran it.
  std::string Incarnation;
  Instant At;
};

/// Limit that an endpoint has named in its answers.
struct EndpointLimit {
  /// Requests per second that it takes from all nodes together.
  double PerSecond = 0;
  /// One token for each request that may start.
  TokenBucket Tokens;
  /// When the limit was named or last lowered.
  Instant LoweredAt;
};

/// State of an endpoint behind this gate, from its announcements and from the
/// attempts that this gate has sent to it.
struct GateEndpoint {
  Announcement Announced;
  /// Number of incarnations that this gate has seen; fences late results.
  std::int64_t Generation = 1;
  Instant LastAnnounced;
  /// Time without announcements after which the endpoint counts as gone.
  Micros AnnouncementLimit = std::chrono::milliseconds(1'900);
  Standing State = Standing::Healthy;
  /// Reason for the present standing.
  std::string StateReason = "announced";
  std::vector<SlotHolder> Holders;
  std::vector<DroppedRequest> Dropped;
  Instant LastCompletion;
  /// Times of the latest completions, oldest first; bounded.
  std::deque<Instant> Completed;
  /// True from when a hang was detected until the endpoint recovers.
  bool IsHanging = false;
  /// Requests that started earlier are no evidence of the present health.
  Instant EvidenceSince;
  int ConsecutiveFailures = 0;
  /// Moving average of the share of failures among outcomes.
  double FailureShare = 0;
  /// Consecutive refusals by the endpoint although it had a free slot.
  int ConsecutiveSheds = 0;
  /// True while the endpoint is suspect for its sheds alone.
  bool IsSuspectForSheds = false;
  /// False after an attempt found nothing listening at its address.
  bool IsListening = true;
  /// Successful answers since the endpoint's start.
  int Completions = 0;
  /// Time of the latest recovery; none once it has become suspect again.
  std::optional<Instant> RecoveredAt;
  /// Successful answers since the present trial began.
  int TrialAnswers = 0;
  /// Times that the endpoint failed on trial or soon after a recovery.
  int Relapses = 0;
  Instant StateSince;
  /// Nothing while the endpoint names no limit.
  std::optional<EndpointLimit> Limit;
  /// True once this process of the endpoint has said that it leaves.
  bool IsLeaving = false;
  /// Arrival of the latest response in which it described itself.
  Instant NoticeAt;
  /// End of the ejection lease by this node's clock.
  std::optional<Instant> EjectedUntil;
};

/// Share of failures above which a suspect endpoint gets no spillover traffic,
/// and one successful answer does not restore its standing.
constexpr double MaxFailureShare = 0.5;

/// A request is overdue after this multiple of its expected run time, which
/// entries have learned from such requests at all endpoints.
constexpr int OverdueFactor = 6;

/// Records the time of a completed request.
void noteCompletion(GateEndpoint &endpoint, Instant now);

/// True if a request has started since the endpoint's standing last changed.
bool hasStartedSinceChange(const GateEndpoint &endpoint);

/// True for an idempotent request that has run much longer than expected and
/// has time left for a retry at another endpoint.
bool shouldRetryElsewhere(const SlotHolder &holder, const ServicePolicy &policy,
                          Instant now);

int freeSlots(const GateEndpoint &endpoint);

/// Number of slots held for requests whose body has not arrived.
int grantedSlots(const GateEndpoint &endpoint);

/// Number of requests that may start now: free slots, as far as the endpoint's
/// limit allows.
int openSlots(const GateEndpoint &endpoint, Instant now);

/// Time until the endpoint's limit lets one more request start.
Micros limitWaitOf(const GateEndpoint &endpoint, Instant now);

/// Number of slots held by long requests or by requests that have run for
/// longer than longAfter.
int longHeld(const GateEndpoint &endpoint, Instant now, Micros longAfter);

EndpointEvidence evidenceOf(const GateEndpoint &endpoint,
                            const ServicePolicy &policy, Instant now);

/// Time without traffic before a trial; doubles with each relapse.
Micros restBeforeTrial(const ServicePolicy &policy, int relapses);

} // namespace hickoryglade
