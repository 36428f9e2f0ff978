#pragma once

#include "libhickoryglade/fairqueue.h"
#include "libhickoryglade/gateaction.h"
#include "libhickoryglade/gateendpoint.h"
#include "libhickoryglade/memberrecord.h"
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

/// Usual time between ticks of a gate.
constexpr Micros TickPeriod = std::chrono::milliseconds(50);

/// How an attempt at an endpoint ended.
enum class AttemptOutcome {
  /// A whole answer of any status below 500.
  Answered,
  /// A whole answer that reports a server error.
  ServerError,
  /// Refused by the endpoint without running it.
  Shed,
  /// The connection broke; whether the process is gone is not known.
  Broken,
  /// The connection broke and nothing listens at the address any more.
  Crashed,
  /// Nothing listens at the address; the attempt was not sent.
  Unreachable,
  /// The answer was malformed, truncated or late.
  Failed,
  /// The deadline passed without an answer.
  TimedOut,
  /// The caller withdrew it.
  Cancelled,
};

std::string_view toString(AttemptOutcome outcome);

/// What a gate knows about a service at the moment of a reply.
struct GateLoad {
  int FreeSlots = 0;
  int Queued = 0;
  int Slots = 0;
  /// Best standing of the service's endpoints; nothing if there are none.
  std::optional<Standing> Best;

  bool operator==(const GateLoad &) const = default;
};

/// The queue and learned costs of one service at this gate.
struct GateService {
  ServicePolicy Policy;
  FairQueue Queue;
  RepeatBudget Repeats;
  WaitForecast Waits;
  /// Gates over which the service's allowance of retries is shared out: the
  /// most that have been known, since a node that is cut off knows too few.
  int Gates = 1;
  /// Shares of the workspaces that use the service.
  std::map<std::string, int> Shares;
  /// Fingerprints of serialized requests that are running.
  std::set<std::uint64_t> Serialized;
  /// Serialized requests wait until here for news of copies that were under
  /// way when the first crash became known.
  std::map<std::uint64_t, Instant> SettleUntil;
};

/// An endpoint that has left, kept so that late announcements of it do not
/// bring it back.
struct DepartedEndpoint {
  std::int64_t StartedAtMs = 0;
  Instant ForgetAt;
};

/// State of one node's gate: the only way to the endpoints announced to it.
/// All functions below are the only ones that change it; each takes the time
/// and returns what the caller must carry out, in order.
struct Gate {
  /// Name of this node, under which it counts crashes.
  std::string Node;
  std::map<std::string, GateEndpoint> Endpoints;
  std::map<std::string, DepartedEndpoint> Departed;
  /// An endpoint that has not announced itself for this long is taken for
  /// gone.
  Micros AnnouncementLimit = std::chrono::milliseconds(1'900);
  std::map<std::string, GateService> Services;
  StartLedger Ledger;
  Quarantine Crashes;
  /// Endpoint of each attempt that holds a slot.
  std::map<std::string, std::string> EndpointByAttempt;
  bool IsDraining = false;
  /// When the next tick is expected; one that is long overdue shows that the
  /// process was paused. Whoever ticks more seldom than usual moves it.
  std::optional<Instant> TickDue;
  /// Nothing starts before this time.
  Instant HoldUntil;
  Random Rng{1};
};

/// True for an announcement that is older than what the gate knows: of an
/// endpoint that has left, of an earlier process, or sent before one already
/// taken.
bool isOutdated(const Gate &gate, const Announcement &announcement);

/// Takes or renews an announcement; outdated ones change nothing.
GateActions announce(Gate &gate, const Announcement &announcement, Instant now);

/// Forgets an endpoint that has left; what it runs may finish.
GateActions withdraw(Gate &gate, const std::string &endpoint, Instant now);

/// Starts of endpoints of which this gate knows that they have left, or are
/// leaving.
std::vector<DepartedRecord> departedRecords(const Gate &gate);

/// An earlier process of this node knew that a start of an endpoint has left.
GateActions noteDeparted(Gate &gate, const DepartedRecord &departed,
                         Instant now);

/// A request asks for a slot.
GateActions offer(Gate &gate, const Ticket &ticket, Instant now);

/// The body of a granted request has arrived.
GateActions claim(Gate &gate, const std::string &attempt, Instant now);

/// The request is not to be handed back any more.
void keep(Gate &gate, const std::string &attempt);

/// The caller no longer wants the request here.
GateActions cancel(Gate &gate, const std::string &attempt, Instant now);

/// An attempt at an endpoint has ended.
GateActions complete(Gate &gate, const std::string &attempt,
                     AttemptOutcome outcome, Instant now);

/// Fences an attempt that has not started; returns what it found.
StartState revoke(Gate &gate, const std::string &attempt, Instant forgetAt,
                  Instant now, GateActions &actions);

/// Grants, renews (later end) or ends (no end) an ejection lease.
GateActions setEjection(Gate &gate, const std::string &endpoint,
                        std::optional<Instant> until, Instant now);

/// Deadlines, silent endpoints, verdicts, lapsed grants and leases.
GateActions tick(Gate &gate, Instant now);

/// Stops taking work; what runs may finish.
GateActions drain(Gate &gate, Instant now);

GateLoad loadOf(const Gate &gate, const std::string &service, Instant now);

/// Takes note of how many gates a service has now.
void noteGates(GateService &service, int gates);

/// True if no request waits or runs.
bool isIdle(const Gate &gate);

} // namespace hickoryglade
