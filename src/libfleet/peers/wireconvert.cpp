#include "libfleet/peers/wireconvert.h"
#include "libhickoryglade/jsontext.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstring>

namespace hickoryglade::fleet {

namespace {

constexpr int ProtocolVersion = 1;
constexpr std::size_t MaxSnapshotVerdicts = 256;

/// Bounds the digests and parts of settings that other nodes send.
constexpr std::int32_t MaxDigestBuckets = 65'536;

template <typename Enum> std::optional<Enum> toEnum(int value, Enum last) {
  if (value < 0 || value > int(last))
    return std::nullopt;
  return static_cast<Enum>(value);
}

wire::EndpointRecord toWire(const EndpointRecord &it) {
  wire::EndpointRecord out;
  std::size_t slash = it.Service.find('/');
  out.name = it.Name;
  out.workspace = it.Service.substr(0, slash);
  out.serviceName = it.Service.substr(std::min(slash + 1, it.Service.size()));
  out.slots = it.Slots;
  out.generation = it.Generation;
  out.state = int(it.State);
  return out;
}

std::optional<EndpointRecord> fromWire(const wire::EndpointRecord &it) {
  auto state = toEnum(it.state, Standing::Draining);
  if (!state)
    return std::nullopt;
  return EndpointRecord{it.name, it.workspace + "/" + it.serviceName, it.slots,
                        it.generation, *state};
}

wire::MemberUpdate toWire(const MemberUpdate &it) {
  wire::MemberUpdate out;
  const MemberRecord &record = it.Record;
  out.record.node = record.Node;
  out.record.bootId = record.BootId;
  out.record.version = record.Version;
  out.record.fleetAddress = record.FleetAddress;
  out.record.adminAddress = record.AdminAddress;
  out.record.dataCentre = record.DataCentre;
  out.record.state = record.IsLeaving ? 1 : 0;
  out.record.settingsOffset = record.SettingsNext;
  out.record.linkMbps = record.LinkMbps;
  out.record.ledgerOffset = record.LedgerNext;
  for (const EndpointRecord &endpoint : record.Endpoints)
    out.record.endpoints.push_back(toWire(endpoint));
  for (const DepartedRecord &departed : record.Departed) {
    out.record.departed.emplace_back();
    out.record.departed.back().name = departed.Name;
    out.record.departed.back().startedAtMs = departed.StartedAtMs;
  }
  out.state = int(it.State);
  return out;
}

std::optional<MemberUpdate> fromWire(const wire::MemberUpdate &it) {
  auto state = toEnum(it.state, MemberState::Dead);
  if (!state)
    return std::nullopt;
  MemberUpdate out;
  out.State = *state;
  out.Record.Node = it.record.node;
  out.Record.BootId = it.record.bootId;
  out.Record.Version = it.record.version;
  out.Record.FleetAddress = it.record.fleetAddress;
  out.Record.AdminAddress = it.record.adminAddress;
  out.Record.DataCentre = it.record.dataCentre;
  out.Record.IsLeaving = it.record.state != 0;
  out.Record.SettingsNext = it.record.settingsOffset;
  out.Record.LinkMbps = std::max(it.record.linkMbps, 0);
  out.Record.LedgerNext = it.record.ledgerOffset;
  for (const wire::DepartedRecord &departed : it.record.departed)
    out.Record.Departed.push_back({departed.name, departed.startedAtMs});
  for (const wire::EndpointRecord &endpoint : it.record.endpoints) {
    auto record = fromWire(endpoint);
    if (!record)
      return std::nullopt;
    out.Record.Endpoints.push_back(std::move(*record));
  }
  return out;
}

} // namespace

wire::Hello makeHello(const std::string &node, std::int64_t bootId,
                      const std::string &dataCentre) {
  wire::Hello hello;
  hello.node = node;
  hello.bootId = bootId;
  hello.dataCentre = dataCentre;
  hello.protocolVersion = ProtocolVersion;
  return hello;
}

wire::Gossip toWire(const GossipMessage &message) {
  wire::Gossip out;
  out.kind = static_cast<wire::GossipKind::type>(message.Kind);
  out.sender = message.Sender;
  out.senderAddress = message.SenderAddress;
  out.sequence = message.Sequence;
  out.target = message.Target;
  for (const MemberUpdate &it : message.Updates)
    out.updates.push_back(toWire(it));
  if (message.SettingsNext > 0)
    out.__set_settingsNext(message.SettingsNext);
  if (message.Kind == GossipKind::Sync)
    out.buckets.assign(message.Buckets.begin(), message.Buckets.end());
  return out;
}

std::optional<GossipMessage> fromWire(const wire::Gossip &gossip) {
  auto kind = toEnum(int(gossip.kind), GossipKind::Updates);
  if (!kind)
    return std::nullopt;
  GossipMessage out;
  out.Kind = *kind;
  out.Sender = gossip.sender;
  out.SenderAddress = gossip.senderAddress;
  out.Sequence = gossip.sequence;
  out.Target = gossip.target;
  out.SettingsNext = gossip.__isset.settingsNext ? gossip.settingsNext : 0;
  for (const wire::MemberUpdate &it : gossip.updates) {
    auto update = fromWire(it);
    if (!update)
      return std::nullopt;
    out.Updates.push_back(std::move(*update));
  }
  if (*kind == GossipKind::Sync && gossip.buckets.size() != SyncBuckets)
    return std::nullopt;
  std::ranges::copy(gossip.buckets, out.Buckets.begin());
  return out;
}

wire::StandingReport toWire(const StandingReport &report) {
  wire::StandingReport out;
  out.node = report.Node;
  out.bootId = report.BootId;
  out.sequence = report.Sequence;
  for (const auto &[name, state] : report.States)
    out.states[name] = int(state);
  return out;
}

std::optional<StandingReport> fromWire(const wire::StandingReport &report) {
  StandingReport out{report.node, report.bootId, report.sequence, {}};
  for (const auto &[name, value] : report.states) {
    auto state = toEnum(value, Standing::Draining);
    if (!state)
      return std::nullopt;
    out.States[name] = *state;
  }
  return out;
}

wire::QuarantineRecord toWire(std::uint64_t fingerprint,
                              const CrashRecord &record, Instant now) {
  wire::QuarantineRecord out;
  out.fingerprint = std::int64_t(fingerprint);
  std::map<std::string, std::int64_t> ages;
  for (const auto &[crash, at] : record.Crashes) {
    ages[crash] = toMillis(now - at).count();
    bool isExplained = record.CompletedAt && at <= *record.CompletedAt;
    if (!isExplained)
      out.crashes[crash] = 1;
  }
  out.__set_crashAgesMs(ages);
  if (record.CompletedAt)
    out.__set_completedAgeMs(toMillis(now - *record.CompletedAt).count());
  out.remainingMs = toMillis(record.Expiry - now).count();
  return out;
}

// A node of an earlier release counts a crash once for each request that ran
// there, so its count says only that there was one.
CrashRecord fromWire(const wire::QuarantineRecord &record, Instant now) {
  CrashRecord out;
  out.Expiry = now + Millis(record.remainingMs);
  if (record.__isset.completedAgeMs)
    out.CompletedAt = now - Millis(record.completedAgeMs);
  if (record.__isset.crashAgesMs)
    for (const auto &[crash, ageMs] : record.crashAgesMs)
      out.Crashes[crash] = now - Millis(ageMs);
  else
    for (const auto &[node, count] : record.crashes)
      out.Crashes[node] = now;
  return out;
}

wire::Snapshot toWire(const SettingsPart &part) {
  wire::Snapshot out;
  out.settingsOffset = part.Next;
  out.bucketCount = std::int32_t(part.BucketCount);
  out.buckets.assign(part.Buckets.begin(), part.Buckets.end());
  out.treeHash = std::int64_t(part.TreeHash);
  for (const auto &[path, node] : part.Nodes) {
    wire::SettingsEntry entry;
    entry.path = path;
    entry.value = node.Value.dump();
    entry.revision = node.Revision;
    out.entries.push_back(std::move(entry));
  }
  return out;
}

std::optional<SettingsPart> partFromWire(const wire::Snapshot &snapshot) {
  SettingsPart part;
  part.Next = snapshot.settingsOffset;
  part.TreeHash = std::uint64_t(snapshot.treeHash);
  bool isWellFormed =
      snapshot.bucketCount >= 0 && snapshot.bucketCount <= MaxDigestBuckets;
  part.BucketCount = std::size_t(snapshot.bucketCount);
  for (std::int32_t it : snapshot.buckets) {
    isWellFormed = isWellFormed && it >= 0 && it < snapshot.bucketCount;
    part.Buckets.insert(std::size_t(it));
  }
  for (const wire::SettingsEntry &entry : snapshot.entries) {
    nlohmann::json value = parseJson(entry.value);
    isWellFormed = isWellFormed && !value.is_discarded() &&
                   checkSettingsValue(entry.path, value).empty();
    part.Nodes[entry.path] = {std::move(value), entry.revision, 0};
  }
  return isWellFormed ? std::optional(std::move(part)) : std::nullopt;
}

std::string toWire(const SettingsDigest &digest) {
  std::string bytes;
  for (std::uint64_t it : digest) {
    it = boost::endian::native_to_little(it);
    bytes.append(reinterpret_cast<const char *>(&it), sizeof(it));
  }
  return bytes;
}

std::optional<SettingsDigest> digestFromWire(const std::string &bytes) {
  std::size_t n = bytes.size() / sizeof(std::uint64_t);
  if (bytes.size() % sizeof(std::uint64_t) != 0 ||
      n > std::size_t(MaxDigestBuckets))
    return std::nullopt;
  SettingsDigest digest(n);
  std::memcpy(digest.data(), bytes.data(), bytes.size());
  std::ranges::transform(digest, digest.begin(), [](std::uint64_t it) {
    return boost::endian::little_to_native(it);
  });
  return digest;
}

wire::Snapshot toWire(const SettingsState &state) {
  wire::Snapshot out;
  out.settingsOffset = state.Next;
  for (const auto &[path, node] : state.Tree.Nodes) {
    wire::SettingsEntry entry;
    entry.path = path;
    entry.value = node.Value.dump();
    entry.revision = node.Revision;
    auto place = state.LastWritten.find(path);
    if (place != state.LastWritten.end()) {
      entry.writtenOffset = place->second.Offset;
      entry.writtenAtMs = place->second.AtMs;
    }
    out.entries.push_back(std::move(entry));
  }
  std::size_t n = std::min(state.VerdictOrder.size(), MaxSnapshotVerdicts);
  for (auto it = state.VerdictOrder.end() - long(n);
       it != state.VerdictOrder.end(); ++it) {
    const ChangeVerdict &verdict = state.Verdicts.at(*it);
    wire::VerdictRecord record;
    record.changeId = verdict.Id;
    record.path = verdict.Path;
    record.outcome = int(verdict.Outcome);
    record.revision = verdict.Revision;
    out.verdicts.push_back(std::move(record));
  }
  return out;
}

SettingsState fromWire(const wire::Snapshot &snapshot) {
  SettingsState state;
  state.Next = snapshot.settingsOffset;
  for (const wire::SettingsEntry &entry : snapshot.entries) {
    nlohmann::json value = parseJson(entry.value);
    if (value.is_discarded() || !settingsPathFault(entry.path).empty())
      continue;
    if (!value.is_null() && !checkSettingsValue(entry.path, value).empty())
      continue;
    state.Tree.Nodes[entry.path] = {std::move(value), entry.revision, 0};
    state.LastWritten[entry.path] = {entry.writtenOffset, entry.writtenAtMs};
  }
  for (const wire::VerdictRecord &record : snapshot.verdicts) {
    auto outcome = toEnum(record.outcome, ChangeOutcome::Duplicate);
    if (!outcome || state.Verdicts.contains(record.changeId))
      continue;
    state.Verdicts[record.changeId] = {
        record.changeId, record.path, *outcome, record.revision, {}};
    state.VerdictOrder.push_back(record.changeId);
  }
  return state;
}

} // namespace hickoryglade::fleet
