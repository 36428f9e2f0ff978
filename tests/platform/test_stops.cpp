#include "platform/platformfleet.h"
#include "process/testfleet.h"

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
