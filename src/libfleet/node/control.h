#pragma once

#include "libfleet/log/leaseservice.h"
#include "libfleet/node/fleetview.h"
#include "libfleet/node/nodesettings.h"
#include "libfleet/node/platformadapter.h"
#include "libfleet/peers/membershipservice.h"
#include "libfleet/peers/peerlinks.h"
#include "libfleet/reporting/metrics.h"
#include "libfleet/settings/settingsservice.h"

#include "libhickoryglade/gateaction.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

/// Owns what a node knows of the fleet, on the control thread: members,
/// settings, crashes. Hands the traffic threads a view at each change.
class Control {
public:
  struct Events {
    /// Called with each new view, on the control thread.
    std::function<void(FleetViewPtr)> OnView;
    /// Called once, when the node knows enough to serve callers.
    std::function<void()> OnReady;
    /// Ends of the ejection leases held, by endpoint, at each change.
    std::function<void(std::map<std::string, Instant>)> OnEjections;
    /// Others know that these had left before this process started.
    std::function<void(std::vector<DepartedRecord>)> OnDeparted;
  };

  Control(asio::io_context &io, const NodeSettings &settings,
          std::int64_t bootId, Metrics &metrics, Events events);

  /// Takes settings and other nodes from the platform in place of the log.
  void usePlatform(const PlatformAdapter &platform);

  absl::Status start();

  void setEndpoints(std::vector<EndpointRecord> endpoints,
                    std::vector<DepartedRecord> departed);
  void updateEjectionLease(const EjectionAction &action);
  void noteCrash(std::uint64_t fingerprint, const CrashRecord &record);
  void leave();

  /// Gives the keeper lease back once the records have been handed on.
  asio::awaitable<bool> resign(Millis limit) { return Leases.resign(limit); }
  bool vouch(const LeaseHolder &keeper) { return Leases.vouch(keeper); }

  SettingsService &settings() { return Settings; }
  const Membership &membership() const { return Members.state(); }
  const FleetViewPtr &view() const { return View; }

  /// What operators are told.
  nlohmann::json report() const;

  NodeGauges gauges() const;

  /// Answer to a peer that asks for the settings.
  wire::Snapshot snapshot() const;

private:
  asio::awaitable<bool> fetchSnapshot();
  asio::awaitable<bool> fetchSnapshotFrom(std::vector<std::string> addresses,
                                          std::size_t most);
  void spreadSettings();
  std::uint64_t gossipBytes() const;
  void logTraffic();
  asio::awaitable<bool> requestVoucher(std::string node);
  LeaseService::Events leaseEvents();
  std::vector<LedgerMember> ledgerMembers() const;
  std::vector<const Member *> membersInService() const;
  LeaseRecord describeEjection(const LeaseSubject &subject) const;
  std::size_t refreshRank(const std::string &what) const;
  void updateOwnRecord(bool isUrgent);
  void reportStandings();
  void scheduleStandingRepeat();
  void startCatchUp();
  bool isReader() const;
  void noteFreshSettings(std::int64_t next);
  void scheduleFreshnessNotice();
  asio::awaitable<void> awaitPollDue();
  std::vector<std::string> membersWithNewestSettings() const;
  bool isBehind() const;
  asio::awaitable<void> catchUp();
  void scheduleRebuild();
  void rebuild();
  asio::awaitable<void> awaitReady();
  std::vector<std::string>
  chooseSeeds(std::vector<DirectoryEntry> entries) const;
  asio::awaitable<void> discoverNodes();
  void addMember(FleetView &view, const Member &member) const;

  asio::io_context &Io;
  NodeSettings Config;
  std::int64_t BootId;
  Events Handlers;
  PeerLinks Links;
  MembershipService Members;
  SettingsService Settings;
  LeaseService Leases;
  std::unique_ptr<NodeDirectory> Directory;
  asio::steady_timer RebuildTimer;
  bool IsRebuildDue = false;
  bool IsLeaving = false;
  bool IsCatchingUp = false;
  std::vector<EndpointRecord> Endpoints;
  std::vector<DepartedRecord> Departed;
  StandingReport OwnStandings;
  StandingBoard Standings;
  asio::steady_timer StandingTimer;
  asio::steady_timer FreshnessTimer;
  /// Until when the settings are known to be the newest by others' word.
  Instant FreshUntil;
  TrafficCounters &Traffic;
  asio::steady_timer TrafficTimer;
  std::int64_t SpreadNext = 0;
  Quarantine Crashes;
  std::shared_ptr<const RouteTable> Routes;
  std::int64_t RoutesNext = -1;
  FleetViewPtr View = std::make_shared<const FleetView>();
};

} // namespace hickoryglade::fleet
