#include "libfleet/control.h"

#include "libfleet/clock.h"
#include "libfleet/logging.h"
#include "libfleet/metrics.h"
#include "libfleet/wireconvert.h"
#include "libhickoryglade/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

/// Changes within this time make one view.
constexpr Micros RebuildDelay = std::chrono::milliseconds(5);
constexpr Micros SnapshotLimit = std::chrono::milliseconds(800);
constexpr std::size_t MostSnapshotPeers = 3;

wire::Hello makeHello(const NodeSettings &settings, std::int64_t bootId) {
  wire::Hello hello;
  hello.node = settings.Node;
  hello.bootId = bootId;
  hello.dataCentre = settings.DataCentre;
  hello.protocolVersion = 1;
  return hello;
}

MemberRecord makeRecord(const NodeSettings &settings, std::int64_t bootId) {
  MemberRecord record;
  record.Node = settings.Node;
  record.BootId = bootId;
  record.Version = 1;
  record.FleetAddress = settings.AdvertisedAddress;
  record.AdminAddress = settings.AdminAddress;
  record.DataCentre = settings.DataCentre;
  return record;
}

/// Better standings first, so that a gate counts as its best endpoint.
int rankOf(Standing state) {
  switch (state) {
  case Standing::Healthy:
    return 0;
  case Standing::Trial:
    return 1;
  case Standing::Suspect:
    return 2;
  case Standing::Ejected:
    return 3;
  case Standing::Draining:
    return 4;
  }
  return 4;
}

json endpointJson(const EndpointRecord &it) {
  return {{"name", it.Name},
          {"service", it.Service},
          {"slots", it.Slots},
          {"generation", it.Generation},
          {"standing", toString(it.State)}};
}

json memberJson(const Member &member) {
  const MemberRecord &record = member.Record;
  json endpoints = json::array();
  std::ranges::transform(record.Endpoints, std::back_inserter(endpoints),
                         endpointJson);
  return {{"node", record.Node},
          {"boot_id", record.BootId},
          {"state", toString(member.State)},
          {"leaving", record.IsLeaving},
          {"data_centre", record.DataCentre},
          {"fleet", record.FleetAddress},
          {"admin", record.AdminAddress},
          {"settings_next", record.SettingsNext},
          {"endpoints", std::move(endpoints)}};
}

} // namespace

Control::Control(asio::io_context &io, const NodeSettings &settings,
                 std::int64_t bootId, Metrics &metrics, Events events)
    : Io(io), Facts(settings), BootId(bootId), Counters(metrics),
      Handlers(std::move(events)),
      Links(io.get_executor(), makeHello(settings, bootId)),
      Members(io, settings.FleetAddress,
              makeMembership(makeRecord(settings, bootId), settings.Seeds,
                             std::uint64_t(bootId), now()),
              {[this] { scheduleRebuild(); },
               [this](std::uint64_t fingerprint, CrashRecord record) {
                 if (mergeCrash(Crashes, fingerprint, record))
                   scheduleRebuild();
               }}),
      Settings(io, settings.LogAddress, settings.StreamPrefix + ".settings",
               settings.LogRetention, metrics,
               {[this] {
                  describe(false);
                  scheduleRebuild();
                },
                [this] { return fetchSnapshot(); },
                [this](const std::string &what) { return refreshRank(what); }}),
      RebuildTimer(io) {}

absl::Status Control::start() {
  absl::Status status = Members.start();
  if (!status.ok())
    return status;
  Settings.start();
  scheduleRebuild();
  return absl::OkStatus();
}

void Control::describe(bool isUrgent) {
  MemberRecord record = makeRecord(Facts, BootId);
  record.IsLeaving = IsLeaving;
  record.Endpoints = Endpoints;
  record.SettingsNext = Settings.state().Next;
  Members.describe(record, isUrgent);
}

void Control::setEndpoints(std::vector<EndpointRecord> endpoints) {
  Endpoints = std::move(endpoints);
  describe(true);
  scheduleRebuild();
}

void Control::noteCrash(std::uint64_t fingerprint, const CrashRecord &record) {
  if (mergeCrash(Crashes, fingerprint, record))
    scheduleRebuild();
  Members.spreadCrash(fingerprint, record);
}

void Control::leave() {
  IsLeaving = true;
  describe(true);
}

/// Order in which members take a task that one of them must do.
std::size_t Control::refreshRank(const std::string &what) const {
  const Membership &state = Members.state();
  std::uint64_t own = stableHash(what, stableHash(state.Self));
  auto isBefore = [&](const Member *it) {
    return stableHash(what, stableHash(it->Record.Node)) < own;
  };
  return std::size_t(std::ranges::count_if(peers(state), isBefore));
}

/// Asks members, or seeds while there are none, until one has answered.
asio::awaitable<bool> Control::fetchSnapshot() {
  std::vector<std::string> addresses;
  for (const Member *peer : peers(Members.state()))
    addresses.push_back(peer->Record.FleetAddress);
  if (addresses.empty())
    addresses = Facts.Seeds;
  std::ranges::shuffle(addresses, Random(std::uint64_t(wallMicros())));
  addresses.resize(std::min(addresses.size(), MostSnapshotPeers));
  bool hasAnswer = false;
  for (const std::string &address : addresses) {
    if (address == Facts.AdvertisedAddress)
      continue;
    NodeView view{address, 0};
    auto client = co_await Links.connect(address, view, now() + SnapshotLimit);
    if (!client)
      continue;
    auto box = std::make_shared<StreamMailbox>(Io.get_executor());
    wire::Frame frame;
    frame.stream = client->open(box, 0);
    std::int64_t stream = frame.stream;
    frame.__set_snapshotRequest({});
    client->channel().send(std::move(frame));
    std::optional<StreamEvent> event = co_await box->next(now() + SnapshotLimit);
    client->forget(stream);
    auto *content =
        event ? std::get_if<wire::Snapshot>(&event->Content) : nullptr;
    if (!content || content->settingsOffset < 0)
      continue;
    Settings.merge(fromWire(*content), content->settingsOffset);
    hasAnswer = true;
  }
  co_return hasAnswer;
}

wire::Snapshot Control::snapshot() const {
  wire::Snapshot out = toWire(Settings.state());
  if (!Settings.isLoaded())
    out.settingsOffset = -1;
  return out;
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
  view.Nodes[record.Node] = {record.FleetAddress, record.BootId};
  if (record.IsLeaving)
    return;
  for (const EndpointRecord &endpoint : record.Endpoints) {
    if (endpoint.State == Standing::Draining)
      continue;
    std::vector<GateView> &gates = view.Services[endpoint.Service].Gates;
    auto gate = std::ranges::find(gates, record.Node, &GateView::Node);
    if (gate == gates.end()) {
      gates.push_back({record.Node, record.BootId, record.DataCentre,
                       endpoint.Slots, endpoint.State});
      continue;
    }
    gate->Slots += endpoint.Slots;
    if (rankOf(endpoint.State) < rankOf(gate->State))
      gate->State = endpoint.State;
  }
}

void Control::rebuild() {
  const SettingsState &settings = Settings.state();
  if (RoutesNext != settings.Next || !Routes) {
    Routes = std::make_shared<const RouteTable>(settings.Tree);
    RoutesNext = settings.Next;
  }
  auto view = std::make_shared<FleetView>();
  view->HasSettings = Settings.isLoaded();
  view->Routes = Routes;
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
    int share = policyAt(settings.Tree, path).Share;
    for (auto &[name, service] : view->Services)
      service.Shares[path.substr(1)] = share;
  }
  expireCrashes(Crashes, now());
  Crashes.Released.clear();
  for (const std::string &name : releasedFingerprints(settings.Tree))
    Crashes.Released.push_back(parseFingerprint(name));
  view->Crashes = Crashes;
  Counters.setMembers(double(view->Nodes.size()));
  View = view;
  Handlers.OnView(View);
}

nlohmann::json Control::report() const {
  json members = json::array();
  for (const auto &[node, member] : Members.state().Members)
    members.push_back(memberJson(member));
  json crashes = json::array();
  for (const auto &[fingerprint, it] : Crashes.Records)
    crashes.push_back({{"fingerprint", fingerprintName(fingerprint)},
                       {"crashes", it.Crashes},
                       {"remaining_ms", toMillis(it.Expiry - now()).count()}});
  return {{"node", Facts.Node},
          {"settings_next", Settings.state().Next},
          {"settings_loaded", Settings.isLoaded()},
          {"log_reachable", Settings.isLogReachable()},
          {"members", std::move(members)},
          {"quarantine", std::move(crashes)}};
}

} // namespace hickoryglade::fleet
