#pragma once

#include "libfleet/gate/endpointclient.h"
#include "libfleet/node/fleetview.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/peers/framechannel.h"
#include "libhickoryglade/gate.h"
#include "libhickoryglade/memberrecord.h"

#include "fleet_types.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

class Metrics;

/// Executes the actions that the library's Gate returns: receives calls over
/// channels, runs them at endpoints and replies. Used from the first traffic
/// thread only.
class GateService {
public:
  /// Callbacks for the control thread, called on the gate's thread.
  struct Events {
    std::function<void(std::vector<EndpointRecord>,
                       std::vector<DepartedRecord>)>
        OnEndpoints;
    std::function<void(EjectionAction)> OnEjection;
    std::function<void(std::uint64_t, CrashRecord)> OnCrash;
  };

  GateService(asio::any_io_executor ex, const NodeSettings &settings,
              std::int64_t bootId, const HttpDialect &dialect,
              BodyBudgetPtr budget, Metrics &metrics, Events events);

  void start();

  /// Processes a frame from an entry and ignores frames that are not for a
  /// gate.
  void takeFrame(const std::shared_ptr<FrameChannel> &from, wire::Frame frame);

  /// Processes the whole body of a request from an entry of this node.
  void takeBody(const std::shared_ptr<FrameChannel> &from, std::int64_t stream,
                Body body);

  /// Called once the channel to an entry has closed.
  void noteLinkLost(const std::shared_ptr<FrameChannel> &channel);

  /// Logs the runs that are still under way as the process ends; returns their
  /// number.
  std::size_t reportRuns() const;

  /// Returns the generation of the endpoint after the announcement.
  std::int64_t announceEndpoint(const Announcement &facts);
  void withdrawEndpoint(const std::string &name);
  /// Withdraws an endpoint, also one that has not announced itself to this
  /// process, for its later announcements too.
  void departEndpoint(const DepartedRecord &departed);
  void noteDeparted(const std::vector<DepartedRecord> &departed);
  /// Between these calls, endpoints are added only once they have announced
  /// themselves twice, since they may have left before the process started.
  void beginConfirmation();
  void endConfirmation();
  void applyEjection(const std::string &endpoint, std::optional<Instant> until);
  void applyView(const FleetViewPtr &view);
  /// Takes no more requests, and ends at endsAt what still runs.
  void drainNow(Instant endsAt);

  /// The endpoints of this node, with the reasons for their standing.
  nlohmann::json report() const;

  bool idle() const { return isIdle(State) && Exchanges.empty(); }

private:
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;
  /// One stream of a channel.
  struct StreamRef {
    std::weak_ptr<FrameChannel> Channel;
    std::int64_t Stream = 0;
  };
  struct Finished {
    std::string Attempt;
    std::shared_ptr<const EndpointResult> Result;
    std::string Endpoint;
    Instant At;
  };

  void takeTicket(const StreamRef &ref, const wire::Ticket &ticket);
  void takeCall(const StreamRef &ref, wire::Call call);
  void takeData(const StreamRef &ref, wire::Data data);
  void takeCancel(const StreamRef &ref);
  void takeKeep(const StreamRef &ref);
  void takeGiveUp(const StreamRef &ref);
  void markLastTry(Exchange &exchange);
  void takeRevoke(const StreamRef &ref, const wire::Revoke &revoke);
  static void takeOver(Exchange &exchange, const StreamRef &ref);
  void dropWaiting(const std::shared_ptr<FrameChannel> &channel);
  void refuseIncomplete();
  void bodyComplete(const ExchangePtr &exchange, Body body);
  void refuseBody(const ExchangePtr &exchange);
  Ticket toTicket(const wire::Ticket &in, std::int64_t lagMs) const;
  ExchangePtr findByStream(const StreamRef &ref) const;

  void carryOut(GateActions actions);
  void carryOutOne(const StartAction &action);
  void carryOutOne(const GrantAction &action);
  void carryOutOne(const RefuseAction &action);
  void carryOutOne(const AbortAction &action);
  void carryOutOne(const OverdueAction &action);
  void carryOutOne(const StandingAction &action);
  void carryOutOne(const HoldAction &action);
  void carryOutOne(const LimitAction &action);
  void carryOutOne(const EjectionAction &action);
  void carryOutOne(const CrashAction &action);
  void carryOutOne(const ContentClearedAction &action);

  asio::awaitable<void> run(ExchangePtr exchange, std::string endpoint);
  void finish(const ExchangePtr &exchange, EndpointResult result);
  void logResult(const Exchange &exchange, const EndpointResult &result) const;
  void logOrphan(const Exchange &exchange, std::string_view reason) const;
  void takeHeaders(const Exchange &exchange, const EndpointResult &result);
  void reply(const StreamRef &ref, const EndpointResult &result,
             const std::string &service, const std::string &endpoint);
  void sendFailure(const StreamRef &ref, const Error &reason,
                   const std::string &service, const std::string &endpoint,
                   const EndpointResult *result = nullptr);
  void keepFinished(const ExchangePtr &exchange,
                    std::shared_ptr<const EndpointResult> result);
  void takeNotices(const wire::Ticket &ticket);
  std::optional<wire::EndpointNotice>
  wireNotice(const std::string &endpoint) const;
  wire::Load wireLoad(const std::string &service) const;
  void scheduleTick();
  void publishEndpoints();

  asio::any_io_executor Executor;
  asio::steady_timer Timer;
  bool IsTicking = false;
  Micros CurrentPeriod{0};
  std::int64_t BootId;
  const HttpDialect &Dialect;
  Metrics &Counters;
  Events Handlers;
  BodyBudgetPtr Budget;
  EndpointClient Client;
  Gate State;
  std::map<std::string, ExchangePtr> Exchanges;
  /// Endpoint records as last published to the fleet.
  std::vector<EndpointRecord> Published;
  std::vector<DepartedRecord> PublishedDeparted;
  /// The latest value of each endpoint's limit header that is not a limit.
  std::map<std::string, std::string> BadLimits;
  std::deque<Finished> Results;
  std::size_t ResultBytes = 0;
};

} // namespace hickoryglade::fleet
