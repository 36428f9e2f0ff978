#include "libhickoryglade/noticeboard.h"

#include "libhickoryglade/hash.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A gate that has taken over an endpoint usually hears its answers much
/// sooner.
constexpr Micros NoticeLifetime = std::chrono::minutes(10);

/// Bounds an entry's memory; an endpoint that is heard again is stored again.
constexpr std::size_t MaxNotices = 1'000;

} // namespace

void hearNotice(NoticeBoard &board, const std::string &service,
                HeardNotice notice) {
  bool isPlain = !notice.Notice.Limit && !notice.Notice.IsLeaving;
  auto known = board.Services.find(service);
  if (!isPlain) {
    auto &notices = board.Services[service];
    bool hasRoom = notices.size() < MaxNotices;
    std::string endpoint = notice.Endpoint;
    if (hasRoom || notices.contains(endpoint))
      notices[endpoint] = std::move(notice);
  } else if (known != board.Services.end()) {
    known->second.erase(notice.Endpoint);
  }
}

std::vector<HeardNotice>
noticesFor(const NoticeBoard &board, const std::string &service,
           const GateProcess &gate,
           std::span<const std::uint64_t> endpointHashes) {
  std::vector<HeardNotice> all;
  auto known = board.Services.find(service);
  if (known == board.Services.end())
    return all;
  for (const auto &[endpoint, it] : known->second) {
    if (it.Gate == gate)
      continue;
    bool isAtGate = it.Gate.Node == gate.Node ||
                    std::ranges::find(endpointHashes, stableHash(endpoint)) !=
                        endpointHashes.end();
    if (isAtGate)
      all.push_back(it);
  }
  return all;
}

void expireNotices(NoticeBoard &board, Instant now) {
  for (auto &[service, notices] : board.Services)
    std::erase_if(notices, [&](const auto &it) {
      return now - it.second.HeardAt > NoticeLifetime;
    });
  std::erase_if(board.Services,
                [](const auto &it) { return it.second.empty(); });
}

} // namespace hickoryglade
