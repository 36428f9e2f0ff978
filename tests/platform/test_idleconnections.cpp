#include "libfleet/base/clock.h"
#include "libfleet/gate/endpointclient.h"
#include "platform/dialect.h"
#include "process/freeaddress.h"
#include "standins/standinserver.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hickoryglade;
using namespace hickoryglade::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant Start{seconds(1'000)};

/// Times of an endpoint that has named a timeout of 10 s and worked at Start.
IdleTimes namedTimes() {
  IdleTimes it;
  noteExchange(it, seconds(10), Micros{0}, Start);
  return it;
}

} // namespace

TEST_CASE("the timeout of a Keep-Alive header is read", "[idle-connections]") {
  CHECK(keepAliveTimeout("timeout=5") == seconds(5));
  CHECK(keepAliveTimeout("max=100, Timeout=12 ") == seconds(12));
  CHECK(keepAliveTimeout("timeout=0") == seconds(0));
  CHECK(keepAliveTimeout("timeout=999999") == seconds(3'600));
  for (const char *bad : {"", "5", "timeout=", "timeout=x", "timeout=5s",
                          "timeout=-5", "timeout=99999999999", "time=5"})
    CHECK_FALSE(keepAliveTimeout(bad));
}

// Guards against a request that is sent on a connection which the endpoint is
// about to close.
TEST_CASE("connections are given up before the named timeout",
          "[idle-connections]") {
  IdleTimes it = namedTimes();
  CHECK(mayUse(it, Start - seconds(7), true, Start + seconds(1)));
  CHECK_FALSE(mayUse(it, Start - seconds(8), true, Start + seconds(1)));
  CHECK(mayUse(it, Start - seconds(7), false, Start + seconds(1)));
  CHECK_FALSE(mayUse(it, Start - seconds(8), false, Start + seconds(1)));
  noteExchange(it, seconds(1), Micros{0}, Start);
  CHECK(mayUse(it, Start, false, Start + milliseconds(500)));
  CHECK_FALSE(mayUse(it, Start, false, Start + milliseconds(501)));
  noteExchange(it, seconds(60), Micros{0}, Start);
  CHECK(idleLimit(it) == seconds(15));
}

// Guards against a request that may run only once being sent into a connection
// whose state a middlebox has dropped, or to an endpoint that has gone silent.
TEST_CASE("a request that may run only once needs a recent exchange",
          "[idle-connections]") {
  IdleTimes it = namedTimes();
  Instant now = Start + milliseconds(1'001);
  CHECK_FALSE(mayUse(it, Start - seconds(2), false, now));
  CHECK(mayUse(it, Start - seconds(2), true, now));
  noteExchange(it, seconds(10), Micros{0}, Start + milliseconds(500));
  CHECK(mayUse(it, Start - seconds(2), false, now));
  noteLoss(it, Start + milliseconds(600));
  CHECK_FALSE(mayUse(it, Start - seconds(2), false, now));
  CHECK_FALSE(mayUse(it, Start + milliseconds(500), false, now));
  CHECK(mayUse(it, Start + milliseconds(700), false, now));
  CHECK_FALSE(hasJustWorked(it, now));
  noteExchange(it, seconds(10), Micros{0}, Start + milliseconds(900));
  CHECK(hasJustWorked(it, now));
  CHECK_FALSE(mayUse(it, Start + milliseconds(500), false, now));
}

// Guards against trust in an endpoint that does not say how long it keeps
// connections.
TEST_CASE("without a named timeout, half of the idle time that a connection "
          "has survived is used",
          "[idle-connections]") {
  IdleTimes it;
  noteExchange(it, std::nullopt, Micros{0}, Start);
  CHECK(mayUse(it, Start - seconds(1), false, Start));
  CHECK_FALSE(mayUse(it, Start - milliseconds(1'001), false, Start));
  CHECK(mayUse(it, Start - seconds(15), true, Start));
  noteExchange(it, std::nullopt, seconds(6), Start);
  CHECK(mayUse(it, Start - seconds(3), false, Start));
  CHECK_FALSE(mayUse(it, Start - milliseconds(3'001), false, Start));
  noteClosed(it, seconds(4));
  CHECK_FALSE(mayUse(it, Start - milliseconds(2'001), false, Start));
}

// Guards against a change for nodes that do not reuse connections for longer:
// without notes, the fixed limits apply.
TEST_CASE("without notes, connections are used for 1 s or 15 s",
          "[idle-connections]") {
  IdleTimes it;
  CHECK(mayUse(it, Start - seconds(1), false, Start));
  CHECK_FALSE(mayUse(it, Start - milliseconds(1'001), false, Start));
  CHECK(mayUse(it, Start - seconds(15), true, Start));
  CHECK_FALSE(mayUse(it, Start - milliseconds(15'001), true, Start));
}

namespace {

/// An endpoint that answers after 50 ms, names a timeout of 10 s and closes the
/// connection of requests for /reset; and a client of it.
class Exchanges {
public:
  explicit Exchanges(bool reusesLonger)
      : Address(Addresses.next()), Dialect(platform::makeDialect()),
        Client(Io.get_executor(), Dialect,
               std::make_shared<BodyBudget>(std::size_t{1} << 20),
               reusesLonger) {
    standins::serveHttp(
        Io, Address,
        [this](HttpRequest request,
               std::shared_ptr<standins::RawConnection> connection)
            -> asio::awaitable<bool> {
          Connections.insert(connection);
          co_await pause(milliseconds(50));
          if (request.Target == "/reset")
            co_return false;
          co_await connection->write(standins::answerBytes(
              200, "whole",
              "Attempt-Id: " + headerValue(request.Headers, "Attempt-Id") +
                  "\r\nResponse-Signature: proof\r\nKeep-Alive: timeout=10"
                  "\r\n"));
          co_return true;
        });
  }

  asio::awaitable<void> pause(Micros time) {
    asio::steady_timer timer(Io, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  /// Starts an exchange; returns without waiting for it.
  void start(bool isIdempotent, std::string target = "/x") {
    EndpointCall call;
    call.Address = Address;
    call.Request.Method = isIdempotent ? "GET" : "POST";
    call.Request.Target = std::move(target);
    call.Request.Headers = {{"Attempt-Id", std::to_string(++Calls)}};
    call.IsIdempotent = isIdempotent;
    call.Deadline = now() + seconds(2);
    asio::co_spawn(Io, carryOut(std::move(call)), asio::detached);
  }

  /// Runs a script; the endpoint's connections are counted in `connections`.
  void run(const std::function<asio::awaitable<void>()> &script) {
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          co_await script();
          Io.stop();
        },
        asio::detached);
    Io.run();
  }

  std::size_t connections() const { return Connections.size(); }
  int answered() const { return Answered; }

private:
  asio::awaitable<void> carryOut(EndpointCall call) {
    EndpointResult result = co_await Client.exchange(
        std::move(call), std::make_shared<ExchangeHandle>());
    Answered += result.Outcome == AttemptOutcome::Answered;
  }

  asio::io_context Io{1};
  testing::FreeAddresses Addresses;
  std::string Address;
  HttpDialect Dialect;
  EndpointClient Client;
  /// Those that have carried a request.
  std::set<std::shared_ptr<standins::RawConnection>> Connections;
  int Calls = 0;
  int Answered = 0;
};

} // namespace

// Guards against a new connection for each request that may run only once and
// finds the latest connections in use, which half of a day's new connections
// were opened for.
TEST_CASE("a request that may run only once uses a connection of an endpoint "
          "that has just answered",
          "[idle-connections]") {
  bool reusesLonger = GENERATE(false, true);
  Exchanges it(reusesLonger);
  it.run([&]() -> asio::awaitable<void> {
    it.start(false);
    it.start(false);
    co_await it.pause(milliseconds(900));
    it.start(true);
    co_await it.pause(milliseconds(400));
    it.start(false);
    it.start(false);
    co_await it.pause(milliseconds(200));
  });
  CHECK(it.answered() == 5);
  CHECK(it.connections() == (reusesLonger ? 2 : 3));
}

// Guards against requests that may run only once following a lost one on other
// old connections, and against closing connections that still work.
TEST_CASE("after a lost connection, only requests that may be repeated use "
          "older ones",
          "[idle-connections]") {
  bool isIdempotent = GENERATE(true, false);
  Exchanges it(true);
  it.run([&]() -> asio::awaitable<void> {
    it.start(true);
    it.start(true);
    co_await it.pause(milliseconds(100));
    it.start(true, "/reset");
    co_await it.pause(milliseconds(300));
    // One uses the connection by which the endpoint was found to be alive.
    it.start(isIdempotent);
    it.start(isIdempotent);
    co_await it.pause(milliseconds(200));
  });
  CHECK(it.answered() == 4);
  CHECK(it.connections() == (isIdempotent ? 3 : 4));
}
