#pragma once

#include "libfleet/log/leaseservice.h"
#include "libfleet/node/fleetview.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/node/platformadapter.h"
#include "libfleet/peers/membershipservice.h"
#include "libfleet/peers/peerlinks.h"
#include "libfleet/reporting/metrics.h"
#include "libfleet/settings/settingssender.h"
#include "libfleet/settings/settingsservice.h"

#include "libhickoryglade/gateaction.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

/// The node's control plane, on the control thread. Owns the state of the fleet
/// as this node knows it (members, settings, leases, crashes) and publishes a
/// view of it to the traffic threads at each change.
class Control {
public:
  struct Events {
    /// Called with each new view, on the control thread.
    std::function<void(FleetViewPtr)> OnView;
    /// Called once, when the node is ready to serve callers.
    std::function<void()> OnReady;
    /// Called at each change with the ends of the held ejection leases, by
    /// endpoint.
    std::function<void(std::map<std::string, Instant>)> OnEjections;
    /// Called with this node's endpoints that left before its process started;
    /// other nodes report them.
    std::function<void(std::vector<DepartedRecord>)> OnDeparted;
    /// Called with the incarnation of the platform's store when a later one
    /// becomes known.
    std::function<void(std::int64_t)> OnStoreIncarnation;
  };

  Control(asio::io_context &io, const NodeSettings &settings,
          std::int64_t bootId, BodyBudgetPtr budget, Metrics &metrics,
          Events events);

  /// Reads settings and discovers nodes through the platform instead of the
  /// log.
  void usePlatform(const PlatformAdapter &platform);

  absl::Status start();

  void setEndpoints(std::vector<EndpointRecord> endpoints,
                    std::vector<DepartedRecord> departed);
  void updateEjectionLease(const EjectionAction &action);
  void noteCrash(std::uint64_t fingerprint, const CrashRecord &record);
  void leave();

  /// Releases the keeper lease; called once the key records have been copied to
  /// their successors.
  asio::awaitable<bool> resign(Millis limit) { return Leases.resign(limit); }
  bool vouch(const LeaseHolder &keeper) { return Leases.vouch(keeper); }

  SettingsService &settings() { return Settings; }
  const Membership &membership() const { return Members.state(); }
  const FleetViewPtr &view() const { return View; }

  /// Status report for operators.
  nlohmann::json report() const;

  NodeGauges gauges() const;

  /// Reply to a request for the settings of a peer of an earlier release.
  wire::Snapshot snapshot() const;
  /// Reply to a peer's request for what differs from its settings.
  SettingsSender::Reply replyToRequest(const std::string &digest,
                                       const std::string &node);

private:
  /// Longest pause in a transfer of settings.
  static constexpr Micros TransferPauseLimit = std::chrono::milliseconds(800);

  enum class FetchResult {
    Failed,
    /// The member is sending its settings to others.
    Busy,
    Answered,
  };

  std::vector<std::string> memberAddresses() const;
  asio::awaitable<bool> fetchSettings();
  asio::awaitable<FetchResult> fetchFromMembers();
  asio::awaitable<FetchResult> fetchFromAny(std::vector<std::string> addresses,
                                            std::size_t most);
  asio::awaitable<FetchResult> fetchFrom(std::string address);
  asio::awaitable<std::optional<StreamEvent>>
  awaitSettings(std::shared_ptr<StreamMailbox> box, Instant askedAt);
  std::string takeSettings(const StreamEvent &event, Instant askedAt);
  void reportFailedTransfer(const std::string &address,
                            const std::string &reason) const;
  void spreadSettings();
  std::uint64_t gossipBytes() const;
  void logTraffic();
  asio::awaitable<bool> requestVoucher(std::string node);
  LeaseService::Events leaseEvents();
  std::vector<LedgerMember> ledgerMembers() const;
  std::vector<const Member *> activeMembers() const;
  LeaseRecord makeEjectionRecord(const LeaseSubject &subject) const;
  std::size_t refreshRank(const std::string &what) const;
  void reportIncarnation();
  void updateOwnRecord(bool isUrgent);
  void reportStandings();
  void scheduleStandingRepeat();
  void startCatchUp();
  bool isFirstInDataCentre() const;
  ReadingPolicy readingPolicy() const;
  std::optional<Micros> settingsAge() const;
  void noteSettingsNotice(const SettingsNotice &notice);
  void noteFreshness();
  void sendSettingsNotice(const std::vector<const Member *> &targets,
                          bool isReading);
  void shareNotice(bool isReading);
  void shareFreshness();
  void announceReading(Micros arrivesSince);
  void relayNotice(const std::string &sender, bool isReading);
  Instant arrivalEnd() const;
  asio::awaitable<Millis> awaitPollDue();
  std::vector<std::string> membersWithNewestSettings() const;
  std::int64_t newestNext() const;
  bool isBehind() const;
  asio::awaitable<void> catchUp();
  void scheduleRebuild();
  void rebuild();
  asio::awaitable<void> awaitReady();
  std::vector<std::string>
  chooseSeeds(std::vector<DirectoryEntry> entries) const;
  std::int64_t storeIncarnation() const;
  bool isRegistrationDue() const;
  asio::awaitable<void> registerNode();
  asio::awaitable<void> discoverNodes();
  void addMember(FleetView &view, const Member &member) const;

  asio::io_context &Io;
  NodeSettings Config;
  std::int64_t BootId;
  Events Handlers;
  PeerLinks Links;
  MembershipService Members;
  SettingsService Settings;
  SettingsSender Sender;
  LeaseService Leases;
  std::unique_ptr<NodeDirectory> Directory;
  asio::steady_timer RebuildTimer;
  bool IsRebuildDue = false;
  bool IsReady = false;
  bool IsLeaving = false;
  bool IsCatchingUp = false;
  std::vector<EndpointRecord> Endpoints;
  std::vector<DepartedRecord> Departed;
  StandingReport OwnStandings;
  StandingBoard Standings;
  asio::steady_timer StandingTimer;
  /// Time until which this node does not read again after its start.
  Instant StartEnd;
  /// Incarnation of the store that holds this node's directory entry.
  std::optional<std::int64_t> RegisteredIn;
  /// The store's latest incarnation among those that others have named.
  std::int64_t HeardIncarnation = 0;
  /// The latest incarnation that has been passed on.
  std::int64_t ReportedIncarnation = 0;
  /// Latest version among other nodes at this node's last poll of the source.
  std::int64_t RequestedNext = 0;
  asio::steady_timer PollDueTimer;
  /// No member could give the newest settings.
  bool HasCatchUpFailed = false;
  /// Settings are arriving from a member.
  bool IsReceiving = false;
  Instant TransferProgressAt;
  /// Time until which this node leaves the reading to a member that has begun.
  Instant LeavesReadingUntil;
  Instant ReadAnnouncedAt;
  /// Node that last told this one that its settings are current.
  std::string FreshnessSender;
  TrafficCounters &Traffic;
  asio::steady_timer TrafficTimer;
  std::int64_t SpreadNext = 0;
  Quarantine Crashes;
  std::shared_ptr<const RouteTable> Routes;
  std::shared_ptr<const WorkspaceTable> Workspaces;
  std::shared_ptr<SettingsAsOf> AsOf = std::make_shared<SettingsAsOf>();
  std::int64_t RoutesNext = -1;
  FleetViewPtr View = std::make_shared<const FleetView>();
};

} // namespace hickoryglade::fleet
