#include "libfleet/peers/membershipservice.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"
#include "libfleet/peers/framecodec.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hickoryglade::fleet {

namespace {

/// Keeps the service from spinning on due times in the past.
constexpr Micros MinTickInterval = std::chrono::milliseconds(10);

/// Members to which an urgent change is sent at once; the others receive it by
/// gossip.
constexpr std::size_t UrgentFanOut = 32;

/// Members to which a node forwards a crash record that is new to it.
constexpr std::size_t CrashFanOut = 4;

/// Older knowledge of how current settings are is of no use to others.
constexpr Micros MaxSettingsAge = std::chrono::minutes(1);

std::optional<Micros> settingsAgeOf(const wire::Gossip &gossip) {
  bool isUsable = gossip.__isset.settingsAgeMs && gossip.settingsAgeMs >= 0 &&
                  gossip.settingsAgeMs <= toMillis(MaxSettingsAge).count();
  return isUsable ? std::optional<Micros>(Millis(gossip.settingsAgeMs))
                  : std::nullopt;
}

std::optional<udp::endpoint> toEndpoint(const std::string &address) {
  std::optional<Address> parsed = parseAddress(address);
  if (!parsed)
    return std::nullopt;
  return udp::endpoint(asio::ip::make_address(parsed->Ip), parsed->Port);
}

} // namespace

MembershipService::MembershipService(asio::io_context &io,
                                     std::string listenAddress,
                                     TrafficCounters &traffic,
                                     Membership initial, Events events)
    : Socket(io), Timer(io), ListenAddress(std::move(listenAddress)),
      Traffic(traffic), State(std::move(initial)), Handlers(std::move(events)) {
}

absl::Status MembershipService::start() {
  std::optional<udp::endpoint> at = toEndpoint(ListenAddress);
  if (!at)
    return absl::InvalidArgumentError("not an address: " + ListenAddress);
  error_code ec;
  Socket.open(at->protocol(), ec);
  if (!ec)
    Socket.bind(*at, ec);
  if (ec)
    return absl::UnavailableError("cannot listen on " + ListenAddress +
                                  " (UDP): " + ec.message());
  Socket.non_blocking(true, ec);
  receiveNext();
  scheduleTick();
  return absl::OkStatus();
}

void MembershipService::publishSelf(const MemberRecord &record, bool isUrgent) {
  std::int64_t before = State.Revision;
  updateSelf(State, record);
  if (isUrgent && State.Revision != before)
    send(broadcastSelf(State, UrgentFanOut));
  reportChange();
}

void MembershipService::addSeeds(const std::vector<std::string> &addresses) {
  hickoryglade::addSeeds(State, addresses, now());
  scheduleTick();
}

void MembershipService::broadcastCrash(std::uint64_t fingerprint,
                                       const CrashRecord &record) {
  std::size_t before = Known.Records[fingerprint].Crashes.size();
  if (!mergeCrash(Known, fingerprint, record))
    return;
  bool isNewCrash = Known.Records[fingerprint].Crashes.size() > before;
  // Many nodes may clear a content at the same time.
  sendCrash(fingerprint, record,
            isNewCrash ? peers(State).size() : CrashFanOut);
}

wire::Gossip MembershipService::ownGossip() const {
  wire::Gossip gossip;
  gossip.kind = wire::GossipKind::UPDATES;
  gossip.sender = State.Self;
  gossip.senderAddress = State.Members.at(State.Self).Record.FleetAddress;
  if (State.SettingsNext > 0)
    gossip.__set_settingsNext(State.SettingsNext);
  return gossip;
}

void MembershipService::broadcastStandings(const StandingReport &report) {
  wire::Gossip gossip = ownGossip();
  gossip.__set_standings(toWire(report));
  std::string bytes = encodeGossip(gossip);
  for (const Member *peer : nearPeers(State))
    sendBytes(peer->Record.FleetAddress, bytes, TrafficCause::Standings);
}

std::vector<const Member *>
MembershipService::someNearPeers(std::size_t fanOut) {
  std::vector<const Member *> some = nearPeers(State);
  std::ranges::shuffle(some, State.Rng);
  some.resize(std::min(some.size(), fanOut));
  return some;
}

void MembershipService::sendSettingsNotice(
    const std::vector<const Member *> &targets, std::optional<Micros> age,
    std::int64_t sourceIncarnation, bool isReading) {
  wire::Gossip gossip = ownGossip();
  gossip.isReadingSettings = isReading;
  if (age && *age <= MaxSettingsAge) {
    gossip.isSettingsFresh = true;
    gossip.__set_settingsAgeMs(std::chrono::ceil<Millis>(*age).count());
  }
  if (sourceIncarnation > 0)
    gossip.__set_sourceIncarnation(sourceIncarnation);
  std::string bytes = encodeGossip(gossip);
  for (const Member *target : targets)
    sendBytes(target->Record.FleetAddress, bytes, TrafficCause::Settings);
}

void MembershipService::sendCrash(std::uint64_t fingerprint,
                                  const CrashRecord &record,
                                  std::size_t fanOut) {
  wire::Gossip gossip = ownGossip();
  gossip.quarantines.push_back(toWire(fingerprint, record, now()));
  std::string bytes = encodeGossip(gossip);
  std::vector<const Member *> targets = peers(State);
  std::ranges::shuffle(targets, State.Rng);
  targets.resize(std::min(targets.size(), fanOut));
  for (const Member *target : targets)
    sendBytes(target->Record.FleetAddress, bytes);
}

void MembershipService::receiveNext() {
  Socket.async_receive_from(asio::buffer(Buffer), Sender,
                            [this](const error_code &ec, std::size_t n) {
                              if (ec == asio::error::operation_aborted)
                                return;
                              if (!ec)
                                handleDatagram(n);
                              receiveNext();
                            });
}

void MembershipService::handleDatagram(std::size_t n) {
  auto gossip = decodeGossip(std::string_view(Buffer.data(), n));
  auto message = gossip ? fromWire(*gossip) : std::nullopt;
  if (!message) {
    logEvent(LogLevel::Warn, "gossip_malformed", {{"bytes", n}});
    return;
  }
  std::int64_t newest = State.NewestSettings.Next;
  bool wasProbing = State.Pending.has_value();
  send(receive(State, *message, now()));
  if (!State.DepartedBeforeRestart.empty() && Handlers.OnDeparted)
    Handlers.OnDeparted(std::exchange(State.DepartedBeforeRestart, {}));
  // The probe has been answered: avoids the wake-up at its timeout.
  if (wasProbing && !State.Pending)
    scheduleTick();
  if (State.NewestSettings.Next > newest && Handlers.OnNewerSettings)
    Handlers.OnNewerSettings();
  takeCrashes(*gossip);
  bool isNotice = gossip->__isset.settingsAgeMs ||
                  gossip->__isset.sourceIncarnation ||
                  gossip->isReadingSettings;
  if (isNotice && Handlers.OnSettingsNotice)
    Handlers.OnSettingsNotice(
        {message->Sender, message->SettingsNext, settingsAgeOf(*gossip),
         gossip->__isset.sourceIncarnation ? gossip->sourceIncarnation : 0,
         gossip->isReadingSettings});
  if (gossip->__isset.standings)
    if (auto report = fromWire(gossip->standings))
      Handlers.OnStandings(*report);
  reportChange();
}

void MembershipService::takeCrashes(const wire::Gossip &gossip) {
  expireCrashes(Known, now());
  for (const wire::QuarantineRecord &it : gossip.quarantines) {
    CrashRecord record = fromWire(it, now());
    auto fingerprint = std::uint64_t(it.fingerprint);
    if (!mergeCrash(Known, fingerprint, record))
      continue;
    Handlers.OnCrash(fingerprint, record);
    sendCrash(fingerprint, Known.Records[fingerprint], CrashFanOut);
  }
}

void MembershipService::send(const std::vector<OutgoingGossip> &messages) {
  for (const OutgoingGossip &it : messages)
    sendBytes(it.Address, encodeGossip(toWire(it.Message)));
}

void MembershipService::sendBytes(const std::string &address,
                                  const std::string &bytes,
                                  TrafficCause cause) {
  std::optional<udp::endpoint> to = toEndpoint(address);
  if (!to)
    return;
  error_code ec;
  // Standings are sent within the data centre only.
  bool isBroad = cause != TrafficCause::Standings;
  Traffic.add(cause, isBroad && isFar(address), bytes.size());
  Socket.send_to(asio::buffer(bytes), *to, 0, ec);
}

bool MembershipService::isFar(const std::string &address) const {
  const std::string &own = State.Members.at(State.Self).Record.DataCentre;
  return std::ranges::none_of(State.Members, [&](const auto &it) {
    const MemberRecord &record = it.second.Record;
    return record.DataCentre == own && record.FleetAddress == address;
  });
}

void MembershipService::scheduleTick() {
  Instant due = std::max(nextDue(State), now() + MinTickInterval);
  Timer.expires_at(toSteady(due));
  Timer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    send(tick(State, now()));
    reportChange();
    scheduleTick();
  });
}

void MembershipService::reportChange() {
  if (State.Revision == ReportedRevision)
    return;
  ReportedRevision = State.Revision;
  Handlers.OnChange();
}

} // namespace hickoryglade::fleet
