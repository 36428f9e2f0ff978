#include "hickorygladectl/adminclient.h"
#include "libfleet/base/clock.h"
#include "libfleet/gate/endpointclient.h"
#include "libfleet/http/httpclient.h"
#include "libfleet/keys/keyedcall.h"
#include "libfleet/peers/gateclient.h"
#include "platform/dialect.h"
#include "platform/recordingchannel.h"
#include "process/freeaddress.h"
#include "standins/rawserver.h"
#include "standins/standinserver.h"

#include <catch2/catch.hpp>

#include <thread>

/// Answers that are no valid HTTP, or that end early, from endpoints, the
/// store, the admin interface of a node, and other nodes.

using namespace hickoryglade;
using namespace hickoryglade::fleet;
using standins::Ending;
using standins::RawAnswer;

namespace {

constexpr Millis CallLimit{3'000};
constexpr std::size_t MaxHeldBytes = 64 * 1024 * 1024;

/// More than the kernel takes of a request that its receiver doesn't read.
constexpr std::size_t LongUpload = 20 * 1024 * 1024;

const std::string Own = "Attempt-Id: {id}\r\nResponse-Signature: proof\r\n";
const std::string Sized = "Content-Length: 5\r\n\r\nwhole";
const std::string Chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n";

std::string withStatus(const std::string &status) {
  return "HTTP/1.1 " + status + " Reply\r\n" + Own;
}

std::string withField(const std::string &line) {
  return withStatus("200") + line + "\r\n" + Sized;
}

std::string chunkedWithTrailer(const std::string &line) {
  return withStatus("200") +
         "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line +
         "\r\n\r\n";
}

struct Outcome {
  EndpointResult Result;
  int Arrivals = 0;
  std::size_t BodyBytes = 0;
};

/// Sends one order to a server that answers with the given bytes. Returns once
/// the server has had time to read the rest of the order.
Outcome callEndpoint(const RawAnswer &answer, std::size_t uploadBytes = 0) {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  standins::RawServer server(io, address,
                             [&](const std::string &) { return answer; });
  HttpDialect dialect = platform::makeDialect();
  EndpointClient client(io.get_executor(), dialect,
                        std::make_shared<BodyBudget>(MaxHeldBytes));
  Outcome out;
  auto run = [&]() -> asio::awaitable<void> {
    EndpointCall call;
    call.Address = address;
    call.Request.Method = "POST";
    call.Request.Target = "/once/x";
    call.Request.Headers = {{"Attempt-Id", "a"}};
    call.Request.Content =
        std::make_shared<const std::string>(uploadBytes, 'u');
    call.Deadline = now() + CallLimit;
    auto handle = std::make_shared<ExchangeHandle>();
    out.Result = co_await client.exchange(std::move(call), handle);
    bool isReadOn = out.Result.Answer && answer.End == Ending::HalfClose;
    Instant until = now() + CallLimit;
    while (isReadOn && server.bodyBytes() < uploadBytes && now() < until)
      co_await standins::sleepFor(Millis(10));
    io.stop();
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  out.Arrivals = server.arrivals("a");
  out.BodyBytes = server.bodyBytes();
  return out;
}

void checkFailed(const Outcome &outcome) {
  CHECK_FALSE(outcome.Result.Answer);
  CHECK(outcome.Result.Outcome == AttemptOutcome::Failed);
  CHECK(outcome.Result.Failure.Kind == ErrorKind::EndpointFailed);
  CHECK(outcome.Result.Failure.Run == RunState::Unknown);
  CHECK(outcome.Arrivals == 1);
}

std::optional<HttpResponse> callStore(const std::string &bytes) {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  standins::RawServer server(
      io, address, [&](const std::string &) { return RawAnswer{bytes}; });
  HttpClient client(io.get_executor(), address);
  std::optional<HttpResponse> response;
  auto run = [&]() -> asio::awaitable<void> {
    response = co_await client.call("GET", "/", "", CallLimit);
    io.stop();
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  return response;
}

absl::StatusOr<ctl::AdminReply> callAdmin(const std::string &bytes) {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  standins::RawServer server(
      io, address, [&](const std::string &) { return RawAnswer{bytes}; });
  std::jthread thread([&] { io.run_for(CallLimit); });
  auto reply = ctl::sendAdminRequest(address, "GET", "/", "", CallLimit);
  io.stop();
  return reply;
}

const std::vector<std::string> InvalidFields = {
    "X Y: 1", "X : 1", "X\t: 1", "X", ": 1", "X(Y): 1", "Content-Length : 3",
    // Control bytes and bytes beyond ASCII in a name.
    std::string("X\0Y: 1", 6), "X\x01Y: 1", "X\x0bY: 1", "X\rY: 1", "X\nY: 1",
    "X\x7fY: 1", "X\xe4Y: 1",
    // Control bytes in a value.
    std::string("X: \0", 4), "X: \x01", "X: a\rb", "X: a\nb", "X: \x7f"};

const std::vector<std::string> InvalidStatuses = {"000", "001", "099",
                                                  "101", "600", "999"};

} // namespace

TEST_CASE("an answer with an invalid status is a failure of the endpoint",
          "[broken-status]") {
  std::string status = GENERATE(from_range(InvalidStatuses));
  std::string rest = GENERATE_COPY(values<std::string>(
      {Sized, "\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       // Says nothing in an answer that is not valid.
       "Not-Executed: 1\r\n" + Sized}));
  INFO(status << " " << rest);
  checkFailed(callEndpoint({withStatus(status) + rest}));
}

TEST_CASE("an answer of the store with an invalid status is no answer",
          "[broken-status]") {
  std::string status = GENERATE(from_range(InvalidStatuses));
  INFO(status);
  CHECK_FALSE(callStore(withStatus(status) + Sized));
  // Nor does it precede one, as an interim answer does.
  CHECK_FALSE(callStore(withStatus(status) + "Content-Length: 0\r\n\r\n" +
                        withStatus("200") + Sized));
}

TEST_CASE("a reply to the operators' tool with an invalid status is an error",
          "[broken-status]") {
  std::string status = GENERATE(from_range(InvalidStatuses));
  INFO(status);
  auto reply = callAdmin(withStatus(status) + "Content-Length: 2\r\n\r\n{}");
  CHECK(absl::IsUnavailable(reply.status()));
}

TEST_CASE("a status that is not of three digits is a failure of the endpoint",
          "[broken-status]") {
  std::string status = GENERATE("20", "2000", "2x0", "-20", "");
  INFO(status);
  checkFailed(callEndpoint({withStatus(status) + Sized}));
}

TEST_CASE("answers with unusual valid statuses are passed on",
          "[broken-status]") {
  int status = GENERATE(200, 226, 299, 302, 404, 418, 499, 500, 599);
  INFO(status);
  std::string head = withStatus(std::to_string(status));
  Outcome outcome = callEndpoint({head + Sized});
  REQUIRE(outcome.Result.Answer);
  CHECK(outcome.Result.Answer->Status == status);
  CHECK(*outcome.Result.Answer->Content == "whole");
  auto stored = callStore(head + Sized);
  REQUIRE(stored);
  CHECK(stored->Status == status);
  CHECK(callAdmin(head + "Content-Length: 2\r\n\r\n{}").ok());
}

TEST_CASE("interim answers are not taken for invalid ones", "[broken-status]") {
  std::string interim = GENERATE("100", "102", "103", "199");
  INFO(interim);
  std::string bytes =
      "HTTP/1.1 " + interim + " Wait\r\n\r\n" + withStatus("200") + Sized;
  Outcome outcome = callEndpoint({bytes});
  REQUIRE(outcome.Result.Answer);
  CHECK(*outcome.Result.Answer->Content == "whole");
  auto stored = callStore(bytes);
  REQUIRE(stored);
  CHECK(*stored->Content == "whole");
}

TEST_CASE("an answer with an invalid field is a failure of the endpoint",
          "[broken-field]") {
  std::string line = GENERATE(from_range(InvalidFields));
  INFO(line);
  checkFailed(callEndpoint({withField(line)}));
  CHECK_FALSE(callStore(withField(line)));
  CHECK_FALSE(
      callAdmin(withStatus("200") + line + "\r\nContent-Length: 2\r\n\r\n{}")
          .ok());
}

TEST_CASE("a folded line without a field before it makes the answer a failure",
          "[broken-field]") {
  checkFailed(callEndpoint({"HTTP/1.1 200 Reply\r\n X: 1\r\n" + Own + Sized}));
}

TEST_CASE("a trailer with an invalid field name makes the answer a failure",
          "[broken-field]") {
  std::string line = GENERATE("X Y: 1", "X\x01Y: 1", "X : 1");
  INFO(line);
  Outcome outcome = callEndpoint({chunkedWithTrailer(line)});
  CHECK_FALSE(outcome.Result.Answer);
  CHECK(outcome.Result.Failure.Run == RunState::Unknown);
  CHECK_FALSE(callStore(chunkedWithTrailer(line)));
}

TEST_CASE("answers with unusual valid fields are passed on", "[broken-field]") {
  auto [line, name, value] =
      GENERATE(table<std::string, std::string, std::string>({
          {"X-Folded: a\r\n b", "X-Folded", "a b"},
          {"X!#$%&'*+-.^_`|~9: a", "X!#$%&'*+-.^_`|~9", "a"},
          {"X-Text: \xe4\xf6", "X-Text", "\xe4\xf6"},
          {"X-Tab: a\tb", "X-Tab", "a\tb"},
          {"X-Empty:", "X-Empty", ""},
      }));
  INFO(line);
  Outcome outcome = callEndpoint({withField(line)});
  REQUIRE(outcome.Result.Answer);
  CHECK(*outcome.Result.Answer->Content == "whole");
  CHECK(std::ranges::count(outcome.Result.Answer->Headers,
                           HttpHeader{name, value}) == 1);
}

TEST_CASE("an answer in a transfer coding that nobody asked for is a failure",
          "[broken-coding]") {
  std::string rest = GENERATE(values<std::string>(
      {"Transfer-Encoding: gzip\r\n\r\nwhole",
       "Transfer-Encoding: gzip\r\n" + Sized,
       "Transfer-Encoding: gzip, chunked\r\n" + Chunks,
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + Chunks,
       "Transfer-Encoding: chunked, gzip\r\n\r\nwhole",
       "Transfer-Encoding: x-chunked\r\n\r\nwhole",
       "Transfer-Encoding:\r\n\r\nwhole"}));
  INFO(rest);
  checkFailed(callEndpoint({withStatus("200") + rest}));
  CHECK_FALSE(callStore(withStatus("200") + rest));
}

TEST_CASE("a reply to the operators' tool in a transfer coding is an error",
          "[broken-coding]") {
  CHECK_FALSE(
      callAdmin(withStatus("200") + "Transfer-Encoding: gzip\r\n\r\n{}").ok());
}

TEST_CASE("the name of the chunked coding is not case-sensitive",
          "[broken-coding]") {
  std::string name = GENERATE("chunked", "Chunked", "CHUNKED ");
  std::string bytes =
      withStatus("200") + "Transfer-Encoding: " + name + "\r\n" + Chunks;
  Outcome outcome = callEndpoint({bytes});
  REQUIRE(outcome.Result.Answer);
  CHECK(*outcome.Result.Answer->Content == "whole");
  auto stored = callStore(bytes);
  REQUIRE(stored);
  CHECK(*stored->Content == "whole");
}

TEST_CASE("an answer without a length that is reset is truncated, also while "
          "its request is being written",
          "[broken-end]") {
  std::size_t upload =
      GENERATE(std::size_t{0}, std::size_t{400'000}, LongUpload);
  int endAfterMs = GENERATE(0, 20, 150, 400);
  bool hasBody = GENERATE(true, false);
  INFO(upload << " bytes, reset after " << endAfterMs << " ms");
  std::string bytes = withStatus("200") + "\r\n" + (hasBody ? "part" : "");
  Outcome outcome =
      callEndpoint({bytes, Ending::Reset, Millis(endAfterMs)}, upload);
  CHECK_FALSE(outcome.Result.Answer);
  CHECK(outcome.Result.Outcome == AttemptOutcome::Broken);
  CHECK(outcome.Result.Failure.Run == RunState::Unknown);
  CHECK(outcome.Arrivals == 1);
}

TEST_CASE("an early answer without a length that ends in order is passed on",
          "[broken-end]") {
  Ending end = GENERATE(Ending::HalfClose, Ending::HalfCloseThenReset);
  int endAfterMs = GENERATE(0, 20, 150, 400);
  INFO("ends after " << endAfterMs << " ms, " << int(end));
  Outcome outcome = callEndpoint(
      {withStatus("200") + "\r\nwhole", end, Millis(endAfterMs)}, LongUpload);
  REQUIRE(outcome.Result.Answer);
  CHECK(*outcome.Result.Answer->Content == "whole");
  if (end == Ending::HalfClose)
    CHECK(outcome.BodyBytes == LongUpload);
}

TEST_CASE("an early answer with a length is passed on whatever follows",
          "[broken-end]") {
  Ending end = GENERATE(Ending::HalfClose, Ending::Reset);
  int endAfterMs = GENERATE(0, 150);
  bool isChunked = GENERATE(false, true);
  std::string rest =
      isChunked ? "Transfer-Encoding: chunked\r\n" + Chunks : Sized;
  Outcome outcome = callEndpoint(
      {withStatus("200") + rest, end, Millis(endAfterMs)}, LongUpload);
  REQUIRE(outcome.Result.Answer);
  CHECK(*outcome.Result.Answer->Content == "whole");
  if (end == Ending::HalfClose)
    CHECK(outcome.BodyBytes == LongUpload);
}

TEST_CASE("an early answer shorter than its length is truncated",
          "[broken-end]") {
  Ending end = GENERATE(Ending::HalfClose, Ending::Reset);
  int endAfterMs = GENERATE(0, 150);
  Outcome outcome =
      callEndpoint({withStatus("200") + "Content-Length: 31\r\n\r\nbroken", end,
                    Millis(endAfterMs)},
                   LongUpload);
  CHECK_FALSE(outcome.Result.Answer);
  CHECK(outcome.Result.Failure.Kind == ErrorKind::AnswerTruncated);
  CHECK(outcome.Result.Failure.Run == RunState::Unknown);
}

namespace {

wire::Header makeHeader(const std::string &name, const std::string &value) {
  wire::Header header;
  header.name = name;
  header.value = value;
  return header;
}

const std::vector<wire::Header> ValidHeaders = {
    makeHeader("Response-Signature", "proof"), makeHeader("X-Text", "\xe4\tb"),
    makeHeader("X-Empty", "")};

/// Heads of answers that a node of another release might send.
std::vector<std::pair<int, std::vector<wire::Header>>> invalidHeads() {
  std::vector<std::pair<int, std::vector<wire::Header>>> all;
  for (int status : {-1, 0, 99, 100, 101, 103, 600, 1'000, 65'736})
    all.push_back({status, ValidHeaders});
  for (const char *name : {"", "X Y", "X:", "X\x01Y", "X\r\nY", "X\xe4"})
    all.push_back({200, {makeHeader(name, "1")}});
  for (const char *value : {"a\r\nInjected: 1", "a\nb", "a\x01", "\x7f"})
    all.push_back({200, {makeHeader("X", value)}});
  all.push_back({200, {makeHeader("X", std::string(1, '\0'))}});
  return all;
}

/// What an entry gets for an answer of a gate.
StreamEvent receive(GateClient &client, int status,
                    const std::vector<wire::Header> &headers,
                    const std::string &body) {
  asio::io_context io{1};
  auto box = std::make_shared<StreamMailbox>(io.get_executor());
  wire::Frame head;
  head.stream = client.open(box, 0);
  head.answer.status = status;
  head.answer.headers = headers;
  head.answer.bodyBytes = std::int64_t(body.size());
  head.answer.endpoint = "i-1";
  head.__isset.answer = true;
  wire::Frame data;
  data.stream = head.stream;
  data.data.bytes = body;
  data.__isset.data = true;
  // The link and its other streams go on.
  CHECK(client.takeFrame(head));
  CHECK(client.takeFrame(data));
  CHECK(client.openStreams() == 0);
  std::optional<StreamEvent> event;
  asio::co_spawn(
      io, [&]() -> asio::awaitable<void> { event = co_await box->next(now()); },
      asio::detached);
  io.run();
  REQUIRE(event);
  return *event;
}

} // namespace

TEST_CASE("an answer from another node that is not valid fails alone",
          "[broken-frame]") {
  auto channel = std::make_shared<testing::RecordingChannel>();
  GateClient client(channel, std::make_shared<BodyBudget>(MaxHeldBytes));
  for (const auto &[status, headers] : invalidHeads()) {
    INFO(status << " " << headers.front().name << ": "
                << headers.front().value);
    for (const char *body : {"whole", ""}) {
      StreamEvent event = receive(client, status, headers, body);
      auto *failure = std::get_if<wire::Failure>(&event.Content);
      CHECK(failure);
      if (!failure)
        continue;
      CHECK(failure->kind == int(ErrorKind::EndpointFailed));
      CHECK(failure->run == int(RunState::Unknown));
      CHECK(failure->hasReached);
      CHECK(failure->endpoint == "i-1");
    }
  }
  for (int status : {200, 204, 299, 404, 500, 599}) {
    StreamEvent event = receive(client, status, ValidHeaders, "whole");
    auto *answer = std::get_if<AnswerEvent>(&event.Content);
    REQUIRE(answer);
    CHECK(answer->Answer.Status == status);
    CHECK(toWire(answer->Answer.Headers) == ValidHeaders);
  }
}

TEST_CASE("a stored answer that is not valid is not replayed",
          "[broken-frame]") {
  wire::StoredAnswer stored;
  stored.body = "whole";
  for (const auto &[status, headers] : invalidHeads()) {
    stored.status = status;
    stored.headers = headers;
    EntryResult result = replayStored(stored);
    auto *error = std::get_if<Error>(&result);
    CHECK(error);
    if (!error)
      continue;
    CHECK(error->Kind == ErrorKind::KeyAnswerGone);
  }
  stored.status = 299;
  stored.headers = ValidHeaders;
  EntryResult result = replayStored(stored);
  auto *answer = std::get_if<HttpResponse>(&result);
  REQUIRE(answer);
  CHECK(answer->Status == 299);
  CHECK(*answer->Content == "whole");
}
