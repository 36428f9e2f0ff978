#include "libfleet/quota/quotaservice.h"

#include "libfleet/base/clock.h"

#include <algorithm>
#include <iterator>

namespace hickoryglade::fleet {

namespace {

constexpr Micros ExpiryPeriod = std::chrono::seconds(5);
constexpr Micros ProbeLimit = std::chrono::milliseconds(500);

} // namespace

std::vector<QuotaNode> quotaNodes(const FleetView &view) {
  std::vector<QuotaNode> nodes;
  std::ranges::transform(
      view.Nodes, std::back_inserter(nodes), [](const auto &it) {
        return QuotaNode{it.first, it.second.IsSuspect, it.second.IsLeaving};
      });
  return nodes;
}

QuotaService::QuotaService(const asio::any_io_executor &ex, std::string self,
                           PeerLinks &links)
    : Executor(ex), Timer(ex), Links(links), Self(std::move(self)) {}

void QuotaService::applyView(FleetViewPtr view) {
  View = std::move(view);
  notePresence(Presence, quotaNodes(*View), now());
  if (View->HasSettings && !StartedAt)
    StartedAt = now();
}

QuotaStance QuotaService::stanceOn(const std::string &workspace) const {
  QuotaStance stance;
  const Workspace *known =
      View->HasSettings ? View->Workspaces->find(workspace) : nullptr;
  if (known)
    stance.Limit = known->Limit;
  std::vector<QuotaNode> ranked = rankOwners(quotaNodes(*View), workspace);
  auto self = std::ranges::find(ranked, Self, &QuotaNode::Name);
  stance.Rank = std::size_t(self - ranked.begin());
  if (self == ranked.end())
    stance.Rank = QuotaStance::Unranked;
  stance.IsFirstSuspect = !ranked.empty() && ranked.front().IsSuspect;
  stance.IsFirstEnded = !ranked.empty() && Links.isRefused(ranked.front().Name);
  stance.Share = presentShare(Presence, now());
  stance.StartedAt = StartedAt.value_or(now());
  stance.StableSince = Presence.ChangedAt;
  return stance;
}

/// Tries to connect to the owner in whose place this node is asked.
void QuotaService::probe(const std::string &workspace) {
  std::vector<QuotaNode> ranked = rankOwners(quotaNodes(*View), workspace);
  if (ranked.empty() || ranked.front().Name == Self)
    return;
  const std::string &owner = ranked.front().Name;
  if (!Probed.insert(owner).second)
    return;
  asio::co_spawn(Executor, connectTo(owner, View->Nodes.at(owner)),
                 asio::detached);
}

asio::awaitable<void> QuotaService::connectTo(std::string node, NodeView view) {
  co_await Links.connect(node, view, now() + ProbeLimit);
  Probed.erase(node);
}

void QuotaService::takeFrame(const std::shared_ptr<FrameChannel> &from,
                             const wire::Frame &frame) {
  const wire::QuotaRequest &request = frame.quotaRequest;
  if (request.isFallback)
    probe(request.workspace);
  QuotaGrant grant =
      grantTokens(Buckets, request.workspace,
                  {request.tokens, request.returned, request.isFallback},
                  stanceOn(request.workspace), now());
  wire::Frame reply;
  reply.stream = frame.stream;
  reply.quotaReply.tokens = grant.Tokens;
  reply.quotaReply.retryAfterMs = grant.RetryAfter.count();
  reply.quotaReply.isUnknown = grant.IsUnknown;
  reply.__isset.quotaReply = true;
  from->send(std::move(reply));
  scheduleExpiry();
}

void QuotaService::scheduleExpiry() {
  if (IsExpiryScheduled || Buckets.empty())
    return;
  IsExpiryScheduled = true;
  Timer.expires_after(ExpiryPeriod);
  Timer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    IsExpiryScheduled = false;
    dropIdleBuckets(Buckets, now());
    scheduleExpiry();
  });
}

} // namespace hickoryglade::fleet
