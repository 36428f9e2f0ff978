#include "libhickoryglade/membership.h"

#include "libhickoryglade/hash.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <ranges>
#include <utility>

namespace hickoryglade {

namespace {

/// The customary period of SWIM. Links in use detect failures sooner by
/// themselves.
constexpr Micros ProbePeriod = std::chrono::seconds(1);
constexpr Micros DirectTimeout = std::chrono::milliseconds(200);
constexpr Micros ProbeTimeout = std::chrono::milliseconds(450);
constexpr Micros SuspicionTimeout = std::chrono::seconds(3);
constexpr Micros SyncPeriod = std::chrono::seconds(5);

/// A node that has just started synchronises more often, and with several
/// members at a time.
constexpr Micros JoinPeriod = std::chrono::seconds(2);
constexpr Micros JoinSyncPeriod = std::chrono::milliseconds(300);
constexpr std::size_t JoinSyncs = 2;

/// One synchronisation in this many may be with another data centre.
constexpr std::uint64_t FarSyncOdds = 4;

/// Dead members are kept for this long, so that outdated updates do not
/// resurrect them.
constexpr Micros DeadRetention = std::chrono::hours(1);

constexpr std::size_t IndirectProbes = 3;

/// Each update is piggybacked this many times the logarithm of the number of
/// members. Anti-entropy repairs what that misses.
constexpr int TransmissionFactor = 1;

/// Limit of transmissions for messages to other data centres, where the
/// receivers spread an update among themselves.
constexpr int FarTransmissions = 2;

/// Limit of transmissions for an update that its subject has already broadcast.
constexpr int BroadcastTransmissions = 1;

/// A transmission count above any limit.
constexpr int FullyTransmitted = 1'000;

/// Bounds the size of a datagram. A record weighs more the more endpoints it
/// lists.
constexpr std::size_t MaxWeight = 40;

std::size_t weightOf(const MemberUpdate &update) {
  return 2 + update.Record.Endpoints.size();
}

std::size_t bucketOf(const std::string &node) {
  return stableHash(node) % SyncBuckets;
}

int maxTransmissions(const Membership &state) {
  return TransmissionFactor * int(std::bit_width(state.Members.size() + 1));
}

const MemberRecord &self(const Membership &state) {
  return state.Members.at(state.Self).Record;
}

/// Order of tasks among the members of a data centre. Those with the widest
/// links come first, because the first ones read the settings and pass them on.
bool isBefore(const MemberRecord &a, const MemberRecord &b) {
  return std::pair(-a.LinkMbps, stableHash(a.Node)) <
         std::pair(-b.LinkMbps, stableHash(b.Node));
}

bool isNear(const Membership &state, const std::string &address) {
  auto it = std::ranges::find_if(state.Members, [&](const auto &entry) {
    return entry.second.Record.FleetAddress == address;
  });
  return it != state.Members.end() &&
         it->second.Record.DataCentre == self(state).DataCentre;
}

/// The updates with the fewest transmissions that fit into one datagram.
std::vector<MemberUpdate> freshUpdates(Membership &state,
                                       const std::string &address) {
  int most = maxTransmissions(state);
  if (!isNear(state, address))
    most = std::min(most, FarTransmissions);
  std::vector<Member *> fresh;
  for (auto &[node, member] : state.Members)
    if (member.Transmissions <
        (member.IsBroadcast ? BroadcastTransmissions : most))
      fresh.push_back(&member);
  std::ranges::stable_sort(fresh, {}, &Member::Transmissions);
  std::vector<MemberUpdate> updates;
  std::size_t weight = 0;
  for (Member *member : fresh) {
    MemberUpdate update{member->Record, member->State};
    weight += weightOf(update);
    if (weight > MaxWeight && !updates.empty())
      break;
    ++member->Transmissions;
    updates.push_back(std::move(update));
  }
  return updates;
}

OutgoingGossip compose(Membership &state, GossipKind kind,
                       const std::string &address, std::int64_t sequence,
                       std::string target = {}) {
  return {address,
          {kind,
           state.Self,
           self(state).FleetAddress,
           sequence,
           std::move(target),
           freshUpdates(state, address),
           {},
           state.SettingsNext}};
}

/// Splits updates over as many datagrams as necessary.
void sendAll(const Membership &state, const std::string &address,
             const std::vector<MemberUpdate> &updates,
             std::vector<OutgoingGossip> &out) {
  GossipMessage message{
      GossipKind::Updates, state.Self, self(state).FleetAddress, 0, {}, {}, {},
      state.SettingsNext};
  std::size_t weight = 0;
  for (const MemberUpdate &update : updates) {
    weight += weightOf(update);
    if (weight > MaxWeight && !message.Updates.empty()) {
      out.push_back({address, message});
      message.Updates.clear();
      weight = weightOf(update);
    }
    message.Updates.push_back(update);
  }
  if (!message.Updates.empty())
    out.push_back({address, message});
}

void setState(Membership &state, Member &member, MemberState next,
              Instant now) {
  member.State = next;
  member.StateSince = now;
  member.Transmissions = 0;
  member.IsBroadcast = false;
  ++state.Revision;
}

/// Refutes an update that reports this node as suspect or dead, by raising the
/// version of the own record.
void refute(Membership &state, const MemberUpdate &update) {
  Member &own = state.Members.at(state.Self);
  if (update.Record.BootId < own.Record.BootId)
    std::ranges::copy(update.Record.Departed,
                      std::back_inserter(state.DepartedBeforeRestart));
  bool isAboutThisBoot = update.Record.BootId == own.Record.BootId;
  if (!isAboutThisBoot || update.Record.Version < own.Record.Version)
    return;
  if (update.State == MemberState::Alive &&
      update.Record.Version == own.Record.Version)
    return;
  own.Record.Version = update.Record.Version + 1;
  own.Transmissions = 0;
}

/// Applies an update if it is newer. Updates that arrive in bulk have been sent
/// to other members before and are not piggybacked again.
void merge(Membership &state, const MemberUpdate &update, bool isBulk,
           Instant now) {
  const std::string &node = update.Record.Node;
  if (node.empty())
    return;
  if (node == state.Self) {
    refute(state, update);
    return;
  }
  auto [it, isNew] = state.Members.try_emplace(node);
  Member &member = it->second;
  bool isLater = isNew || isNewer(update.Record, member.Record);
  bool isSame = !isLater && !isNewer(member.Record, update.Record);
  if (!isLater && !(isSame && update.State > member.State)) {
    // A known update has already spread, so it needs fewer transmissions.
    if (isSame && update.State == member.State)
      ++member.Transmissions;
    return;
  }
  if (isLater)
    member.Record = update.Record;
  setState(state, member, update.State, now);
  if (isBulk)
    member.Transmissions = FullyTransmitted;
}

/// Sends a restarted node the record of its earlier process, which lists the
/// endpoints that had left.
void sendDeparted(const Membership &state, const GossipMessage &message,
                  std::vector<OutgoingGossip> &out) {
  auto member = state.Members.find(message.Sender);
  if (member == state.Members.end() || message.Sender == state.Self ||
      member->second.Record.Departed.empty())
    return;
  const MemberRecord &known = member->second.Record;
  bool isRestart =
      std::ranges::any_of(message.Updates, [&](const MemberUpdate &it) {
        return it.Record.Node == known.Node && it.Record.BootId > known.BootId;
      });
  if (isRestart)
    sendAll(state, message.SenderAddress, {{known, MemberState::Alive}}, out);
}

/// A node sends changes of its own record to many members at once, as the only
/// update of a message.
void noteBroadcast(Membership &state, const GossipMessage &message) {
  auto member = state.Members.find(message.Sender);
  bool isDirect = message.Kind == GossipKind::Updates &&
                  message.Updates.size() == 1 &&
                  message.Updates.front().Record.Node == message.Sender;
  if (!isDirect || member == state.Members.end())
    return;
  member->second.IsBroadcast = true;
}

std::vector<std::string> probeTargets(const Membership &state) {
  std::vector<std::string> targets;
  for (const auto &[node, member] : state.Members)
    if (node != state.Self && member.State != MemberState::Dead)
      targets.push_back(node);
  return targets;
}

std::optional<std::string> nextTarget(Membership &state) {
  if (state.ProbeOrder.empty()) {
    state.ProbeOrder = probeTargets(state);
    std::ranges::shuffle(state.ProbeOrder, state.Rng);
  }
  if (state.ProbeOrder.empty())
    return std::nullopt;
  std::string target = state.ProbeOrder.back();
  state.ProbeOrder.pop_back();
  auto it = state.Members.find(target);
  bool isGone =
      it == state.Members.end() || it->second.State == MemberState::Dead;
  return isGone ? nextTarget(state) : std::optional(target);
}

void startProbe(Membership &state, Instant now,
                std::vector<OutgoingGossip> &out) {
  state.NextProbe = now + ProbePeriod;
  std::optional<std::string> target = nextTarget(state);
  if (!target)
    return;
  std::int64_t sequence = state.NextSequence++;
  state.Pending = {*target, sequence, now, false};
  const Member &member = state.Members.at(*target);
  out.push_back(
      compose(state, GossipKind::Ping, member.Record.FleetAddress, sequence));
  if (member.State == MemberState::Suspect)
    out.back().Message.Updates.push_back({member.Record, member.State});
}

void probeIndirectly(Membership &state, std::vector<OutgoingGossip> &out) {
  state.Pending->IsIndirect = true;
  std::vector<std::string> relays = probeTargets(state);
  std::erase(relays, state.Pending->Target);
  std::ranges::shuffle(relays, state.Rng);
  relays.resize(std::min(relays.size(), IndirectProbes));
  for (const std::string &relay : relays)
    out.push_back(compose(state, GossipKind::PingRequest,
                          state.Members.at(relay).Record.FleetAddress,
                          state.Pending->Sequence, state.Pending->Target));
}

void checkPendingProbe(Membership &state, Instant now,
                       std::vector<OutgoingGossip> &out) {
  if (!state.Pending)
    return;
  Micros age = now - state.Pending->SentAt;
  if (age >= DirectTimeout && !state.Pending->IsIndirect)
    probeIndirectly(state, out);
  if (age < ProbeTimeout)
    return;
  auto it = state.Members.find(state.Pending->Target);
  if (it != state.Members.end() && it->second.State == MemberState::Alive)
    setState(state, it->second, MemberState::Suspect, now);
  state.Pending.reset();
}

void expireStates(Membership &state, Instant now) {
  for (auto &[node, member] : state.Members)
    if (member.State == MemberState::Suspect &&
        now - member.StateSince >= SuspicionTimeout)
      setState(state, member, MemberState::Dead, now);
  std::erase_if(state.Members, [&](const auto &it) {
    return it.second.State == MemberState::Dead &&
           now - it.second.StateSince > DeadRetention;
  });
  std::erase_if(state.Relays, [&](const auto &it) { return it.Expiry <= now; });
}

std::vector<std::string> peerAddresses(const Membership &state) {
  std::vector<std::string> all;
  for (const Member *peer : peers(state))
    all.push_back(peer->Record.FleetAddress);
  return all;
}

/// Addresses of dead members and of seeds that are no known members. Contacting
/// them lets parts of a fleet find each other after a network partition or a
/// separate start.
std::vector<std::string> rejoinAddresses(const Membership &state) {
  std::vector<std::string> all;
  for (const auto &[node, member] : state.Members)
    if (member.State == MemberState::Dead && !member.Record.IsLeaving)
      all.push_back(member.Record.FleetAddress);
  std::vector<std::string> known = peerAddresses(state);
  for (const std::string &seed : state.Seeds)
    if (seed != self(state).FleetAddress &&
        std::ranges::find(known, seed) == known.end())
      all.push_back(seed);
  return all;
}

void sendSyncs(Membership &state, std::vector<std::string> addresses,
               std::size_t most, std::vector<OutgoingGossip> &out) {
  std::ranges::shuffle(addresses, state.Rng);
  addresses.resize(std::min(addresses.size(), most));
  for (const std::string &address : addresses) {
    // The message piggybacks no updates, as they would count as transmitted.
    out.push_back({address,
                   {GossipKind::Sync,
                    state.Self,
                    self(state).FleetAddress,
                    0,
                    {},
                    {{self(state), MemberState::Alive}},
                    bucketHashes(state),
                    state.SettingsNext}});
  }
}

/// Mostly addresses in the own data centre: differences between data centres
/// are few, and any pair of their members finds them.
std::vector<std::string> syncAddresses(Membership &state, bool isJoining) {
  std::vector<std::string> near;
  for (const Member *peer : nearPeers(state))
    near.push_back(peer->Record.FleetAddress);
  bool staysNear = isJoining || uniform(state.Rng, FarSyncOdds) != 0;
  return staysNear && !near.empty() ? near : peerAddresses(state);
}

void startSync(Membership &state, Instant now,
               std::vector<OutgoingGossip> &out) {
  bool isJoining =
      state.Members.size() <= 1 || now - state.StartedAt < JoinPeriod;
  state.NextSync = now + (isJoining ? JoinSyncPeriod : SyncPeriod);
  std::size_t most = isJoining ? JoinSyncs : 1;
  sendSyncs(state, syncAddresses(state, isJoining), most, out);
  sendSyncs(state, rejoinAddresses(state), most, out);
}

/// Sends the records in the buckets that differ.
void answerSync(const Membership &state, const GossipMessage &message,
                std::vector<OutgoingGossip> &out) {
  BucketHashes own = bucketHashes(state);
  std::vector<MemberUpdate> updates;
  for (const auto &[node, member] : state.Members) {
    std::size_t bucket = bucketOf(node);
    if (own[bucket] != message.Buckets[bucket])
      updates.push_back({member.Record, member.State});
  }
  sendAll(state, message.SenderAddress, updates, out);
}

/// Number of addresses kept of nodes with the latest settings, enough to
/// distribute the load of fetching them.
constexpr std::size_t MaxHolders = 8;

void noteHolder(Membership &state, const GossipMessage &message) {
  Membership::SettingsHolders &newest = state.NewestSettings;
  if (message.SettingsNext > newest.Next)
    newest = {{}, message.SettingsNext};
  bool isHolder =
      message.SettingsNext > 0 && message.SettingsNext == newest.Next;
  if (isHolder && newest.Addresses.size() < MaxHolders &&
      std::ranges::find(newest.Addresses, message.SenderAddress) ==
          newest.Addresses.end())
    newest.Addresses.push_back(message.SenderAddress);
}

void relayAck(Membership &state, const GossipMessage &message,
              std::vector<OutgoingGossip> &out) {
  auto it = std::ranges::find(state.Relays, message.Sequence,
                              &Membership::Relay::OwnSequence);
  if (it == state.Relays.end())
    return;
  out.push_back(compose(state, GossipKind::Ack, it->Address, it->TheirSequence,
                        message.Sender));
  state.Relays.erase(it);
}

/// Ends the pending probe only. A suspicion ends when the suspect sends a newer
/// version of its record, which the probe has caused it to do.
void handleAck(Membership &state, const GossipMessage &message) {
  if (state.Pending && state.Pending->Sequence == message.Sequence)
    state.Pending.reset();
}

void handlePingRequest(Membership &state, const GossipMessage &message,
                       Instant now, std::vector<OutgoingGossip> &out) {
  auto it = state.Members.find(message.Target);
  if (it == state.Members.end())
    return;
  std::int64_t sequence = state.NextSequence++;
  state.Relays.push_back(
      {sequence, message.Sequence, message.SenderAddress, now + ProbePeriod});
  out.push_back(compose(state, GossipKind::Ping, it->second.Record.FleetAddress,
                        sequence));
}

} // namespace

Membership makeMembership(MemberRecord self, std::vector<std::string> seeds,
                          std::uint64_t seed, Instant now) {
  Membership state;
  state.Self = self.Node;
  state.Seeds = std::move(seeds);
  state.Rng.seed(seed);
  state.Members[state.Self] = {std::move(self), MemberState::Alive, now, 0};
  state.StartedAt = now;
  state.NextProbe = now;
  state.NextSync = now;
  return state;
}

void addSeeds(Membership &state, const std::vector<std::string> &addresses,
              Instant now) {
  for (const std::string &it : addresses)
    if (std::ranges::find(state.Seeds, it) == state.Seeds.end())
      state.Seeds.push_back(it);
  state.NextSync = now;
}

Instant nextDue(const Membership &state) {
  Instant due = std::min(state.NextSync, state.NextProbe);
  if (state.Pending)
    due = state.Pending->SentAt +
          (state.Pending->IsIndirect ? ProbeTimeout : DirectTimeout);
  due = std::min(due, state.NextSync);
  for (const auto &[node, member] : state.Members)
    if (member.State == MemberState::Suspect)
      due = std::min(due, member.StateSince + SuspicionTimeout);
  return due;
}

void updateSelf(Membership &state, MemberRecord record) {
  Member &own = state.Members.at(state.Self);
  record.Version = own.Record.Version;
  if (record == own.Record)
    return;
  ++record.Version;
  own.Record = std::move(record);
  own.Transmissions = 0;
  ++state.Revision;
}

std::vector<OutgoingGossip> tick(Membership &state, Instant now) {
  std::vector<OutgoingGossip> out;
  checkPendingProbe(state, now, out);
  expireStates(state, now);
  if (now >= state.NextProbe && !state.Pending)
    startProbe(state, now, out);
  if (now >= state.NextSync)
    startSync(state, now, out);
  return out;
}

std::vector<OutgoingGossip> receive(Membership &state,
                                    const GossipMessage &message, Instant now) {
  std::vector<OutgoingGossip> out;
  sendDeparted(state, message, out);
  bool isBulk =
      message.Kind == GossipKind::Updates && message.Updates.size() > 1;
  for (const MemberUpdate &update : message.Updates)
    merge(state, update, isBulk, now);
  noteBroadcast(state, message);
  noteHolder(state, message);
  switch (message.Kind) {
  case GossipKind::Ping:
    out.push_back(compose(state, GossipKind::Ack, message.SenderAddress,
                          message.Sequence, state.Self));
    break;
  case GossipKind::Ack:
    relayAck(state, message, out);
    handleAck(state, message);
    break;
  case GossipKind::PingRequest:
    handlePingRequest(state, message, now, out);
    break;
  case GossipKind::Sync:
    answerSync(state, message, out);
    break;
  case GossipKind::Updates:
    break;
  }
  return out;
}

std::vector<OutgoingGossip> broadcastSelf(Membership &state,
                                          std::size_t fanOut) {
  std::vector<const Member *> targets = peers(state);
  std::ranges::shuffle(targets, state.Rng);
  targets.resize(std::min(targets.size(), fanOut));
  std::vector<OutgoingGossip> out;
  MemberUpdate own{self(state), MemberState::Alive};
  for (const Member *target : targets)
    sendAll(state, target->Record.FleetAddress, {own}, out);
  return out;
}

std::vector<const Member *> peers(const Membership &state) {
  std::vector<const Member *> all;
  for (const auto &[node, member] : state.Members)
    if (node != state.Self && member.State != MemberState::Dead &&
        !member.Record.IsLeaving)
      all.push_back(&member);
  return all;
}

std::vector<const Member *> nearPeers(const Membership &state) {
  std::vector<const Member *> all = peers(state);
  std::erase_if(all, [&](const Member *it) {
    return it->Record.DataCentre != self(state).DataCentre;
  });
  return all;
}

std::size_t rankInDataCentre(const Membership &state) {
  return std::size_t(
      std::ranges::count_if(nearPeers(state), [&](const Member *it) {
        return isBefore(it->Record, self(state));
      }));
}

std::vector<const Member *> firstMembersElsewhere(const Membership &state) {
  std::map<std::string, const Member *> first;
  for (const Member *it : peers(state)) {
    if (it->Record.DataCentre == self(state).DataCentre)
      continue;
    auto [at, isNew] = first.try_emplace(it->Record.DataCentre, it);
    if (!isNew && isBefore(it->Record, at->second->Record))
      at->second = it;
  }
  std::vector<const Member *> all;
  std::ranges::copy(first | std::views::values, std::back_inserter(all));
  return all;
}

ReadingPlace readingPlace(const Membership &state) {
  std::vector<const Member *> elsewhere = firstMembersElsewhere(state);
  std::uint64_t own = stableHash(self(state).DataCentre);
  auto before =
      std::size_t(std::ranges::count_if(elsewhere, [&](const Member *it) {
        return stableHash(it->Record.DataCentre) < own;
      }));
  return {rankInDataCentre(state) * (elsewhere.size() + 1) + before,
          peers(state).size() + 1};
}

BucketHashes bucketHashes(const Membership &state) {
  BucketHashes hashes{};
  for (const auto &[node, member] : state.Members) {
    std::string stamp = node + ' ' + std::to_string(member.Record.BootId) +
                        ' ' + std::to_string(member.Record.Version) + ' ' +
                        std::to_string(int(member.State));
    hashes[bucketOf(node)] ^= stableHash(stamp);
  }
  return hashes;
}

std::string_view toString(MemberState state) {
  constexpr std::array<std::string_view, 3> names = {"alive", "suspect",
                                                     "dead"};
  return names[static_cast<std::size_t>(state)];
}

} // namespace hickoryglade
