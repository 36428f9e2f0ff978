#pragma once

#include "libhickoryglade/endpointnotice.h"
#include "libhickoryglade/fairqueue.h"
#include "libhickoryglade/gateaction.h"
#include "libhickoryglade/gateendpoint.h"
#include "libhickoryglade/memberrecord.h"
#include "libhickoryglade/overload/prioritiesinuse.h"
#include "libhickoryglade/overload/shedcomparison.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/random.h"
#include "libhickoryglade/repeatbudget.h"
#include "libhickoryglade/startledger.h"
#include "libhickoryglade/waitforecast.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hickoryglade {

/// Time for which late announcements of an endpoint that has left may arrive.
constexpr Micros DepartedRetention = std::chrono::seconds(60);

/// Usual time between ticks of a gate.
constexpr Micros TickPeriod = std::chrono::milliseconds(50);

/// Outcome of an attempt at an endpoint.
enum class AttemptOutcome {
  /// A complete answer with a status below 500.
  Answered,
  /// A complete answer that reports a server error.
  ServerError,
  /// Refused by the endpoint without running it.
  Shed,
  /// The connection broke; the process may still run.
  Broken,
  /// The connection broke, and nothing listens at the address any more.
  Crashed,
  /// Nothing listens at the address; the attempt was not sent.
  Unreachable,
  /// The answer was malformed, truncated or late.
  Failed,
  /// The deadline passed without an answer.
  TimedOut,
  /// The caller cancelled the attempt.
  Cancelled,
};

std::string_view toString(AttemptOutcome outcome);

/// Load of a service at this gate, sent with replies.
struct GateLoad {
  int FreeSlots = 0;
  int Queued = 0;
  int Slots = 0;
  /// Best standing of the service's endpoints; nothing if there are none.
  std::optional<Standing> Best;
  /// Requests per second that the endpoints take, if all of them name a limit.
  std::optional<double> Limit;
  /// Time until their limits let one more request start.
  Micros LimitWait{0};

  bool operator==(const GateLoad &) const = default;
};

/// Queue, settings and statistics of one service at this gate.
struct GateService {
  ServicePolicy Policy;
  FairQueue Queue;
  RepeatBudget Repeats;
  WaitForecast Waits;
  /// What entries have told of the sheds at all endpoints of the service.
  ShedReports Sheds;
  PrioritiesInUse Priorities;
  /// Number of gates that share the service's retry budget. It is the highest
  /// number seen so far, since a node behind a partition sees too few gates.
  int Gates = 1;
  /// Shares of the workspaces that use the service, as weights.
  std::map<std::string, int> Shares;
  /// Fingerprints of serialized requests that are running.
  std::set<std::uint64_t> Serialized;
  /// By fingerprint, the time until which serialized requests wait for crash
  /// reports of copies that were running when the first crash became known.
  std::map<std::uint64_t, Instant> SettleUntil;
};

/// Record of an endpoint that has left, by which its late announcements are
/// recognized and ignored.
struct DepartedEndpoint {
  std::int64_t StartedAtMs = 0;
  Instant ExpiresAt;
};

/// What an entry has told of an endpoint that has not announced itself here.
struct ForeignNotice {
  std::string Incarnation;
  EndpointNotice Notice;
  Instant SaidAt;
  Instant ExpiresAt;
};

/// An endpoint that has announced itself to a gate that does not know yet
/// whether it has left.
struct UnconfirmedEndpoint {
  Announcement Latest;
  Instant FirstAt;
  Instant LastAt;
};

/// State of one node's gate. All requests to the endpoints announced to the
/// node pass through it. Only the functions below change it; each takes the
/// current time and returns the actions that the caller must carry out in
/// order.
struct Gate {
  /// Name of this node.
  std::string Node;
  std::map<std::string, GateEndpoint> Endpoints;
  std::map<std::string, DepartedEndpoint> Departed;
  /// True while the gate does not know which endpoints left before it started.
  bool IsConfirming = false;
  std::map<std::string, UnconfirmedEndpoint> Unconfirmed;
  /// By endpoint.
  std::map<std::string, ForeignNotice> ForeignNotices;
  /// Time without announcements after which an endpoint counts as gone.
  Micros AnnouncementLimit = std::chrono::milliseconds(1'900);
  std::map<std::string, GateService> Services;
  StartLedger Ledger;
  Quarantine Crashes;
  /// Endpoint at which an attempt holds a slot, by attempt id.
  std::map<std::string, std::string> EndpointByAttempt;
  bool IsDraining = false;
  /// When runs that are left are aborted; set while the gate is draining.
  std::optional<Instant> EndsAt;
  /// Time at which the next tick is due. A tick that is long overdue shows that
  /// the process was paused. A caller that ticks less often than TickPeriod
  /// must postpone it.
  std::optional<Instant> TickDue;
  /// No request starts before this time.
  Instant HoldUntil;
  Random Rng{1};
};

/// True for an announcement that is older than the gate's state: of an endpoint
/// that has left, of an earlier process, or sent before one already processed.
bool isOutdated(const Gate &gate, const Announcement &announcement);

/// Adds an endpoint or renews its announcement; ignores outdated ones.
GateActions announce(Gate &gate, const Announcement &announcement, Instant now);

/// Removes an endpoint that has left; its running requests may finish.
GateActions withdraw(Gate &gate, const std::string &endpoint, Instant now);

/// Records of the endpoints that have left this gate or are draining.
std::vector<DepartedRecord> departedRecords(const Gate &gate);

/// Restores the record of a departed endpoint that an earlier process of this
/// node kept.
GateActions noteDeparted(Gate &gate, const DepartedRecord &departed,
                         Instant now);

/// Processes a ticket: assigns a slot, queues the request or refuses it.
GateActions offer(Gate &gate, const Ticket &ticket, Instant now);

/// Starts a granted request whose body has arrived.
GateActions claim(Gate &gate, const std::string &attempt, Instant now);

/// Marks a request, waiting or running, as its last try, so that it is not
/// aborted for a retry.
void keep(Gate &gate, const std::string &attempt);

/// Aborts a running request that was reported as overdue, since another attempt
/// has answered in its place or nobody waits for it.
GateActions giveUpOverdue(const Gate &gate, const std::string &attempt);

/// Removes a waiting request, releases its slot or aborts it.
GateActions cancel(Gate &gate, const std::string &attempt, Instant now);

/// Releases the slot of an attempt that has ended and records the outcome.
GateActions complete(Gate &gate, const std::string &attempt,
                     AttemptOutcome outcome, Instant now);

/// Applies what an endpoint said about itself in a response whose head arrived
/// at saidAt. Responses may complete in another order.
GateActions noteNotice(Gate &gate, const std::string &endpoint,
                       const EndpointNotice &notice, Instant saidAt,
                       Instant now);

/// Applies what an entry heard an endpoint say, through another gate or an
/// earlier process of this one. It is kept until the endpoint announces itself.
GateActions noteForeignNotice(Gate &gate, const std::string &endpoint,
                              const std::string &incarnation,
                              const EndpointNotice &notice, Instant saidAt,
                              Instant now);

/// Fences an attempt that has not started; returns the attempt's state.
StartState revoke(Gate &gate, const std::string &attempt, Instant expiresAt,
                  Instant now, GateActions &actions);

/// Grants or renews an ejection lease until a time; ends it if there is none.
GateActions setEjection(Gate &gate, const std::string &endpoint,
                        std::optional<Instant> until, Instant now);

/// Periodic work: enforces deadlines, grants and leases, assesses the health of
/// endpoints, removes silent ones and dispatches waiting requests.
GateActions tick(Gate &gate, Instant now);

/// Stops accepting requests and refuses waiting ones; running ones may finish
/// until endsAt.
GateActions drain(Gate &gate, Instant endsAt, Instant now);

/// Applies a crash record that this node has heard of. A completion here may
/// clear the content.
GateActions noteForeignCrash(Gate &gate, std::uint64_t fingerprint,
                             const CrashRecord &record);

GateLoad loadOf(const Gate &gate, const std::string &service, Instant now);

/// Requests per second that the endpoints of a service at this gate take
/// together; nothing if any of them names no limit.
std::optional<double> limitOf(const Gate &gate, const std::string &service);

/// Updates the number of gates of a service; it never decreases.
void noteGates(GateService &service, int gates);

/// True if no request waits or holds a slot.
bool isIdle(const Gate &gate);

} // namespace hickoryglade
