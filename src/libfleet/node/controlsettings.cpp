#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libhickoryglade/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of a node's control that follows the settings: from their source if
/// the node is one of its data centre's readers, else from peers.

namespace hickoryglade::fleet {

namespace {

constexpr Micros SnapshotTimeout = std::chrono::milliseconds(800);
constexpr std::size_t MaxSnapshotPeers = 3;

/// News of a settings document reaches most nodes from the store this soon;
/// only those left behind ask their peers.
constexpr Millis CatchUpDelay = std::chrono::milliseconds(300);

/// Those for whom others read ask at a time within this, so that they do not
/// all ask the first to know.
constexpr std::uint64_t CatchUpJitterMs = 120;

/// Between a reader's words to its data centre that it follows the source of
/// settings, and how long each counts. One may be lost before others read for
/// themselves, which leaves most of the 2 s in which a change must be in force.
constexpr Micros FreshnessPeriod = std::chrono::milliseconds(500);
constexpr Micros FreshTerm = std::chrono::milliseconds(1'200);

/// Members of the data centre that a node tells of settings it has taken.
constexpr std::size_t SettingsFanOut = 3;

} // namespace

/// One that is behind reads for itself if it cannot catch up.
void Control::noteFreshSettings(std::int64_t next) {
  if (next >= Settings.state().Next && !isBehind())
    FreshUntil = now() + FreshTerm;
}

/// A node that the store does not serve takes newer settings from a member
/// that says it has them.
void Control::startCatchUp() {
  if (!Directory || IsCatchingUp || !isBehind())
    return;
  IsCatchingUp = true;
  asio::co_spawn(Io, catchUp(), asio::detached);
}

bool Control::isReader() const {
  return Config.SettingsReaders == 0 || rankInDataCentre(Members.state()) <
                                            std::size_t(Config.SettingsReaders);
}

/// Waits while a reader's word that the settings are the newest counts. At the
/// start nobody knows yet who the readers are.
asio::awaitable<void> Control::awaitPollDue() {
  bool isStart = FreshUntil == Instant{};
  if (isStart)
    FreshUntil = now() + FreshTerm;
  asio::steady_timer timer(Io);
  while (now() < FreshUntil && (isStart || !isReader())) {
    isStart = false;
    timer.expires_at(toSteady(FreshUntil));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

/// While this node reads the source of settings, tells its data centre so.
void Control::scheduleFreshnessNotice() {
  FreshnessTimer.expires_after(FreshnessPeriod);
  FreshnessTimer.async_wait([this](const error_code &ec) {
    if (ec || IsLeaving)
      return;
    if (isReader() && Settings.isLogReachable() && Settings.isLoaded() &&
        !isBehind())
      Members.spreadSettings(peers(Members.state()).size(), true);
    scheduleFreshnessNotice();
  });
}

void Control::spreadSettings() {
  std::int64_t next = Settings.state().Next;
  if (Config.SettingsReaders == 0 || next <= SpreadNext)
    return;
  SpreadNext = next;
  bool isFresh = isReader() && Settings.isLogReachable();
  Members.spreadSettings(
      isFresh ? peers(Members.state()).size() : SettingsFanOut, isFresh);
}

bool Control::isBehind() const {
  return Members.state().Newest.Next > Settings.state().Next;
}

/// Members that have the newest settings, those of the own data centre if there
/// are any.
std::vector<std::string> Control::membersWithNewestSettings() const {
  std::vector<std::string> all = Members.state().Newest.Addresses;
  std::vector<std::string> near;
  for (const Member *peer : nearPeers(Members.state()))
    if (std::ranges::find(all, peer->Record.FleetAddress) != all.end())
      near.push_back(peer->Record.FleetAddress);
  return near.empty() ? all : near;
}

asio::awaitable<void> Control::catchUp() {
  asio::steady_timer timer(Io);
  while (isBehind()) {
    Millis delay = CatchUpDelay;
    if (!isReader())
      delay = Millis(std::uint64_t(wallMicros()) % CatchUpJitterMs);
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
    if (!isBehind())
      break;
    bool hasAnswer = co_await fetchSnapshotFrom(membersWithNewestSettings(), 1);
    if (!hasAnswer)
      hasAnswer = co_await fetchSnapshot();
    logEvent(LogLevel::Info, "settings_from_peer",
             {{"answered", hasAnswer}, {"next", Settings.state().Next}});
  }
  IsCatchingUp = false;
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
    addresses = Config.Seeds;
  co_return co_await fetchSnapshotFrom(std::move(addresses), MaxSnapshotPeers);
}

asio::awaitable<bool>
Control::fetchSnapshotFrom(std::vector<std::string> addresses,
                           std::size_t most) {
  std::ranges::shuffle(addresses, Random(std::uint64_t(wallMicros())));
  addresses.resize(std::min(addresses.size(), most));
  bool hasAnswer = false;
  for (const std::string &address : addresses) {
    if (address == Config.AdvertisedAddress)
      continue;
    NodeView view;
    view.FleetAddress = address;
    auto client =
        co_await Links.connect(address, view, now() + SnapshotTimeout);
    if (!client)
      continue;
    auto box = std::make_shared<StreamMailbox>(Io.get_executor());
    wire::Frame frame;
    frame.stream = client->open(box, 0);
    std::int64_t stream = frame.stream;
    frame.__set_snapshotRequest({});
    client->channel().send(std::move(frame));
    std::optional<StreamEvent> event =
        co_await box->next(now() + SnapshotTimeout);
    client->forget(stream);
    auto *content =
        event ? std::get_if<wire::Snapshot>(&event->Content) : nullptr;
    if (!content || content->settingsOffset < 0)
      continue;
    Settings.merge(fromWire(*content));
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

} // namespace hickoryglade::fleet
