#include "libfleet/peers/gateclient.h"

#include "libfleet/reporting/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace hickoryglade::fleet {

namespace {

/// Bounds the memory that a transfer of settings takes.
constexpr std::int64_t MaxSettingsBytes = 64 * 1024 * 1024;

} // namespace

GateClient::GateClient(std::shared_ptr<FrameChannel> channel,
                       BodyBudgetPtr budget)
    : Channel(std::move(channel)), Budget(std::move(budget)) {}

std::int64_t GateClient::open(std::shared_ptr<StreamMailbox> mailbox,
                              std::size_t tag) {
  std::int64_t id = NextStream++;
  Stream &stream = Streams[id];
  stream.Box = std::move(mailbox);
  stream.Tag = tag;
  notifyStreamCount();
  return id;
}

void GateClient::closeStream(std::int64_t stream) {
  if (Streams.erase(stream) == 0)
    return;
  Channel->dropBody(stream);
  notifyStreamCount();
}

bool GateClient::takeFrame(wire::Frame frame) {
  auto it = Streams.find(frame.stream);
  if (it == Streams.end())
    return true;
  Stream &stream = it->second;
  if (frame.__isset.data)
    return takeData(frame.stream, stream, std::move(frame.data));
  if (frame.__isset.snapshotHead)
    return takeSettingsHead(frame.stream, stream,
                            std::move(frame.snapshotHead));
  if (frame.__isset.answer)
    return takeHead(frame.stream, stream, std::move(frame.answer));
  auto put = [&](auto content) {
    stream.Box->put({stream.Tag, std::move(content)});
  };
  if (frame.__isset.grant) {
    GrantEvent grant{std::move(frame.grant.endpoint)};
    if (frame.grant.__isset.load)
      grant.Load = frame.grant.load;
    put(std::move(grant));
    return true;
  }
  if (frame.__isset.overdue) {
    OverdueEvent event;
    if (frame.overdue.__isset.endsInMs)
      event.EndsIn = Millis(frame.overdue.endsInMs);
    put(event);
    return true;
  }
  if (frame.__isset.failure)
    put(std::move(frame.failure));
  else if (frame.__isset.revoked)
    put(RevokedEvent{frame.revoked.state, frame.revoked.isUnreachable});
  else if (frame.__isset.keyReply)
    put(std::move(frame.keyReply));
  else if (frame.__isset.quotaReply)
    put(frame.quotaReply);
  else if (frame.__isset.snapshot)
    put(std::move(frame.snapshot));
  else
    return false;
  closeStream(frame.stream);
  return true;
}

bool GateClient::takeHead(std::int64_t id, Stream &stream, wire::Answer head) {
  if (stream.Head || head.bodyBytes < 0)
    return false;
  stream.Head = std::move(head);
  if (!isValidHead(stream.Head->status, stream.Head->headers))
    rejectAnswer(id, stream, ErrorKind::EndpointFailed,
                 "not a valid answer: status or headers");
  else if (stream.Head->bodyBytes == 0)
    finishAnswer(id, stream, std::make_shared<const std::string>());
  return true;
}

bool GateClient::takeSettingsHead(std::int64_t id, Stream &stream,
                                  wire::SnapshotHead head) {
  bool isWellFormed =
      head.contentBytes >= 0 && head.contentBytes <= MaxSettingsBytes &&
      head.plainBytes >= 0 && head.plainBytes <= MaxSettingsBytes;
  if (stream.SettingsHead || !isWellFormed)
    return false;
  stream.SettingsHead = std::move(head);
  if (stream.SettingsHead->contentBytes == 0)
    finishSettings(id, stream);
  return true;
}

bool GateClient::takeSettingsData(std::int64_t id, Stream &stream,
                                  wire::Data data) {
  auto expected = std::size_t(stream.SettingsHead->contentBytes);
  if (stream.Content.size() + data.bytes.size() > expected)
    return false;
  stream.Content += data.bytes;
  if (stream.Content.size() == expected)
    finishSettings(id, stream);
  else
    stream.Box->put({stream.Tag, ProgressEvent{}});
  return true;
}

void GateClient::finishSettings(std::int64_t id, Stream &stream) {
  stream.Box->put({stream.Tag, SettingsEvent{std::move(*stream.SettingsHead),
                                             std::move(stream.Content)}});
  closeStream(id);
}

bool GateClient::takeData(std::int64_t id, Stream &stream, wire::Data data) {
  if (stream.SettingsHead)
    return takeSettingsData(id, stream, std::move(data));
  if (!stream.Head)
    return false;
  auto expected = std::size_t(stream.Head->bodyBytes);
  if (stream.Content.size() + data.bytes.size() > expected)
    return false;
  if (!stream.Held) {
    stream.Held.emplace(Budget, BodyUse::Relayed);
    if (!stream.Held->resize(expected)) {
      rejectAnswer(id, stream, ErrorKind::AnswerTooLong,
                   "no memory is left here for long answers");
      return true;
    }
    stream.Content.reserve(std::min(expected, BodyBudget::MaxReservedBytes));
  }
  if (data.bytes.size() == expected)
    stream.Content = std::move(data.bytes);
  else
    stream.Content += data.bytes;
  if (stream.Content.size() == expected)
    finishAnswer(id, stream,
                 makeBody(std::move(stream.Content), std::move(*stream.Held)));
  return true;
}

void GateClient::takeBody(std::int64_t id, Body body) {
  auto it = Streams.find(id);
  if (it != Streams.end() && it->second.Head)
    finishAnswer(id, it->second, std::move(body));
}

/// Fails a stream whose response cannot be passed on. The endpoint has run the
/// request.
void GateClient::rejectAnswer(std::int64_t id, Stream &stream, ErrorKind kind,
                              const std::string &reason) {
  wire::Failure failure;
  failure.kind = int(kind);
  failure.run = int(RunState::Unknown);
  failure.detail = reason;
  failure.load = stream.Head->load;
  failure.endpoint = stream.Head->endpoint;
  failure.hasReached = true;
  logEvent(LogLevel::Warn, "answer_rejected",
           {{"endpoint", failure.endpoint},
            {"gate", Channel->peerName()},
            {"reason", reason},
            {"status", stream.Head->status},
            {"bytes", stream.Head->bodyBytes},
            {"held", Budget->used()}});
  stream.Box->put({stream.Tag, std::move(failure)});
  wire::Frame cancel;
  cancel.stream = id;
  cancel.__set_cancel({});
  Channel->send(std::move(cancel));
  closeStream(id);
}

void GateClient::finishAnswer(std::int64_t id, Stream &stream, Body body) {
  HttpResponse answer{stream.Head->status, fromWire(stream.Head->headers),
                      std::move(body)};
  AnswerEvent event{std::move(answer), stream.Head->endpoint, stream.Head->load,
                    Micros(stream.Head->runUs)};
  if (stream.Head->__isset.notice)
    event.Notice = stream.Head->notice;
  stream.Box->put({stream.Tag, std::move(event)});
  closeStream(id);
}

void GateClient::failStreams(bool hasEnded) {
  std::map<std::int64_t, Stream> lost = std::move(Streams);
  Streams.clear();
  for (auto &[id, stream] : lost)
    stream.Box->put({stream.Tag, LostEvent{hasEnded && !stream.Head}});
  notifyStreamCount();
}

void GateClient::notifyStreamCount() {
  if (OnStreamCount)
    OnStreamCount(Streams.size());
}

wire::Frame toFrame(const HttpResponse &answer, const std::string &endpoint,
                    const wire::Load &load, Micros runTime) {
  wire::Frame frame;
  frame.answer.status = answer.Status;
  frame.answer.headers = toWire(answer.Headers);
  frame.answer.bodyBytes = std::int64_t(answer.Content->size());
  frame.answer.endpoint = endpoint;
  frame.answer.load = load;
  frame.answer.runUs = runTime.count();
  frame.__isset.answer = true;
  return frame;
}

// The links of a fleet that is being upgraded may lead to nodes that pass on
// what this one would not.
bool isValidHead(int status, const std::vector<wire::Header> &headers) {
  return isFinalStatus(status) &&
         std::ranges::all_of(headers, [](const wire::Header &it) {
           return isValidHeader(it.name, it.value);
         });
}

std::vector<HttpHeader> fromWire(const std::vector<wire::Header> &headers) {
  std::vector<HttpHeader> all;
  std::ranges::transform(headers, std::back_inserter(all),
                         [](const wire::Header &it) {
                           return HttpHeader{it.name, it.value};
                         });
  return all;
}

std::vector<wire::Header> toWire(const std::vector<HttpHeader> &headers) {
  std::vector<wire::Header> all;
  std::ranges::transform(headers, std::back_inserter(all),
                         [](const HttpHeader &it) {
                           wire::Header header;
                           header.name = it.Name;
                           header.value = it.Value;
                           return header;
                         });
  return all;
}

} // namespace hickoryglade::fleet
