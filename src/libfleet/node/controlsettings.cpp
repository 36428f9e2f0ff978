#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libhickoryglade/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

/// The part of a node's control plane that keeps the settings up to date: from
/// their source if it is this node's turn to read it, else from peers.

namespace hickoryglade::fleet {

namespace {

/// Members with the newest settings that are asked one after the other.
constexpr std::size_t MaxHolders = 2;

/// Share of the maximum age for which a node that starts does not read again:
/// enough to know the members, and short enough for those that read all the
/// time to tell the others before they have to read too.
constexpr int StartDivisor = 2;

/// Pause before another try after no member could give newer settings.
constexpr Millis CatchUpDelay = std::chrono::milliseconds(300);

/// Random delay of nodes that are not the first of their data centre, so that
/// they don't all fetch new settings from the first member that has them.
constexpr std::uint64_t CatchUpJitterMs = 120;

/// A read of the source that takes longer than this is announced, so that the
/// members which are next in rank don't begin another one.
constexpr Micros LongRead = std::chrono::milliseconds(50);
constexpr Micros ReadNoticePeriod = std::chrono::milliseconds(250);
/// Time after such a notice for which a node leaves the reading to its sender:
/// one notice may be lost.
constexpr Micros ReadNoticeTerm = std::chrono::milliseconds(600);

/// Number of members of the data centre to which a node sends the version of
/// settings that it did not read from the source itself.
constexpr std::size_t SettingsFanOut = 3;

} // namespace

ReadingPolicy Control::readingPolicy() const {
  return {std::size_t(Config.SettingsReaders), Config.SettingsMaxAge};
}

std::optional<Micros> Control::settingsAge() const {
  Instant asOf = Settings.freshness().AsOf;
  return asOf == Instant{} ? std::nullopt : std::optional(now() - asOf);
}

/// Ignores the age of other versions, and all while this node is behind: a node
/// that cannot catch up must read the source itself.
void Control::noteSettingsNotice(const SettingsNotice &notice) {
  if (notice.IsReading) {
    LeavesReadingUntil = now() + ReadNoticeTerm;
    relayNotice(notice.Sender, true);
  }
  HeardIncarnation = std::max(HeardIncarnation, notice.SourceIncarnation);
  reportIncarnation();
  if (!notice.Age || notice.Next < Settings.state().Next || isBehind())
    return;
  Instant asOf = now() - *notice.Age;
  if (asOf <= Settings.freshness().AsOf)
    return;
  Settings.noteCurrent(asOf);
  noteFreshness();
  relayNotice(notice.Sender, false);
  if (notice.Sender == FreshnessSender)
    return;
  FreshnessSender = notice.Sender;
  logEvent(LogLevel::Info, "settings_notice",
           {{"sender", notice.Sender},
            {"settings_next", notice.Next},
            {"age_ms", toMillis(*notice.Age).count()}});
}

/// Tells the traffic threads how old the settings may be.
void Control::noteFreshness() { AsOf->set(Settings.freshness().AsOf); }

void Control::sendSettingsNotice(const std::vector<const Member *> &targets,
                                 bool isReading) {
  Members.sendSettingsNotice(targets, settingsAge(), storeIncarnation(),
                             isReading);
}

/// Starts to fetch newer settings from a member that reports having them, so
/// that a node which the store does not serve gets them too.
void Control::startCatchUp() {
  if (!Directory || !isBehind())
    return;
  PollDueTimer.cancel();
  if (std::exchange(IsCatchingUp, true))
    return;
  asio::co_spawn(Io, catchUp(), asio::detached);
}

bool Control::isFirstInDataCentre() const {
  return rankInDataCentre(Members.state()) == 0;
}

/// Time until which newer settings are expected to arrive here, or at a member
/// that reads them. Ends when this node's knowledge gets too old.
Instant Control::arrivalEnd() const {
  Instant end = LeavesReadingUntil;
  if (IsReceiving)
    end = std::max(end, TransferProgressAt + TransferPauseLimit);
  return std::min(end, Settings.freshness().AsOf + Config.SettingsMaxAge);
}

/// At the start a node waits until it knows the members. The first member of a
/// data centre reads a new version from the source if no member can give it.
asio::awaitable<Millis> Control::awaitPollDue() {
  ReadingPolicy policy = readingPolicy();
  if (StartEnd == Instant{})
    StartEnd =
        policy.Readers > 0 ? now() + policy.MaxAge / StartDivisor : now();
  auto due = [&] {
    bool isNewVersion = isBehind() && newestNext() > RequestedNext;
    if (isNewVersion && HasCatchUpFailed && isFirstInDataCentre())
      return Settings.freshness().AsOf;
    ReadingPlace place = readingPlace(Members.state());
    Instant at =
        std::max(StartEnd, readDue(Settings.freshness(), policy, place));
    return place.Rank < policy.Readers ? at : std::max(at, arrivalEnd());
  };
  for (Instant at = due(); now() < at; at = due()) {
    error_code ec;
    PollDueTimer.expires_at(toSteady(at));
    co_await PollDueTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  RequestedNext = newestNext();
  bool isReader = policy.Readers == 0 ||
                  readingPlace(Members.state()).Rank < policy.Readers;
  co_return isReader ? toMillis(longestPollWait(policy)) : Millis(0);
}

/// Tells the data centre, and one member of each other one, how current this
/// node's settings are known to be, or that newer ones are arriving.
void Control::shareNotice(bool isReading) {
  std::vector<const Member *> targets = nearPeers(Members.state());
  std::ranges::copy(firstMembersElsewhere(Members.state()),
                    std::back_inserter(targets));
  sendSettingsNotice(targets, isReading);
}

void Control::shareFreshness() {
  if (Config.SettingsReaders > 0 && !IsLeaving && !isBehind())
    shareNotice(false);
}

void Control::announceReading(Micros arrivesSince) {
  bool isDue =
      arrivesSince >= LongRead && now() - ReadAnnouncedAt >= ReadNoticePeriod;
  if (Config.SettingsReaders == 0 || IsLeaving || !isDue)
    return;
  ReadAnnouncedAt = now();
  shareNotice(true);
}

/// Passes on to the data centre what a member elsewhere knows, or that it is
/// reading.
void Control::relayNotice(const std::string &sender, bool isReading) {
  auto member = Members.state().Members.find(sender);
  bool isElsewhere = member != Members.state().Members.end() &&
                     member->second.Record.DataCentre != Config.DataCentre;
  if (isElsewhere && isFirstInDataCentre() && !IsLeaving)
    sendSettingsNotice(nearPeers(Members.state()), isReading);
}

void Control::spreadSettings() {
  std::int64_t next = Settings.state().Next;
  if (Config.SettingsReaders == 0 || next <= SpreadNext)
    return;
  SpreadNext = next;
  sendSettingsNotice(isFirstInDataCentre()
                         ? nearPeers(Members.state())
                         : Members.someNearPeers(SettingsFanOut),
                     false);
}

std::int64_t Control::newestNext() const {
  return Members.state().NewestSettings.Next;
}

bool Control::isBehind() const { return newestNext() > Settings.state().Next; }

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
  bool isFirst = isFirstInDataCentre();
  Millis delay{0};
  while (isBehind()) {
    if (!isFirst)
      delay += Millis(std::uint64_t(wallMicros()) % CatchUpJitterMs);
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
    if (!isBehind())
      break;
    Instant begin = now();
    std::int64_t before = Settings.state().Next;
    FetchResult result =
        co_await fetchFromAny(membersWithNewestSettings(), MaxHolders);
    if (result == FetchResult::Failed)
      result = co_await fetchFromMembers();
    logEvent(LogLevel::Info, "settings_from_peer",
             {{"answered", result == FetchResult::Answered},
              {"busy", result == FetchResult::Busy},
              {"next", Settings.state().Next},
              {"ms", toMillis(now() - begin).count()}});
    // A member may have answered that has nothing newer either.
    HasCatchUpFailed =
        Settings.state().Next == before && result != FetchResult::Busy;
    if (HasCatchUpFailed)
      PollDueTimer.cancel();
    delay = HasCatchUpFailed ? CatchUpDelay : Millis(0);
    isFirst = false;
  }
  HasCatchUpFailed = false;
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

} // namespace hickoryglade::fleet
