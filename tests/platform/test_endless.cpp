#include "hickorygladectl/adminclient.h"
#include "libfleet/base/clock.h"
#include "libfleet/gate/endpointclient.h"
#include "libfleet/http/httpclient.h"
#include "libfleet/http/httpserver.h"
#include "libfleet/peers/gateclient.h"
#include "platform/dialect.h"
#include "platform/recordingchannel.h"
#include "process/freeaddress.h"
#include "standins/standinserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <thread>

/// Bytes without an end: from endpoints, the store, other nodes and callers.

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

constexpr Millis CallLimit{3'000};
constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t TestBudget = 8 * Megabyte;
/// What the kernel may hold of a connection at both ends, beside the budget.
constexpr std::size_t SocketBytes = 24 * Megabyte;

const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                         "Response-Signature: proof\r\n";

/// Bytes that a server sends: the beginning once, then the piece for ever.
struct EndlessForm {
  std::string Name;
  std::string Begin;
  std::string Piece;
};

std::string repeated(const std::string &text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes)
    all += text;
  return all;
}

const std::string Filler = std::string(64 * 1024, 'a');

/// Forms that break a bound of the parser, whatever the budget is.
std::vector<EndlessForm> unboundedSyntax() {
  std::string chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"header line", Head + "X-Long: ", Filler},
      {"header lines", Head, repeated("X-Short: 1\r\n", Filler.size())},
      {"chunk size line", chunked + "1;", Filler},
      {"trailer line", chunked + "0\r\nX-Long: ", Filler},
      {"trailer lines", chunked + "0\r\n",
       repeated("X-Short: 1\r\n", Filler.size())},
      {"interim answers", "",
       repeated("HTTP/1.1 103 Early Hints\r\nAttempt-Id: a\r\n\r\n",
                Filler.size())},
  };
}

std::vector<EndlessForm> unboundedBodies() {
  return {
      {"body without a length", Head + "\r\n", Filler},
      {"body in chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
       repeated("400\r\n" + std::string(1024, 'a') + "\r\n", Filler.size())},
      {"body of a length beyond all bounds",
       Head + "Content-Length: 1000000000000\r\n\r\n", Filler},
  };
}

std::vector<EndlessForm> allForms() {
  auto all = unboundedSyntax();
  std::ranges::move(unboundedBodies(), std::back_inserter(all));
  all.push_back(
      {"late answers", "",
       repeated(standins::answerBytes(200, "x",
                                      "Attempt-Id: earlier\r\n"
                                      "Response-Signature: proof\r\n"),
                Filler.size())});
  return all;
}

EndpointCall makeCall(const std::string &address, const std::string &id) {
  EndpointCall call;
  call.Address = address;
  call.Request.Method = "GET";
  call.Request.Target = "/" + id;
  call.Request.Headers = {{"Attempt-Id", id}};
  call.IsIdempotent = true;
  call.Deadline = now() + CallLimit;
  return call;
}

/// A server that answers /a with an endless form, and all else in full, its
/// body in pieces with pauses.
class EndlessServer {
public:
  EndlessServer(asio::io_context &io, EndlessForm form)
      : Address(Addresses.next()), Form(std::move(form)) {
    standins::serveHttp(
        io, Address,
        [this](HttpRequest request,
               std::shared_ptr<standins::RawConnection> connection) {
          return answer(std::move(request), std::move(connection));
        });
  }

  const std::string &address() const { return Address; }
  std::size_t sent() const { return Sent; }
  bool isClosed() const { return IsClosed; }

private:
  asio::awaitable<bool>
  answer(HttpRequest request,
         std::shared_ptr<standins::RawConnection> connection) {
    if (request.Target != "/a") {
      co_await sendWhole(*connection, request.Target.substr(1));
      co_return true;
    }
    co_await connection->write(Form.Begin);
    // The stand-in gives up, so that a test of a faulty reader ends.
    constexpr std::size_t most = 200 * Megabyte;
    while (!connection->isClosedByPeer() && Sent < most) {
      co_await connection->write(Form.Piece);
      Sent += Form.Piece.size();
    }
    IsClosed = Sent < most;
    co_return false;
  }

  static asio::awaitable<void> sendWhole(standins::RawConnection &connection,
                                         std::string id) {
    constexpr std::size_t pieces = 16;
    std::string bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                        "\r\nResponse-Signature: proof\r\nContent-Length: " +
                        std::to_string(pieces * Filler.size()) + "\r\n\r\n";
    co_await connection.write(bytes);
    for (std::size_t i = 0; i < pieces; ++i) {
      co_await connection.write(Filler);
      co_await standins::sleepFor(Millis(20));
    }
  }

  testing::FreeAddresses Addresses;
  std::string Address;
  EndlessForm Form;
  std::size_t Sent = 0;
  bool IsClosed = false;
};

/// Runs until all calls have ended, and then for a moment, so that the server
/// notices closed connections.
std::vector<EndpointResult> exchangeAll(asio::io_context &io,
                                        const EndlessServer &server,
                                        const std::vector<std::string> &ids,
                                        BodyBudgetPtr budget) {
  HttpDialect dialect = platform::makeDialect();
  EndpointClient client(io.get_executor(), dialect, std::move(budget));
  std::vector<EndpointResult> results(ids.size());
  std::size_t open = ids.size();
  auto run = [&](std::size_t i) -> asio::awaitable<void> {
    auto handle = std::make_shared<ExchangeHandle>();
    EndpointCall call = makeCall(server.address(), ids[i]);
    results[i] = co_await client.exchange(std::move(call), handle);
    if (--open > 0)
      co_return;
    co_await standins::sleepFor(Millis(50));
    io.stop();
  };
  for (std::size_t i = 0; i < ids.size(); ++i)
    asio::co_spawn(io, run(i), asio::detached);
  io.run();
  return results;
}

} // namespace

TEST_CASE("an answer without an end is given up soon and within a bound, and "
          "is no crash",
          "[endless]") {
  EndlessForm form = GENERATE(from_range(allForms()));
  INFO(form.Name);
  asio::io_context io{1};
  EndlessServer server(io, form);
  auto budget = std::make_shared<BodyBudget>(TestBudget);
  Instant begin = now();
  auto results = exchangeAll(io, server, {"a"}, budget);
  CHECK(now() - begin < CallLimit);
  CHECK_FALSE(results[0].Answer);
  CHECK(results[0].Outcome == AttemptOutcome::Failed);
  CHECK(results[0].Failure.Run == RunState::Unknown);
  CHECK(server.sent() < 64 * Megabyte + SocketBytes);
  CHECK(server.isClosed());
  CHECK(budget->used() == 0);
}

TEST_CASE("what no body holds is bounded far below the budget", "[endless]") {
  EndlessForm form = GENERATE(from_range(unboundedSyntax()));
  INFO(form.Name);
  asio::io_context io{1};
  EndlessServer server(io, form);
  auto results =
      exchangeAll(io, server, {"a"}, std::make_shared<BodyBudget>(TestBudget));
  CHECK(server.sent() < Megabyte + SocketBytes);
}

TEST_CASE("endless bodies are broken off before answers that have an end",
          "[endless]") {
  EndlessForm form = GENERATE(from_range(unboundedBodies()));
  INFO(form.Name);
  asio::io_context io{1};
  EndlessServer server(io, form);
  auto budget = std::make_shared<BodyBudget>(TestBudget);
  std::vector<std::string> ids(7, "a");
  ids.insert(ids.end(), {"b", "c"});
  auto results = exchangeAll(io, server, ids, budget);
  for (std::size_t i = 0; i < 7; ++i)
    CHECK(results[i].Failure.Kind == ErrorKind::AnswerTooLong);
  for (std::size_t i : {7, 8}) {
    REQUIRE(results[i].Answer);
    CHECK(results[i].Answer->Content->size() == 16 * Filler.size());
  }
}

TEST_CASE("an answer is found behind interim answers", "[endless]") {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  standins::serveHttp(
      io, address,
      [](HttpRequest, std::shared_ptr<standins::RawConnection> connection)
          -> asio::awaitable<bool> {
        co_await connection->write("HTTP/1.1 103 Early Hints\r\n\r\n" + Head +
                                   "Content-Length: 5\r\n\r\nwhole");
        co_return true;
      });
  HttpDialect dialect = platform::makeDialect();
  EndpointClient client(io.get_executor(), dialect,
                        std::make_shared<BodyBudget>(TestBudget));
  EndpointResult result;
  auto run = [&]() -> asio::awaitable<void> {
    auto handle = std::make_shared<ExchangeHandle>();
    result = co_await client.exchange(makeCall(address, "a"), handle);
    io.stop();
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  REQUIRE(result.Answer);
  CHECK(*result.Answer->Content == "whole");
}

TEST_CASE("bytes without an end after a whole answer end its connection",
          "[endless]") {
  EndlessForm form{"after a whole answer",
                   Head + "Content-Length: 5\r\n\r\nwhole", Filler};
  asio::io_context io{1};
  EndlessServer server(io, form);
  auto results =
      exchangeAll(io, server, {"a"}, std::make_shared<BodyBudget>(TestBudget));
  REQUIRE(results[0].Answer);
  CHECK(*results[0].Answer->Content == "whole");
  CHECK(server.sent() < Megabyte + SocketBytes);
  CHECK(server.isClosed());
}

TEST_CASE("an answer of the store without an end is given up within a bound",
          "[endless]") {
  std::vector<EndlessForm> forms = unboundedSyntax();
  std::ranges::move(unboundedBodies(), std::back_inserter(forms));
  EndlessForm form = GENERATE_COPY(from_range(forms));
  INFO(form.Name);
  asio::io_context io{1};
  EndlessServer server(io, form);
  HttpClient client(io.get_executor(), server.address());
  std::optional<HttpResponse> response = HttpResponse{};
  Instant begin = now();
  auto run = [&]() -> asio::awaitable<void> {
    response = co_await client.call("GET", "/a", "", CallLimit);
    co_await standins::sleepFor(Millis(50));
    io.stop();
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  CHECK_FALSE(response);
  CHECK(now() - begin < CallLimit);
  CHECK(server.sent() < 16 * Megabyte + SocketBytes);
  CHECK(server.isClosed());
}

TEST_CASE("a reply to the operators' tool without an end is given up",
          "[endless]") {
  std::vector<EndlessForm> forms = unboundedSyntax();
  std::ranges::move(unboundedBodies(), std::back_inserter(forms));
  // The first interim answer is taken for the reply.
  std::erase_if(forms, [](const EndlessForm &it) {
    return it.Name == "interim answers";
  });
  EndlessForm form = GENERATE_COPY(from_range(forms));
  INFO(form.Name);
  asio::io_context io{1};
  EndlessServer server(io, form);
  std::jthread thread([&] { io.run_for(CallLimit); });
  auto reply =
      ctl::sendAdminRequest(server.address(), "GET", "/a", "", CallLimit);
  CHECK_FALSE(reply.ok());
  CHECK(reply.status().message().find("timeout") == std::string::npos);
  io.stop();
}

namespace {

/// Sends a request that has no end to a server with the given budget. Returns
/// the first line of the answer.
std::string answerToEndless(const EndlessForm &form, std::size_t &sent) {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  auto handler = [](HttpRequest, std::shared_ptr<CallScope>)
      -> asio::awaitable<HttpResponse> { co_return HttpResponse{}; };
  HttpServer server(
      io.get_executor(), address, {{io.get_executor(), handler, false}},
      [](int status) {
        HttpResponse response;
        response.Status = status;
        return response;
      },
      std::make_shared<BodyBudget>(TestBudget));
  REQUIRE(server.listen().ok());
  server.start();
  tcp::socket socket(io);
  std::string line(12, ' ');
  auto colon = address.find(':');
  tcp::endpoint to(asio::ip::make_address(address.substr(0, colon)),
                   std::uint16_t(std::stoi(address.substr(colon + 1))));
  auto send = [&]() -> asio::awaitable<void> {
    error_code ec;
    co_await socket.async_connect(
        to, asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(socket, asio::buffer(form.Begin),
                               asio::redirect_error(asio::use_awaitable, ec));
    constexpr std::size_t most = 300 * Megabyte;
    while (!ec && sent < most) {
      co_await asio::async_write(socket, asio::buffer(form.Piece),
                                 asio::redirect_error(asio::use_awaitable, ec));
      sent += form.Piece.size();
    }
  };
  auto receive = [&]() -> asio::awaitable<void> {
    co_await standins::sleepFor(Millis(100));
    error_code ec;
    co_await socket.async_read_some(
        asio::buffer(line), asio::redirect_error(asio::use_awaitable, ec));
    co_await standins::sleepFor(Millis(2'500));
    io.stop();
  };
  asio::co_spawn(io, send(), asio::detached);
  asio::co_spawn(io, receive(), asio::detached);
  io.run();
  return line;
}

} // namespace

TEST_CASE("a request without an end is rejected and its connection closed",
          "[endless]") {
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  auto [form, status] = GENERATE_COPY(table<EndlessForm, std::string>({
      {EndlessForm{"header line", head + "X-Long: ", Filler}, "431"},
      {EndlessForm{"header lines", head,
                   repeated("X-Short: 1\r\n", Filler.size())},
       "431"},
      {EndlessForm{"chunk size line", chunked + "1;", Filler}, "400"},
      {EndlessForm{"trailer line", chunked + "0\r\nX-Long: ", Filler}, "400"},
      {EndlessForm{
           "body in chunks", chunked,
           repeated("400\r\n" + std::string(1024, 'a') + "\r\n", 65'000)},
       "413"},
  }));
  INFO(form.Name);
  std::size_t sent = 0;
  CHECK(answerToEndless(form, sent) == "HTTP/1.1 " + status);
  // The rejected rest is read up to a bound, so that the answer arrives.
  CHECK(sent < 2 * 64 * Megabyte + SocketBytes);
}

TEST_CASE("a long body waits for room and is admitted alone", "[endless]") {
  auto budget = std::make_shared<BodyBudget>(TestBudget);
  HeldBytes first(budget, BodyUse::Request);
  // Longer than the budget: it could otherwise never be sent.
  CHECK(first.resize(2 * TestBudget));
  HeldBytes second(budget, BodyUse::Request);
  CHECK_FALSE(second.resize(Megabyte));
  CHECK(second.resize(BodyBudget::SmallBytes));
  HeldBytes relayed(budget, BodyUse::Relayed);
  CHECK_FALSE(relayed.resize(Megabyte));
  HeldBytes answer(budget, BodyUse::Answer);
  CHECK_FALSE(answer.resize(Megabyte));
  CHECK(answer.resize(BodyBudget::SmallBytes));
  first.resize(Megabyte);
  CHECK(second.resize(Megabyte));
  // Requests leave room for answers.
  CHECK_FALSE(second.resize(TestBudget / 2));
  CHECK(answer.resize(TestBudget / 2));
  CHECK_FALSE(answer.resize(TestBudget));
  // Bodies of other nodes may exceed the budget by half.
  CHECK(relayed.resize(TestBudget / 2));
  CHECK_FALSE(relayed.resize(TestBudget));
  relayed.resize(0);
  Body shared = makeBody("x", std::move(answer));
  CHECK(budget->used() == 2 * Megabyte + TestBudget / 2);
  shared = nullptr;
  CHECK(budget->used() == 2 * Megabyte);
}

TEST_CASE("an answer from another node for which there is no room fails alone",
          "[endless]") {
  asio::io_context io{1};
  auto channel = std::make_shared<testing::RecordingChannel>();
  auto budget = std::make_shared<BodyBudget>(TestBudget);
  HeldBytes other(budget, BodyUse::Answer);
  REQUIRE(other.resize(2 * TestBudget));
  GateClient client(channel, budget);
  auto box = std::make_shared<StreamMailbox>(io.get_executor());
  auto receive = [&](std::int64_t bytes, std::size_t sent) {
    wire::Frame head;
    head.stream = client.open(box, 0);
    head.answer.status = 200;
    head.answer.bodyBytes = bytes;
    head.__isset.answer = true;
    wire::Frame data;
    data.stream = head.stream;
    data.data.bytes = std::string(sent, 'a');
    data.__isset.data = true;
    bool isTaken = client.takeFrame(head) && client.takeFrame(data);
    std::optional<StreamEvent> event;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> { event = co_await box->next(now()); },
        asio::detached);
    io.restart();
    io.run();
    REQUIRE(isTaken);
    REQUIRE(event);
    return *event;
  };
  StreamEvent rejected = receive(std::int64_t(Megabyte), 1'000);
  auto *failure = std::get_if<wire::Failure>(&rejected.Content);
  REQUIRE(failure);
  CHECK(failure->kind == int(ErrorKind::AnswerTooLong));
  CHECK(channel->Sent.back().__isset.cancel);
  // A length that no memory holds ends no process.
  other.resize(0);
  wire::Frame head;
  head.stream = client.open(box, 0);
  head.answer.status = 200;
  head.answer.bodyBytes = std::int64_t{1} << 60;
  head.__isset.answer = true;
  wire::Frame data;
  data.stream = head.stream;
  data.data.bytes = "a";
  data.__isset.data = true;
  CHECK(client.takeFrame(head));
  CHECK_NOTHROW(client.takeFrame(data));
  client.closeStream(head.stream);
  StreamEvent small = receive(1'000, 1'000);
  CHECK(std::holds_alternative<AnswerEvent>(small.Content));
}
