#include "libfleet/keys/keyservice.h"

#include "libfleet/peers/gateclient.h"
#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace {

constexpr Micros KeeperCallTimeout = std::chrono::milliseconds(500);
constexpr Micros ExpiryPeriod = std::chrono::milliseconds(500);
constexpr Micros LongestLifetime = std::chrono::hours(24);

KeyEntry toEntry(const wire::KeyRecord &record) {
  KeyEntry entry;
  entry.RequestId = record.requestId;
  entry.Fingerprint = std::uint64_t(record.fingerprint);
  entry.State = static_cast<KeyState>(
      std::clamp(record.state, 0, int(KeyState::Unclear)));
  entry.Expiry = now() + Millis(record.lifetimeMs);
  if (!record.__isset.answer)
    return entry;
  auto answer = std::make_shared<KeptAnswer>();
  answer->Status = record.answer.status;
  for (const wire::Header &it : record.answer.headers)
    answer->Headers.emplace_back(it.name, it.value);
  answer->Content = std::make_shared<const std::string>(record.answer.body);
  entry.Answer = std::move(answer);
  return entry;
}

wire::KeyRecord toRecord(const std::string &key, const KeyEntry &entry) {
  wire::KeyRecord record;
  record.key = key;
  record.requestId = entry.RequestId;
  record.fingerprint = std::int64_t(entry.Fingerprint);
  record.state = int(entry.State);
  record.lifetimeMs = toMillis(entry.Expiry - now()).count();
  if (!entry.Answer)
    return record;
  record.answer.status = entry.Answer->Status;
  for (const auto &[name, value] : entry.Answer->Headers) {
    wire::Header header;
    header.name = name;
    header.value = value;
    record.answer.headers.push_back(std::move(header));
  }
  record.answer.body = *entry.Answer->Content;
  record.__isset.answer = true;
  return record;
}

wire::KeyReply verdictReply(KeyVerdict verdict) {
  wire::KeyReply reply;
  reply.verdict = int(verdict);
  return reply;
}

} // namespace

KeyService::KeyService(asio::any_io_executor ex, LeaseHolder self,
                       PeerLinks &links)
    : Executor(ex), Timer(ex), Self(std::move(self)), Links(links) {}

void KeyService::start() { scheduleExpiry(); }

void KeyService::scheduleExpiry() {
  Timer.expires_after(ExpiryPeriod);
  Timer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    Table.expire(now());
    Placement.forget(LongestLifetime, now());
    scheduleExpiry();
  });
}

void KeyService::applyView(const FleetViewPtr &view) {
  View = view;
  Placement.note(view->Keepers, view->HandedOn, now());
}

void KeyService::takeFrame(const std::shared_ptr<FrameChannel> &from,
                           const wire::Frame &frame) {
  asio::co_spawn(Executor, answer(from, frame.stream, frame.keyRequest),
                 asio::detached);
}

asio::awaitable<void> KeyService::answer(std::shared_ptr<FrameChannel> from,
                                         std::int64_t stream,
                                         wire::KeyRequest request) {
  wire::Frame frame;
  frame.stream = stream;
  switch (request.operation) {
  case wire::KeyOperation::RESERVE:
    frame.keyReply = co_await reserve(std::move(request));
    break;
  case wire::KeyOperation::COMPLETE:
    frame.keyReply = co_await complete(std::move(request));
    break;
  case wire::KeyOperation::COPY:
    frame.keyReply = copy(request);
    break;
  case wire::KeyOperation::LOOKUP:
    frame.keyReply = lookup(request);
    break;
  default:
    co_await release(std::move(request));
    break;
  }
  frame.keyReply.rosterOffset = View->KeepersOffset;
  frame.__isset.keyReply = true;
  if (from->isOpen())
    from->send(std::move(frame));
}

bool KeyService::isKeeperOf(const std::vector<LeaseHolder> &ranked) const {
  bool isHeld = View->KeeperLeaseEnd && now() < *View->KeeperLeaseEnd;
  return isHeld && !IsResigned && !ranked.empty() && ranked.front() == Self;
}

wire::KeyReply KeyService::replyFor(const KeyEntry &entry,
                                    const wire::KeyRecord &record) const {
  KeyVerdict verdict =
      evaluateKey(entry, record.requestId, std::uint64_t(record.fingerprint));
  wire::KeyReply reply = verdictReply(verdict);
  if (verdict == KeyVerdict::Done)
    reply.__set_record(toRecord(record.key, entry));
  return reply;
}

asio::awaitable<wire::KeyReply> KeyService::reserve(wire::KeyRequest request) {
  const wire::KeyRecord &record = request.record;
  std::vector<LeaseHolder> ranked =
      rankKeepers(Placement.current(), record.key);
  bool isBehind = View->KeepersOffset < request.rosterOffset;
  if (isBehind || !isKeeperOf(ranked))
    co_return verdictReply(KeyVerdict::NotKeeper);
  if (const KeyEntry *known = Table.find(record.key))
    co_return replyFor(*known, record);
  Table.put(record.key, toEntry(record));
  KeyVerdict verdict = co_await confirmNew(request, ranked);
  bool isStillKeeper = isKeeperOf(rankKeepers(Placement.current(), record.key));
  if (verdict == KeyVerdict::Granted && !isStillKeeper)
    verdict = KeyVerdict::NotKeeper;
  if (verdict == KeyVerdict::Granted)
    co_return verdictReply(verdict);
  const KeyEntry *known = Table.find(record.key);
  bool isAdopted = known && known->RequestId != record.requestId;
  if (isAdopted)
    co_return replyFor(*known, record);
  Table.release(record.key, record.requestId);
  co_return verdictReply(verdict);
}

/// A key unknown to this node is new only if the next keeper in rank stores the
/// copy without knowing the key, and no other process that may hold a record of
/// it knows the key.
asio::awaitable<KeyVerdict>
KeyService::confirmNew(wire::KeyRequest request,
                       std::vector<LeaseHolder> ranked) {
  std::vector<LeaseHolder> queried{Self};
  std::vector<LeaseHolder> toQuery;
  if (ranked.size() >= KeyCopies)
    toQuery.push_back(ranked[1]);
  request.rosterOffset = View->KeepersOffset;
  request.operation = wire::KeyOperation::COPY;
  Millis lifetime(request.record.lifetimeMs);
  while (true) {
    for (const LeaseHolder &holder : toQuery) {
      std::optional<wire::KeyReply> reply =
          co_await callKeeper(holder, request);
      if (!reply)
        co_return KeyVerdict::NoCopy;
      if (reply->verdict == int(KeyVerdict::NotKeeper))
        co_return KeyVerdict::NotKeeper;
      if (reply->__isset.record) {
        Table.release(request.record.key, request.record.requestId);
        Table.put(request.record.key, toEntry(reply->record));
        co_return KeyVerdict::Running;
      }
      queried.push_back(holder);
    }
    auto more = Placement.formerKeepersToQuery(request.record.key, queried,
                                               lifetime, now());
    if (!more)
      co_return KeyVerdict::Unvouched;
    if (more->empty())
      co_return KeyVerdict::Granted;
    toQuery = std::move(*more);
    request.operation = wire::KeyOperation::LOOKUP;
  }
}

/// Stores a keeper's second copy. A node that has read less of the ledger than
/// the sender might still consider itself the keeper, so it must not confirm.
wire::KeyReply KeyService::copy(const wire::KeyRequest &request) {
  if (View->KeepersOffset < request.rosterOffset)
    return verdictReply(KeyVerdict::NotKeeper);
  wire::KeyReply reply = verdictReply(KeyVerdict::Granted);
  const KeyEntry &entry =
      Table.put(request.record.key, toEntry(request.record));
  if (entry.RequestId != request.record.requestId)
    reply.__set_record(toRecord(request.record.key, entry));
  return reply;
}

wire::KeyReply KeyService::lookup(const wire::KeyRequest &request) const {
  if (View->KeepersOffset < request.rosterOffset)
    return verdictReply(KeyVerdict::NotKeeper);
  wire::KeyReply reply = verdictReply(KeyVerdict::Granted);
  const KeyEntry *entry = Table.find(request.record.key);
  if (entry && entry->RequestId != request.record.requestId)
    reply.__set_record(toRecord(request.record.key, *entry));
  return reply;
}

asio::awaitable<wire::KeyReply> KeyService::complete(wire::KeyRequest request) {
  Table.put(request.record.key, toEntry(request.record));
  std::vector<LeaseHolder> ranked =
      rankKeepers(Placement.current(), request.record.key);
  request.operation = wire::KeyOperation::COPY;
  request.rosterOffset = 0;
  for (std::size_t i = 0; i < std::min(ranked.size(), KeyCopies); ++i)
    if (ranked[i] != Self)
      co_await callKeeper(ranked[i], request);
  co_return verdictReply(KeyVerdict::Granted);
}

/// Frees the key of a request that is known not to have run.
asio::awaitable<void> KeyService::release(wire::KeyRequest request) {
  Table.release(request.record.key, request.record.requestId);
  std::vector<LeaseHolder> ranked =
      rankKeepers(Placement.current(), request.record.key);
  if (ranked.size() >= KeyCopies && ranked.front() == Self)
    co_await callKeeper(ranked[1], request);
}

asio::awaitable<std::optional<wire::KeyReply>>
KeyService::callKeeper(LeaseHolder holder, wire::KeyRequest request) {
  auto node = View->Nodes.find(holder.Node);
  if (node == View->Nodes.end() || node->second.BootId != holder.BootId)
    co_return std::nullopt;
  NodeView target = node->second;
  Instant until = now() + KeeperCallTimeout;
  auto client = co_await Links.connect(holder.Node, target, until);
  if (!client)
    co_return std::nullopt;
  auto box = std::make_shared<StreamMailbox>(Executor);
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  frame.__set_keyRequest(request);
  client->channel().send(std::move(frame));
  std::optional<StreamEvent> event = co_await box->next(until);
  client->closeStream(stream);
  auto *reply = event ? std::get_if<wire::KeyReply>(&event->Content) : nullptr;
  if (!reply)
    co_return std::nullopt;
  co_return *reply;
}

asio::awaitable<bool> KeyService::handOn(Millis limit) {
  IsResigned = true;
  Instant until = now() + limit;
  std::vector<LeaseHolder> successors = Placement.current();
  std::erase(successors, Self);
  bool isComplete = true;
  std::map<std::string, KeyEntry> entries = Table.entries();
  for (const auto &[key, entry] : entries) {
    std::vector<LeaseHolder> ranked = rankKeepers(successors, key);
    ranked.resize(std::min(ranked.size(), KeyCopies));
    wire::KeyRequest request;
    request.operation = wire::KeyOperation::COPY;
    request.record = toRecord(key, entry);
    for (const LeaseHolder &successor : ranked) {
      bool isInTime = now() < until;
      std::optional<wire::KeyReply> reply;
      if (isInTime)
        reply = co_await callKeeper(successor, request);
      isComplete = isComplete && reply.has_value();
    }
  }
  logEvent(LogLevel::Info, "keys_handed_on",
           {{"keys", entries.size()}, {"complete", isComplete}});
  co_return isComplete;
}

} // namespace hickoryglade::fleet
