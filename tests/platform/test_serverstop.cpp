#include "libfleet/base/clock.h"
#include "libfleet/http/httpserver.h"
#include "process/freeaddress.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

/// Requests that reach a server on a connection that it is about to close as
/// idle. Each test guards against a connection that ends without an answer to a
/// request that had arrived before it was closed.

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

constexpr std::size_t LongBody = 32 * 1024 * 1024;
const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose thread is the test's own, so that a test decides what happens
/// between two steps of the server.
class SteppedServer {
public:
  explicit SteppedServer(std::size_t bodyBytes)
      : Address(Addresses.next()),
        Server(
            Io.get_executor(), Address,
            {{Io.get_executor(),
              [bodyBytes](HttpRequest, std::shared_ptr<CallScope>)
                  -> asio::awaitable<HttpResponse> {
                HttpResponse response;
                response.Content =
                    std::make_shared<const std::string>(bodyBytes, 'a');
                co_return response;
              },
              true}},
            [](int) { return HttpResponse{}; },
            std::make_shared<BodyBudget>(LongBody)) {
    REQUIRE(Server.listen().ok());
    Server.start();
  }

  /// Runs the server for a time, also if it has nothing left to do.
  void run(Millis time) {
    asio::steady_timer timer(Io, time);
    timer.async_wait([](const error_code &) {});
    Io.restart();
    Io.run_for(time);
  }

  /// Opens a connection and completes one request on it.
  void connect(tcp::socket &caller) {
    auto colon = Address.find(':');
    caller.connect({asio::ip::make_address(Address.substr(0, colon)),
                    std::uint16_t(std::stoi(Address.substr(colon + 1)))});
    asio::write(caller, asio::buffer(Request));
    readAll(caller);
  }

  /// Runs the server and reads until nothing arrives any more.
  std::string readAll(tcp::socket &caller) {
    constexpr Millis step{10};
    constexpr int quietSteps = 10;
    caller.non_blocking(true);
    std::string all;
    std::string piece(256 * 1024, ' ');
    for (int quiet = 0; quiet < quietSteps; ++quiet) {
      run(step);
      error_code ec;
      while (std::size_t n = caller.read_some(asio::buffer(piece), ec)) {
        all.append(piece, 0, n);
        quiet = 0;
      }
    }
    return all;
  }

  asio::io_context Io{1};

private:
  testing::FreeAddresses Addresses;
  std::string Address;

public:
  HttpServer Server;
};

} // namespace

TEST_CASE("a request that has arrived on an idle connection when its server "
          "stops is answered",
          "[server-stop]") {
  SteppedServer it(5);
  asio::io_context io;
  tcp::socket caller(io);
  it.connect(caller);
  caller.non_blocking(false);
  asio::write(caller, asio::buffer(Request));
  // The server's thread has not noticed the request yet.
  it.Server.stop();
  CHECK(it.Server.isBusy());
  std::string answer = it.readAll(caller);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("aaaaa"));
  it.run(Millis(300));
  CHECK_FALSE(it.Server.isBusy());
}

TEST_CASE("an answer that is being written when idle connections are closed is "
          "completed",
          "[server-stop]") {
  SteppedServer it(LongBody);
  asio::io_context io;
  tcp::socket caller(io);
  it.connect(caller);
  caller.non_blocking(false);
  // Stops the server while its thread learns of the request, at one of the
  // moments before it begins to answer.
  int steps = GENERATE(range(0, 8));
  INFO(steps << " steps after the request");
  std::function<void(int)> stopAfter = [&](int left) {
    asio::post(it.Io, [&, left] {
      if (left > 0)
        return stopAfter(left - 1);
      it.Server.stop();
    });
  };
  asio::post(it.Io, [&] {
    asio::write(caller, asio::buffer(Request));
    stopAfter(steps);
  });
  std::string answer = it.readAll(caller);
  CHECK(answer.size() > LongBody);
}

TEST_CASE("idle connections without a request are closed when a server stops",
          "[server-stop]") {
  SteppedServer it(5);
  asio::io_context io;
  tcp::socket caller(io);
  it.connect(caller);
  it.Server.stop();
  it.run(Millis(300));
  CHECK_FALSE(it.Server.isBusy());
  char byte = 0;
  error_code ec;
  caller.read_some(asio::buffer(&byte, 1), ec);
  CHECK(ec == asio::error::eof);
}
