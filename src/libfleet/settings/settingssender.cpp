#include "libfleet/settings/settingssender.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/settings/settingscontent.h"

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

/// From this size on, the number of transfers at a time is limited.
constexpr std::size_t LargeBytes = 16 * 1024;
constexpr std::size_t MaxLargeTransfers = 4;

/// A transfer to a node that does not read counts for this long only.
constexpr Micros MaxTransferTime = std::chrono::seconds(5);

/// Nodes are mostly one or two versions behind, with few different digests.
constexpr std::size_t MaxPrepared = 8;

} // namespace

std::optional<SettingsSender::Prepared>
SettingsSender::prepare(const std::string &digest, const SettingsState &state,
                        bool isDocument) {
  if (CacheNext != state.Next) {
    Cache.clear();
    CacheNext = state.Next;
  }
  auto it = Cache.find(digest);
  if (it != Cache.end())
    return it->second;
  std::optional<SettingsDigest> known = digestFromWire(digest);
  if (!known)
    return std::nullopt;
  wire::Snapshot snapshot =
      isDocument ? toWire(differingPart(state, *known)) : toWire(state);
  std::string plain = encodeSnapshot(snapshot);
  Prepared prepared{std::make_shared<const std::string>(compress(plain)),
                    plain.size()};
  if (Cache.size() >= MaxPrepared)
    Cache.clear();
  Cache.emplace(digest, prepared);
  return prepared;
}

std::optional<SettingsSender::Reply>
SettingsSender::replyTo(const std::string &digest, const SettingsState &state,
                        bool isDocument) {
  std::optional<Prepared> prepared = prepare(digest, state, isDocument);
  if (!prepared)
    return std::nullopt;
  Reply reply;
  reply.Head.settingsOffset = state.Next;
  bool isLarge = prepared->Content->size() >= LargeBytes;
  std::erase_if(LargeTransfers, [](const Transfer &it) {
    return it.Content.expired() || now() - it.StartedAt > MaxTransferTime;
  });
  if (isLarge && LargeTransfers.size() >= MaxLargeTransfers) {
    reply.Head.isBusy = true;
    return reply;
  }
  reply.Head.contentBytes = std::int64_t(prepared->Content->size());
  reply.Head.plainBytes = std::int64_t(prepared->PlainBytes);
  reply.Content = prepared->Content;
  if (isLarge) {
    // A copy of its own shows when its transfer has ended.
    reply.Content = std::make_shared<const std::string>(*prepared->Content);
    LargeTransfers.push_back({reply.Content, now()});
  }
  return reply;
}

} // namespace hickoryglade::fleet
