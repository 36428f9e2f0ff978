#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libhickoryglade/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of a node's control plane that keeps the settings up to date: from
/// their source if the node is a reader of its data centre, else from peers.

namespace hickoryglade::fleet {

namespace {

constexpr Micros SnapshotTimeout = std::chrono::milliseconds(800);
constexpr std::size_t MaxSnapshotPeers = 3;

/// Time in which most readers get a new settings document from the store. Only
/// those that are still behind after it fetch the document from a peer.
constexpr Millis CatchUpDelay = std::chrono::milliseconds(300);

/// Random delay of nodes that don't read the store, so that they don't all
/// fetch new settings from the first member that has them.
constexpr std::uint64_t CatchUpJitterMs = 120;

/// Interval of a reader's freshness notices to its data centre, and how long
/// each is valid. One notice may be lost before other nodes read the source
/// themselves, and most of the 2 s in which a change must be in force remain.
constexpr Micros FreshnessPeriod = std::chrono::milliseconds(500);
constexpr Micros FreshTerm = std::chrono::milliseconds(1'200);

/// Interval at which a node logs the freshness notices that it gets.
constexpr Micros NoticeLogPeriod = std::chrono::seconds(1);

/// Number of members of the data centre to which a node sends the version of
/// settings that it did not read from the source itself.
constexpr std::size_t SettingsFanOut = 3;

} // namespace

/// Ignores notices of older settings, and all while this node is behind: a node
/// that cannot catch up must read the source itself.
void Control::noteFreshSettings(const std::string &sender, std::int64_t next) {
  if (next < Settings.state().Next || isBehind())
    return;
  FreshUntil = now() + FreshTerm;
  if (now() < NoticeLoggedAt + NoticeLogPeriod)
    return;
  NoticeLoggedAt = now();
  logEvent(LogLevel::Info, "settings_notice",
           {{"sender", sender},
            {"settings_next", next},
            {"source_age_ms",
             toMillis(now() - Settings.sourceAnsweredAt()).count()}});
}

/// Starts to fetch newer settings from a member that reports having them, so
/// that a node which the store does not serve gets them too.
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

/// Waits while a reader's freshness notice is valid. At the start, every node
/// waits once, since the readers are not known yet.
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

/// Sends freshness notices to the data centre while this node reads the source
/// of settings.
void Control::scheduleFreshnessNotice() {
  FreshnessTimer.expires_after(FreshnessPeriod);
  FreshnessTimer.async_wait([this](const error_code &ec) {
    if (ec || IsLeaving)
      return;
    if (isReader() && Settings.isLogReachable() && Settings.isLoaded() &&
        !isBehind())
      Members.sendSettingsVersion(peers(Members.state()).size(), true);
    scheduleFreshnessNotice();
  });
}

void Control::spreadSettings() {
  std::int64_t next = Settings.state().Next;
  if (Config.SettingsReaders == 0 || next <= SpreadNext)
    return;
  SpreadNext = next;
  bool isFresh = isReader() && Settings.isLogReachable();
  Members.sendSettingsVersion(
      isFresh ? peers(Members.state()).size() : SettingsFanOut, isFresh);
}

bool Control::isBehind() const {
  return Members.state().NewestSettings.Next > Settings.state().Next;
}

/// Returns the addresses of members with the newest settings: those in the own
/// data centre, or all if there are none.
std::vector<std::string> Control::membersWithNewestSettings() const {
  std::vector<std::string> all = Members.state().NewestSettings.Addresses;
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

/// Returns this node's rank among all members for a task that one of them must
/// do.
std::size_t Control::refreshRank(const std::string &what) const {
  const Membership &state = Members.state();
  std::uint64_t own = stableHash(what, stableHash(state.Self));
  auto isBefore = [&](const Member *it) {
    return stableHash(what, stableHash(it->Record.Node)) < own;
  };
  return std::size_t(std::ranges::count_if(peers(state), isBefore));
}

/// Requests the settings from a few members, or from seeds while no member is
/// known. Returns false if none replied.
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
    client->closeStream(stream);
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
