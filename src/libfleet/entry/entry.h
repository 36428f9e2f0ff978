#pragma once

#include "libfleet/http/callscope.h"
#include "libfleet/http/httpdialect.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/peers/peerlinks.h"
#include "libfleet/quota/quotaclient.h"
#include "libhickoryglade/balance/comparison.h"
#include "libhickoryglade/costmodel.h"
#include "libhickoryglade/noticeboard.h"
#include "libhickoryglade/overload/shedcomparison.h"
#include "libhickoryglade/retry.h"
#include "libhickoryglade/splitter.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace hickoryglade::fleet {

class Metrics;

/// A caller's request with its route, its limits and the history of its
/// attempts.
struct RequestContext {
  std::string Id;
  /// Value of the caller's request id header; empty if there is none.
  std::string CallerId;
  HttpRequest Http;
  Route MatchedRoute;
  Instant Deadline;
  /// Time by which the request should be answered, from the service's target
  /// latency.
  Instant Target;
  std::uint64_t Fingerprint = 0;
  CostClass Class;
  CostEstimate Cost;
  /// True if it runs much shorter than most requests of its service.
  bool IsShort = false;
  bool IsIdempotent = true;
  std::string IdempotencyKey;
  /// Endpoints that the request has crashed so far.
  int Crashes = 0;
  /// Attempts that reached an endpoint.
  int Arrivals = 0;
  /// Attempts that an endpoint may have run.
  int Runs = 0;
  /// Number of the latest attempt.
  int LastNumber = 0;
  /// Attempts that count against the limit of attempts, and those that do not.
  int CountedAttempts = 0;
  int FreeTries = 0;
  /// How many more attempts may start beside an overdue run.
  int ReplacementsLeft = FreeRetryLimit;
  /// True for an attempt beside an overdue run of the same request.
  bool IsReplacement = false;
  /// Latest server error that an endpoint answered.
  std::optional<HttpResponse> ServerError;
  /// Refusals by gates that had no free slot.
  int CapacityRefusals = 0;
  /// Refusals by gates whose endpoints were doubtful.
  int DoubtRefusals = 0;
  /// Refusals by gates whose part of the retry budget was used up.
  int BudgetRefusals = 0;
  /// Gate of the latest attempt that reached one.
  std::string LastGate;
  /// Gates that refused the request or failed to complete it.
  std::vector<std::string> Tried;
  std::shared_ptr<CallScope> Scope;
};

using EntryResult = std::variant<HttpResponse, Error>;

/// Serves callers' requests on one traffic thread: matches the route, selects a
/// gate, retries where that is safe, and responds.
class Entry {
public:
  Entry(asio::any_io_executor ex, const NodeSettings &settings,
        std::int64_t bootId, std::size_t worker, const HttpDialect &dialect,
        BodyBudgetPtr budget, Metrics &metrics);

  PeerLinks &links() { return Links; }

  /// Called with each notice that an answer brings, for the entries on other
  /// threads of this node.
  std::function<void(const std::string &service, const HeardNotice &)> OnNotice;
  void takeNotice(const std::string &service, HeardNotice notice);

  void applyView(FleetViewPtr view);

  std::size_t inFlight() const { return InFlight; }

  /// Called first when the node begins to stop: from now on new attempts are
  /// marked as the last ones. Thread-safe.
  void markLastTries() { IsDraining = true; }

  /// Called when the node begins to stop and will exit at `end`: has gates of
  /// earlier releases let open attempts finish in place. Requests that arrive
  /// at `lateAfter` or later are refused unless their deadline is before `end`.
  void beginDrain(Instant end, Instant lateAfter);

  /// Fails requests that cannot be completed before the node exits at `end`,
  /// while their responses can still be written. Called repeatedly until then.
  void enforceShutdownDeadline(Instant end);

  asio::awaitable<HttpResponse> serve(HttpRequest request,
                                      std::shared_ptr<CallScope> scope);

private:
  /// A gate's latest load report and the number of streams that this entry has
  /// open to the gate.
  struct GateLoadView {
    wire::Load Load;
    Instant At;
    int Outstanding = 0;
  };
  struct Attempt;
  struct Replacement;

  std::variant<RequestContext, Error>
  prepareRequest(HttpRequest request, std::shared_ptr<CallScope> scope,
                 std::string id);
  asio::awaitable<EntryResult> perform(RequestContext &context);
  asio::awaitable<EntryResult> performKeyed(RequestContext &context);
  asio::awaitable<RoutePlan> planRoute(RequestContext &context,
                                       bool isSerialized,
                                       std::vector<Candidate> &all);
  asio::awaitable<EntryResult> tryOnce(RequestContext &context, int number);
  EntryResult withholdNotRunStatus(const RequestContext &context,
                                   EntryResult result);
  static Error noteFailure(RequestContext &context, EntryResult result);
  asio::awaitable<EntryResult> sendDirect(Attempt &attempt);
  asio::awaitable<EntryResult> sendTickets(Attempt &attempt);
  asio::awaitable<std::size_t> offerTickets(Attempt &attempt);
  asio::awaitable<EntryResult> claimGrant(Attempt &attempt, std::size_t target);
  asio::awaitable<EntryResult> compareGates(Attempt &attempt);
  void dropUnconnected(Attempt &attempt);
  Error takeRefusal(Attempt &attempt, std::size_t target,
                    const wire::Failure &failure, Error last);
  void noteUnclaimed(const Attempt &attempt, const Comparison &comparison,
                     std::size_t chosen);
  asio::awaitable<EntryResult> awaitAnswer(Attempt &attempt,
                                           std::size_t target);
  std::optional<EntryResult> takeOwnEvent(Attempt &attempt, std::size_t target,
                                          StreamEvent &event);
  std::optional<EntryResult> ownResult(Attempt &attempt, std::size_t target,
                                       StreamEvent &event);
  EntryResult endedResult(const Attempt &attempt, std::size_t target,
                          const std::optional<StreamEvent> &event);
  void takeLoss(Attempt &attempt, std::size_t target);
  std::optional<EntryResult> lookForGate(Attempt &attempt, std::size_t target);
  std::optional<EntryResult> outcomeFrom(Attempt &attempt, std::size_t target,
                                         StreamEvent &event);
  void logQuery(const Attempt &attempt, std::size_t target,
                std::string_view detail) const;
  asio::awaitable<EntryResult> resolveOutcome(Attempt &attempt,
                                              std::size_t target);
  std::optional<EntryResult> resultFrom(Attempt &attempt, std::size_t target,
                                        StreamEvent &event);
  asio::awaitable<bool> queryGate(Attempt &attempt, std::size_t target);
  asio::awaitable<bool> queryThroughPeer(Attempt &attempt, std::size_t target);
  std::string pickRelay(const Attempt &attempt, std::size_t target);
  asio::awaitable<std::shared_ptr<GateClient>>
  connect(const Attempt &attempt, std::string node, NodeView view);
  asio::awaitable<bool> openTarget(Attempt &attempt, std::size_t target);
  void openStream(Attempt &attempt, std::size_t target,
                  std::shared_ptr<GateClient> client);
  static void sendQuery(Attempt &attempt, std::size_t target);

  static Standing standingOf(const GateView &gate, const GateLoadView &load,
                             Instant now);
  static void applyLimit(Candidate &candidate, const GateLoadView &load,
                         Micros cost, Instant now);
  static void noteReport(Candidate &candidate, const GateLoadView &load,
                         Instant now);
  std::vector<Candidate> candidates(const RequestContext &context, Instant now);
  wire::Ticket makeTicket(const Attempt &attempt, std::size_t target) const;
  void sendCall(Attempt &attempt, std::size_t target);
  void cancelStream(Attempt &attempt, std::size_t target);
  void noteAnswer(Attempt &attempt, std::size_t target,
                  const AnswerEvent &answer);
  std::vector<wire::EndpointNotice> noticesFor(const Attempt &attempt,
                                               std::size_t target) const;
  void noteLoad(const std::string &node, const std::string &service,
                const wire::Load &load);
  Error toError(Attempt &attempt, const wire::Failure &failure);
  void takeOverdue(Attempt &attempt, std::size_t target,
                   const OverdueEvent &event);
  bool hasRoomBeside(const Attempt &attempt, std::size_t target, bool mayWait);
  void allowTriedGates(Attempt &attempt, std::size_t target);
  std::string_view reasonNotToReplace(const Attempt &attempt,
                                      std::size_t target, bool mayWait);
  void replaceLost(Attempt &attempt, std::size_t target);
  void replaceLostAgain(Attempt &attempt, std::size_t target);
  void startReplacement(Attempt &attempt, std::size_t target);
  static void promoteReplacement(Attempt &attempt);
  asio::awaitable<void> runReplacement(std::shared_ptr<Replacement> replacement,
                                       int number,
                                       std::shared_ptr<StreamMailbox> box);
  std::optional<EntryResult> takeReplacement(Attempt &attempt,
                                             std::size_t target);
  void cancelReplacement(Attempt &attempt);
  void logReplacement(const Attempt &attempt, std::string_view outcome,
                      std::string_view detail) const;
  Error abandonRun(const Attempt &attempt, std::size_t target, Error error);
  HttpResponse problem(const Error &error, const std::string &id,
                       Micros timeLeft, int runs);
  Millis allowedTime(const HttpRequest &request, const ServicePolicy &policy,
                     std::optional<Error> &fault) const;
  void logRoute(const RequestContext &context, int number,
                const Attempt &attempt, const RoutePlan &plan) const;
  std::string nextId();
  static double maxLimitLoad(const RequestContext &context, Instant end);
  bool hasRoomForLimited(const RequestContext &context);
  bool isTooLateToTake(const RequestContext &context) const;
  bool cannotEnd(const RequestContext &context) const;
  bool isTooLateToStart(const RequestContext &context) const;
  bool mayRetryDuringDrain(const RequestContext &context, const Error &error);
  bool hasUsableGate(const RequestContext &context);

  asio::any_io_executor Executor;
  std::string Node;
  std::string DataCentre;
  std::string Service;
  /// True if idempotency keys are supported: keepers locate each other through
  /// the log.
  bool HasKeepers;
  std::int64_t BootId;
  std::size_t Worker;
  const HttpDialect &Dialect;
  Metrics &Counters;
  PeerLinks Links;
  FleetViewPtr View = std::make_shared<const FleetView>();
  QuotaClient Quotas;
  std::map<std::string, GateLoadView> Loads;
  NoticeBoard Notices;
  CostModel Costs;
  /// By service.
  std::map<std::string, MeanCost> MeanCosts;
  /// By service.
  std::map<std::string, ShedAverage> Sheds;
  Splitter Splits;
  std::map<std::string, RetryBudget> Budgets;
  /// Retry budgets for server errors that endpoints returned.
  std::map<std::string, RetryBudget> ErrorBudgets;
  Random Rng;
  /// When this process began to serve.
  Instant StartedAt;
  std::uint64_t Requests = 0;
  std::size_t InFlight = 0;
  std::atomic<bool> IsDraining = false;
  /// When the node exits; set while it is stopping.
  std::optional<Instant> EndsAt;
  /// When callers have had the time to notice that the node is stopping.
  Instant LateAfter;
  std::set<Attempt *> Attempts;
};

} // namespace hickoryglade::fleet
