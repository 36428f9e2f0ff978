#include "libfleet/quota/quotaclient.h"

#include "libfleet/quota/quotaservice.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

/// Time for the owner's answer and then the fallback's.
constexpr Micros DecisionLimit = 2 * QuotaAnswerTime;

constexpr Micros IdleCheckPeriod = std::chrono::seconds(10);

constexpr std::string_view ByOwner = "owner";
constexpr std::string_view ByFallback = "fallback";
constexpr std::string_view Alone = "alone";

} // namespace

QuotaClient::QuotaClient(asio::any_io_executor ex, PeerLinks &links,
                         const FleetViewPtr &view, Metrics &metrics)
    : Executor(std::move(ex)), Links(links), View(view), Counters(metrics),
      Rng(std::uint64_t(wallMicros())) {}

asio::awaitable<std::optional<Error>> QuotaClient::admit(std::string workspace,
                                                         Instant deadline) {
  const Workspace *known = View->Workspaces->find(workspace);
  if (!known || known->Limit.PerSecond <= 0)
    co_return std::nullopt;
  std::shared_ptr<Record> &slot = Records[workspace];
  if (!slot)
    slot = std::make_shared<Record>();
  std::shared_ptr<Record> record = slot;
  if (!std::exchange(IsDropping, true))
    asio::co_spawn(Executor, dropIdle(), asio::detached);
  Instant arrivedAt = now();
  noteArrival(record->Lease, arrivedAt);
  if (record->Waiting.empty() && takeLeased(record->Lease, arrivedAt))
    co_return report(workspace, {true, ByOwner});
  auto box = std::make_shared<Box>(Executor);
  record->Waiting.push_back({arrivedAt, box});
  if (!std::exchange(record->IsAsking, true))
    asio::co_spawn(Executor, serveWaiting(workspace, record), asio::detached);
  std::optional<Decision> decision =
      co_await box->next(std::min(arrivedAt + DecisionLimit, deadline));
  if (!decision) {
    std::erase_if(record->Waiting,
                  [&](const Waiter &it) { return it.Reply == box; });
    decision = decideAlone(workspace, *record);
  }
  co_return report(workspace, *decision);
}

void QuotaClient::noteResult(const std::string &workspace, Instant takenAt,
                             int arrivals, const Error *error) {
  auto it = Records.find(workspace);
  bool isUnused = error && error->Run == RunState::NotRun && arrivals == 0;
  if (isUnused && it != Records.end())
    giveBack(it->second->Lease, takenAt, now());
}

std::optional<Error> QuotaClient::report(const std::string &workspace,
                                         const Decision &decision) {
  std::string source(decision.Source);
  if (decision.IsAdmitted) {
    Counters.countQuotaToken(source);
    return std::nullopt;
  }
  Counters.countQuotaRefusal(source);
  logEvent(LogLevel::Warn, "quota_refused",
           {{"workspace", workspace},
            {"retry_after_ms", decision.RetryAfter.count()},
            {"by", source}});
  return makeError(ErrorKind::QuotaExceeded, {}, decision.RetryAfter);
}

QuotaClient::Decision QuotaClient::decideAlone(const std::string &workspace,
                                               Record &record) {
  const Workspace *known = View->Workspaces->find(workspace);
  if (!known || known->Limit.PerSecond <= 0)
    return {true, Alone};
  constexpr int bits = 53;
  constexpr double unit = 1.0 / double(std::int64_t(1) << bits);
  double draw = double(uniform(Rng, std::uint64_t(1) << bits)) * unit;
  if (admitAlone(record.Lease, known->Limit.PerSecond, View->Nodes.size(), draw,
                 now()))
    return {true, Alone};
  return {false, Alone, aloneRetryAfter(record.Lease)};
}

asio::awaitable<void>
QuotaClient::serveWaiting(std::string workspace,
                          std::shared_ptr<Record> record) {
  while (!record->Waiting.empty()) {
    Instant startedAt = now();
    std::vector<QuotaNode> ranked = rankOwners(quotaNodes(*View), workspace);
    bool isServed = false;
    for (std::size_t i = 0; i < QuotaAskOrder.size() && !isServed; ++i) {
      std::size_t rank = QuotaAskOrder[i];
      if (rank < ranked.size())
        isServed =
            co_await serveFrom(workspace, record, ranked[rank].Name, rank > 0);
    }
    if (isServed)
      continue;
    // A later request has not been reported to any node, unless the paths are
    // not in use.
    Instant until = std::max(startedAt, now() - QuotaAnswerTime);
    while (!record->Waiting.empty() &&
           record->Waiting.front().ArrivedAt <= until) {
      Waiter waiter = std::move(record->Waiting.front());
      record->Waiting.pop_front();
      waiter.Reply->put(decideAlone(workspace, *record));
    }
  }
  record->IsAsking = false;
}

/// Decides on the requests that wait by one node's answer. Returns false if
/// another node has to be asked.
asio::awaitable<bool> QuotaClient::serveFrom(std::string workspace,
                                             std::shared_ptr<Record> record,
                                             std::string owner,
                                             bool isFallback) {
  if (!isUsable(Paths[owner], now()))
    co_return false;
  std::optional<Answer> answer =
      co_await askNode(workspace, record, owner, isFallback);
  if (answer)
    noteAnswer(Paths[owner]);
  else
    noteSilence(Paths[owner], now());
  bool isFinal = answer && !answer->Grant.IsUnknown;
  if (!isFallback)
    noteOwner(workspace, *record, owner, !isFinal);
  std::string_view source = isFallback ? ByFallback : ByOwner;
  std::list<Waiter> &waiting = record->Waiting;
  while (!waiting.empty() && takeLeased(record->Lease, now())) {
    waiting.front().Reply->put({true, source});
    waiting.pop_front();
  }
  while (isFinal && !waiting.empty() &&
         waiting.front().ArrivedAt <= answer->AskedAt) {
    waiting.front().Reply->put({false, source, answer->Grant.RetryAfter});
    waiting.pop_front();
  }
  co_return isFinal || waiting.empty();
}

asio::awaitable<std::optional<QuotaClient::Answer>>
QuotaClient::askNode(std::string workspace, std::shared_ptr<Record> record,
                     std::string node, bool isFallback) {
  Instant until = now() + QuotaAnswerTime;
  auto known = View->Nodes.find(node);
  if (known == View->Nodes.end())
    co_return std::nullopt;
  NodeView view = known->second;
  auto client = co_await Links.connect(node, view, until);
  if (!client)
    co_return std::nullopt;
  QuotaLender lender{node, view.BootId};
  Instant askedAt = now();
  QuotaAsk ask = makeAsk(record->Lease, int(record->Waiting.size()), lender,
                         isFallback, askedAt);
  auto box = std::make_shared<StreamMailbox>(Executor);
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  frame.quotaRequest.workspace = workspace;
  frame.quotaRequest.tokens = ask.Tokens;
  frame.quotaRequest.returned = ask.Returned;
  frame.quotaRequest.isFallback = ask.IsFallback;
  frame.__isset.quotaRequest = true;
  client->channel().send(std::move(frame));
  std::optional<StreamEvent> event = co_await box->next(until);
  client->closeStream(stream);
  auto *reply =
      event ? std::get_if<wire::QuotaReply>(&event->Content) : nullptr;
  if (!reply)
    co_return std::nullopt;
  QuotaGrant grant{std::clamp(reply->tokens, 0, ask.Tokens),
                   Millis(std::max<std::int64_t>(reply->retryAfterMs, 0)),
                   reply->isUnknown};
  noteGrant(record->Lease, lender, grant, isFallback, askedAt, now());
  co_return Answer{grant, askedAt};
}

void QuotaClient::noteOwner(const std::string &workspace, Record &record,
                            const std::string &owner, bool isLost) {
  if (isLost && !record.IsOwnerLost)
    logEvent(LogLevel::Warn, "quota_owner_lost",
             {{"workspace", workspace}, {"owner", owner}});
  record.IsOwnerLost = isLost;
}

asio::awaitable<void> QuotaClient::dropIdle() {
  asio::steady_timer timer(Executor);
  while (!Records.empty()) {
    timer.expires_after(IdleCheckPeriod);
    co_await timer.async_wait(asio::use_awaitable);
    std::erase_if(Records, [](const auto &it) {
      const Record &record = *it.second;
      return !record.IsAsking && record.Waiting.empty() &&
             isIdle(record.Lease, now());
    });
  }
  Paths.clear();
  IsDropping = false;
}

} // namespace hickoryglade::fleet
