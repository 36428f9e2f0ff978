#include "libfleet/base/asio.h"
#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <thread>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longer than any request of these tests may last.
constexpr int EndlessMs = 15'000;

/// Starts an entry, n3, and one gate for all its requests, n1.
void startPair(PlatformFleet &fleet) {
  fleet.startStore();
  fleet.startNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  for (json &rule : config["listeners"][0]["route_rules"]) {
    rule["target_latency_s"] = 9;
    rule["action"]["timeout_s"] = 10;
  }
  fleet.configure(config);
  fleet.awaitServing();
}

/// Returns once the orders run at the server of n1.
std::vector<std::future<HttpReply>> startOrders(PlatformFleet &fleet,
                                                int orders) {
  constexpr milliseconds limit{11'000};
  auto send = [&fleet, limit](int number) {
    HttpCall call{"POST",
                  "/once/x",
                  {{"Host", "h.example"},
                   {"Attempt-Id", "order-" + std::to_string(number)},
                   {"Remaining-Milliseconds", "10000"}},
                  ""};
    return callOnce(fleet.node("n3").Http, call, limit);
  };
  fleet.controlServer("n1", {{"work_ms", EndlessMs}});
  int before = fleet.arrivals("n1");
  std::vector<std::future<HttpReply>> replies;
  for (int i = 0; i < orders; ++i)
    replies.push_back(std::async(std::launch::async, send, i));
  TestFleet::await("the orders run",
                   [&] { return fleet.arrivals("n1") == before + orders; });
  return replies;
}

/// A caller's connection that is opened before it has a request.
class OpenConnection {
public:
  explicit OpenConnection(const std::string &address) : Socket(Io) {
    auto colon = address.find(':');
    Socket.connect({fleet::asio::ip::make_address(address.substr(0, colon)),
                    std::uint16_t(std::stoi(address.substr(colon + 1)))});
  }

  void send(const std::string &bytes) {
    fleet::asio::write(Socket, fleet::asio::buffer(bytes));
  }

  /// Returns everything that arrives until the node closes the connection.
  std::string readAll() {
    std::string all;
    fleet::error_code ec;
    fleet::asio::read(Socket, fleet::asio::dynamic_buffer(all), ec);
    return all;
  }

private:
  fleet::asio::io_context Io{1};
  fleet::tcp::socket Socket;
};

std::string lookup(int timeoutMs) {
  return "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: late-" +
         std::to_string(timeoutMs) +
         "\r\nRemaining-Milliseconds: " + std::to_string(timeoutMs) +
         "\r\n\r\n";
}

} // namespace

// Guards against orders that get no answer because their entry waits for word
// of a gate that is gone, or connects to it, until its own process ends.
TEST_CASE("orders whose gate is gone are answered before their entry ends",
          "[orders-two-stops]") {
  constexpr int orders = 3;
  // SIGSTOP leaves a gate that accepts connections and says nothing on them.
  int signal = GENERATE(SIGTERM, SIGKILL, SIGSTOP);
  PlatformFleet fleet;
  startPair(fleet);
  auto replies = startOrders(fleet, orders);
  fleet.process("n1").signal(signal);
  std::this_thread::sleep_for(milliseconds(1'300));
  fleet.process("n3").signal(SIGTERM);
  for (auto &it : replies) {
    HttpReply reply = it.get();
    INFO("signal " << signal << ": " << reply.Status << " " << reply.Body);
    CHECK(reply.Status == 502);
    CHECK(reply.problem("run") == "unknown");
  }
}

// Guards against a request that comes after the linger on a connection opened
// before, runs longer than expected and is broken off as the process ends.
TEST_CASE("a stopping node starts no late request that might not end",
          "[late-requests]") {
  constexpr milliseconds openAt{2'000};
  constexpr milliseconds beginAt{2'600};
  constexpr milliseconds sendAt{3'200};
  constexpr milliseconds promptly{400};
  bool isInParts = GENERATE(false, true);
  INFO("in parts: " << isInParts);
  PlatformFleet fleet;
  fleet.setNodeSettings({{"linger_ms", 2'500}, {"drain_limit_ms", 2'800}});
  startPair(fleet);
  for (int i = 0; i < 8; ++i)
    REQUIRE(fleet.call("n3", "GET", "/safe/x").Status == 200);
  // Keeps the process running until its limit.
  auto orders = startOrders(fleet, 1);
  fleet.process("n3").signal(SIGTERM);
  std::this_thread::sleep_for(openAt);
  OpenConnection slow(fleet.node("n3").Http);
  OpenConnection quick(fleet.node("n3").Http);
  std::this_thread::sleep_for(beginAt - openAt);
  std::string head = lookup(6'000);
  std::size_t begun = isInParts ? head.size() / 2 : 0;
  slow.send(head.substr(0, begun));
  std::this_thread::sleep_for(sendAt - beginAt);
  Instant sentAt = fleet::now();
  slow.send(head.substr(begun));
  std::string refusal = slow.readAll();
  INFO(refusal);
  CHECK(fleet::now() - sentAt < promptly);
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK(refusal.find("\r\nRetry-After: ") != std::string::npos);
  CHECK(refusal.find("\"run\":\"not_run\"") != std::string::npos);
  // A request whose own deadline comes first is not refused.
  fleet.controlServer("n1", {{"work_ms", 20}});
  quick.send(lookup(1'000));
  std::string answer = quick.readAll();
  INFO(answer);
  CHECK(answer.starts_with("HTTP/1.1 200"));
}
