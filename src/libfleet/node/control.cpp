#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/hash.h"
#include "libhickoryglade/keytable.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

/// Changes within this time are published in one view.
constexpr Micros RebuildDelay = std::chrono::milliseconds(5);
constexpr Micros VoucherTimeout = std::chrono::milliseconds(800);
constexpr Millis ReadyPoll = std::chrono::milliseconds(100);
/// Time after which a node gets ready although no member could give it the
/// newer settings that one of them has named.
constexpr Micros CatchUpLimit = std::chrono::seconds(4);
constexpr Micros PeerDiscoveryWait = std::chrono::milliseconds(1'500);

/// Delay before the directory is read again after a failure, and while no other
/// node is known.
constexpr Millis DirectoryRetryDelay = std::chrono::milliseconds(500);
constexpr Millis DiscoveryPeriod = std::chrono::seconds(2);

/// Number of members of each data centre that register again after the store
/// has lost entries.
constexpr std::size_t RenewingMembers = 3;

/// Maximum number of seeds from other data centres.
constexpr std::size_t RemoteSeeds = 2;

MemberRecord makeRecord(const NodeSettings &settings, std::int64_t bootId) {
  MemberRecord record;
  record.Node = settings.Node;
  record.BootId = bootId;
  record.Version = 1;
  record.FleetAddress = settings.AdvertisedAddress;
  record.AdminAddress = settings.AdminAddress;
  record.DataCentre = settings.DataCentre;
  record.LinkMbps = settings.LinkMbps;
  return record;
}

} // namespace

Control::Control(asio::io_context &io, const NodeSettings &settings,
                 std::int64_t bootId, BodyBudgetPtr budget, Metrics &metrics,
                 Events events)
    : Io(io), Config(settings), BootId(bootId), Handlers(std::move(events)),
      Links(io.get_executor(),
            makeHello(settings.Node, bootId, settings.DataCentre),
            std::move(budget), metrics.traffic()),
      Members(
          io, settings.FleetAddress, metrics.traffic(),
          makeMembership(makeRecord(settings, bootId), settings.Seeds,
                         std::uint64_t(bootId), now()),
          {[this] { scheduleRebuild(); },
           [this](std::uint64_t fingerprint, CrashRecord record) {
             if (mergeCrash(Crashes, fingerprint, record))
               scheduleRebuild();
           },
           [this] { startCatchUp(); },
           [this](const StandingReport &report) {
             bool wasEmpty = Standings.Entries.empty();
             if (applyReport(Standings, report, now()))
               scheduleRebuild();
             if (wasEmpty)
               scheduleStandingRepeat();
           },
           [this](const SettingsNotice &notice) { noteSettingsNotice(notice); },
           [this](std::vector<DepartedRecord> departed) {
             Handlers.OnDeparted(std::move(departed));
           }}),
      Settings(io, settings.LogAddress, settings.StreamPrefix + ".settings",
               settings.LogRetention, metrics,
               {[this] {
                  updateOwnRecord(false);
                  spreadSettings();
                  scheduleRebuild();
                },
                [this] { return fetchSettings(); },
                [this](const std::string &what) { return refreshRank(what); },
                [this] { return awaitPollDue(); },
                [this] {
                  noteFreshness();
                  reportIncarnation();
                  shareFreshness();
                },
                [this](Micros since) { announceReading(since); }}),
      Leases(io, settings.LogAddress, settings.StreamPrefix + ".leases",
             {settings.Node, bootId}, metrics, leaseEvents()),
      RebuildTimer(io), StandingTimer(io), PollDueTimer(io),
      Traffic(metrics.traffic()), TrafficTimer(io) {
  OwnStandings.Node = settings.Node;
  OwnStandings.BootId = bootId;
}

LeaseService::Events Control::leaseEvents() {
  LeaseService::Events events;
  events.OnChange = [this] {
    updateOwnRecord(false);
    scheduleRebuild();
    Handlers.OnEjections(Leases.ejections());
  };
  events.Members = [this] { return ledgerMembers(); };
  events.MakeEjectionRecord = [this](const LeaseSubject &subject) {
    return makeEjectionRecord(subject);
  };
  events.RequestVoucher = [this](std::string node) {
    return requestVoucher(std::move(node));
  };
  return events;
}

std::vector<LedgerMember> Control::ledgerMembers() const {
  std::vector<LedgerMember> all;
  for (const auto &[node, member] : Members.state().Members)
    all.push_back({{node, member.Record.BootId},
                   member.Record.LedgerNext,
                   member.State == MemberState::Dead});
  return all;
}

/// Lists only endpoints that are healthy as far as this node knows.
LeaseRecord Control::makeEjectionRecord(const LeaseSubject &subject) const {
  LeaseRecord record;
  for (const Member *member : activeMembers())
    for (const EndpointRecord &it : member->Record.Endpoints)
      if (it.Service == subject.Service && it.Name != subject.Name &&
          it.State == Standing::Healthy)
        record.Healthy.push_back(it.Name);
  record.Floor = policyAt(Settings.state().Tree, "/" + subject.Service).Floor;
  return record;
}

std::vector<const Member *> Control::activeMembers() const {
  std::vector<const Member *> all = peers(Members.state());
  all.push_back(&Members.state().Members.at(Config.Node));
  return all;
}

void Control::updateEjectionLease(const EjectionAction &action) {
  LeaseSubject subject{LeaseKind::Ejection, action.Service, action.Endpoint};
  Leases.updateEjectionLease(subject, action.IsWanted);
}

asio::awaitable<bool> Control::requestVoucher(std::string node) {
  const auto &members = Members.state().Members;
  auto member = members.find(node);
  if (member == members.end())
    co_return false;
  NodeView view;
  view.FleetAddress = member->second.Record.FleetAddress;
  auto client =
      co_await Links.connect(view.FleetAddress, view, now() + VoucherTimeout);
  if (!client)
    co_return false;
  auto box = std::make_shared<StreamMailbox>(Io.get_executor());
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  frame.keyRequest.operation = wire::KeyOperation::VOUCH;
  frame.keyRequest.record.requestId = Config.Node;
  frame.keyRequest.record.fingerprint = BootId;
  frame.__isset.keyRequest = true;
  client->channel().send(std::move(frame));
  std::optional<StreamEvent> event = co_await box->next(now() + VoucherTimeout);
  client->closeStream(stream);
  auto *reply = event ? std::get_if<wire::KeyReply>(&event->Content) : nullptr;
  co_return reply && reply->verdict == int(KeyVerdict::Granted);
}

void Control::usePlatform(const PlatformAdapter &platform) {
  asio::any_io_executor ex = Io.get_executor();
  Settings.useDocumentSource(platform.MakeSettingsSource(ex, Config));
  Directory = platform.MakeDirectory(ex, Config.PlatformAddress);
}

/// Chooses the nodes of the own data centre, through which gossip reaches the
/// others, and a few nodes of other data centres.
std::vector<std::string>
Control::chooseSeeds(std::vector<DirectoryEntry> entries) const {
  std::ranges::shuffle(entries, Random(std::uint64_t(BootId)));
  std::vector<std::string> seeds;
  std::size_t far = 0;
  for (const DirectoryEntry &it : entries)
    if (it.DataCentre == Config.DataCentre || far++ < RemoteSeeds)
      seeds.push_back(it.Address);
  return seeds;
}

std::int64_t Control::storeIncarnation() const {
  return std::max(Settings.sourceIncarnation(), HeardIncarnation);
}

void Control::reportIncarnation() {
  if (storeIncarnation() <= ReportedIncarnation)
    return;
  ReportedIncarnation = storeIncarnation();
  Handlers.OnStoreIncarnation(ReportedIncarnation);
}

/// After the store has lost entries, a few members of each data centre register
/// again. They are enough for a node that starts, since gossip discovers the
/// remaining nodes.
bool Control::isRegistrationDue() const {
  if (!RegisteredIn)
    return true;
  return *RegisteredIn < storeIncarnation() &&
         rankInDataCentre(Members.state()) < RenewingMembers;
}

/// Registers this node in the directory and reads the directory until another
/// node is known. Gossip discovers the remaining nodes.
asio::awaitable<void> Control::discoverNodes() {
  asio::steady_timer timer(Io);
  bool isComplete = false;
  while (!IsLeaving) {
    if (isRegistrationDue())
      co_await registerNode();
    bool isReached = true;
    if (!isComplete) {
      auto entries = co_await Directory->list();
      isReached = entries.has_value();
      if (isReached)
        Members.addSeeds(chooseSeeds(std::move(*entries)));
      else
        logEvent(LogLevel::Warn, "directory_unreachable", json::object());
    }
    timer.expires_after(isReached ? DiscoveryPeriod : DirectoryRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
    isComplete = RegisteredIn && !peers(Members.state()).empty();
  }
}

asio::awaitable<void> Control::registerNode() {
  bool isFirst = !RegisteredIn.has_value();
  std::int64_t known = storeIncarnation();
  DirectoryEntry own{Config.AdvertisedAddress, Config.DataCentre};
  auto incarnation =
      co_await Directory->registerNode(Config.Node, std::move(own));
  if (!incarnation)
    co_return;
  // What others name may be wrong, so it leads to one attempt only.
  RegisteredIn = std::max(*incarnation, known);
  if (!isFirst)
    logEvent(LogLevel::Info, "registered_again",
             {{"incarnation", *incarnation}});
}

absl::Status Control::start() {
  absl::Status status = Members.start();
  if (!status.ok())
    return status;
  Settings.start();
  if (Directory)
    asio::co_spawn(Io, discoverNodes(), asio::detached);
  else
    Leases.start();
  scheduleRebuild();
  logTraffic();
  asio::co_spawn(Io, awaitReady(), asio::detached);
  return absl::OkStatus();
}

void Control::updateOwnRecord(bool isUrgent) {
  MemberRecord record = makeRecord(Config, BootId);
  record.IsLeaving = IsLeaving;
  record.Endpoints = Endpoints;
  record.Departed = Departed;
  if (Config.KeepsStandingsNear)
    for (EndpointRecord &it : record.Endpoints)
      it.State = isTransient(it.State) ? Standing::Healthy : it.State;
  // Every document would change the records of all members at once, so its
  // version is sent in the other gossip messages instead.
  if (Directory)
    Members.setSettingsNext(Settings.state().Next);
  else
    record.SettingsNext = Settings.state().Next;
  record.LedgerNext = Leases.agent().Ledger.Next;
  Members.publishSelf(record, isUrgent);
}

void Control::setEndpoints(std::vector<EndpointRecord> endpoints,
                           std::vector<DepartedRecord> departed) {
  Endpoints = std::move(endpoints);
  Departed = std::move(departed);
  updateOwnRecord(true);
  if (Config.KeepsStandingsNear)
    reportStandings();
  scheduleRebuild();
}

void Control::reportStandings() {
  std::map<std::string, Standing> states;
  for (const EndpointRecord &it : Endpoints)
    if (isTransient(it.State))
      states[it.Name] = it.State;
  if (states == OwnStandings.States)
    return;
  OwnStandings.States = std::move(states);
  ++OwnStandings.Sequence;
  applyReport(Standings, OwnStandings, now());
  Members.broadcastStandings(OwnStandings);
  scheduleStandingRepeat();
}

/// Repeats this node's report and expires those of others, until no report is
/// left.
void Control::scheduleStandingRepeat() {
  StandingTimer.expires_after(StandingRepeatPeriod);
  StandingTimer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    if (!OwnStandings.States.empty()) {
      ++OwnStandings.Sequence;
      applyReport(Standings, OwnStandings, now());
      Members.broadcastStandings(OwnStandings);
    }
    if (expireReports(Standings, now()))
      scheduleRebuild();
    if (!Standings.Entries.empty())
      scheduleStandingRepeat();
  });
}

void Control::noteCrash(std::uint64_t fingerprint, const CrashRecord &record) {
  if (mergeCrash(Crashes, fingerprint, record))
    scheduleRebuild();
  Members.broadcastCrash(fingerprint, record);
}

void Control::leave() {
  IsLeaving = true;
  updateOwnRecord(true);
}

/// Calls OnReady once settings are loaded and another member is known. A node
/// that discovers no member in time assumes that it is the first. The store may
/// be behind the members, so a node fetches their newer settings first.
asio::awaitable<void> Control::awaitReady() {
  Instant start = now();
  asio::steady_timer timer(Io);
  bool isReady = false;
  while (!isReady) {
    timer.expires_after(ReadyPoll);
    co_await timer.async_wait(asio::use_awaitable);
    bool hasMembers = !peers(Members.state()).empty();
    bool hasWaited = now() - start > PeerDiscoveryWait;
    bool isCurrent = !isBehind() || now() - start > CatchUpLimit;
    isReady = Settings.isLoaded() && (hasMembers || hasWaited) && isCurrent;
  }
  timer.expires_after(ReadyPoll);
  co_await timer.async_wait(asio::use_awaitable);
  IsReady = true;
  Handlers.OnReady();
}

void Control::scheduleRebuild() {
  if (IsRebuildDue)
    return;
  IsRebuildDue = true;
  RebuildTimer.expires_after(RebuildDelay);
  RebuildTimer.async_wait([this](const error_code &ec) {
    IsRebuildDue = false;
    if (!ec)
      rebuild();
  });
}

void Control::addMember(FleetView &view, const Member &member) const {
  const MemberRecord &record = member.Record;
  if (member.State == MemberState::Dead)
    return;
  view.Nodes[record.Node] = {
      record.FleetAddress, record.BootId, record.LedgerNext,
      member.State == MemberState::Suspect, record.IsLeaving};
  if (record.IsLeaving)
    return;
  for (const EndpointRecord &endpoint : record.Endpoints) {
    if (endpoint.State == Standing::Draining)
      continue;
    Standing standing =
        transientStanding(Standings, record.Node, record.BootId, endpoint.Name)
            .value_or(endpoint.State);
    std::vector<GateView> &gates = view.Services[endpoint.Service].Gates;
    auto gate = std::ranges::find(gates, record.Node, &GateView::Node);
    if (gate == gates.end()) {
      gates.push_back({record.Node,
                       record.BootId,
                       record.DataCentre,
                       endpoint.Slots,
                       standing,
                       {stableHash(endpoint.Name)}});
      continue;
    }
    gate->EndpointHashes.push_back(stableHash(endpoint.Name));
    gate->Slots += endpoint.Slots;
    if (rankOf(standing) < rankOf(gate->State))
      gate->State = standing;
  }
}

void Control::rebuild() {
  const SettingsState &settings = Settings.state();
  if (RoutesNext != settings.Next || !Routes) {
    Routes = std::make_shared<const RouteTable>(settings.Tree, Routes.get());
    Workspaces = std::make_shared<const WorkspaceTable>(settings.Tree);
    RoutesNext = settings.Next;
  }
  auto view = std::make_shared<FleetView>();
  view->HasSettings = Settings.isLoaded() && !settings.Tree.Nodes.empty();
  view->SettingsNext = settings.Next;
  view->Root = policyAt(settings.Tree, "/");
  view->Routes = Routes;
  view->Workspaces = Workspaces;
  view->AsOf = AsOf;
  for (const auto &[node, member] : Members.state().Members)
    addMember(*view, member);
  for (const auto &[path, node] : settings.Tree.Nodes)
    if (settingsLevel(path) == SettingsLevel::Service)
      view->Services[path.substr(1)];
  for (auto &[name, service] : view->Services)
    service.Policy = policyAt(settings.Tree, "/" + name);
  for (const auto &[path, node] : settings.Tree.Nodes) {
    if (settingsLevel(path) != SettingsLevel::Workspace)
      continue;
    // Workspaces without a share of their own have the default weight.
    if (!node.Value.is_object() || !node.Value.contains("share"))
      continue;
    int share = policyAt(settings.Tree, path).Share;
    for (auto &[name, service] : view->Services)
      service.Shares[path.substr(1)] = share;
  }
  expireCrashes(Crashes, now());
  Crashes.Released.clear();
  for (const std::string &name : releasedFingerprints(settings.Tree))
    Crashes.Released.push_back(parseFingerprint(name));
  view->Crashes = Crashes;
  view->Keepers = keeperRoster(Leases.agent().Ledger);
  view->KeepersOffset = Leases.agent().Ledger.Next;
  view->HandedOn = Leases.handedOn();
  view->KeeperLeaseEnd = Leases.keeperLeaseEnd();
  for (const auto &[name, service] : view->Services)
    view->Root.MaxBodyBytes =
        std::max(view->Root.MaxBodyBytes, service.Policy.MaxBodyBytes);
  View = view;
  Handlers.OnView(View);
}

} // namespace hickoryglade::fleet
