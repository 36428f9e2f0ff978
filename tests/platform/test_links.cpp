#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longer than the silence after which a link is closed.
constexpr milliseconds PauseTime{600};

/// Starts the store and an entry, n3, whose only gate is n1. n1 is behind
/// relays.
void startPair(PlatformFleet &fleet, int maxAttempts) {
  fleet.startStore();
  fleet.startRelayedNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  for (json &rule : config["listeners"][0]["route_rules"]) {
    rule["target_latency_s"] = 3;
    rule["action"]["timeout_s"] = 8;
    rule["action"]["max_attempts"] = maxAttempts;
  }
  fleet.configure(config);
  fleet.awaitServing();
}

HttpReply lookUp(PlatformFleet &fleet, const std::string &id,
                 milliseconds patience = milliseconds(5'000)) {
  HttpCall call{"GET",
                "/safe/x",
                {{"Host", "h.example"},
                 {"Attempt-Id", id},
                 {"Remaining-Milliseconds", "4000"}},
                ""};
  return callOnce(fleet.node("n3").Http, call, patience);
}

int runsOf(PlatformFleet &fleet, const std::string &id) {
  return fleet.controlServer("n1", json::object())["runs"].value(id, 0);
}

/// Sends a lookup of the given work time and returns its reply. Calls `disturb`
/// once the server is at work on it.
template <typename Action>
HttpReply lookUpDuring(PlatformFleet &fleet, int workMs, Action disturb) {
  fleet.controlServer("n1", {{"work_ms", workMs}});
  REQUIRE(lookUp(fleet, "usual").Status == 200);
  std::future<HttpReply> reply = std::async(
      std::launch::async, [&] { return lookUp(fleet, "disturbed"); });
  TestFleet::await("a run", [&] { return runsOf(fleet, "disturbed") == 1; });
  disturb();
  return reply.get();
}

void pause(PlatformFleet &fleet, const std::string &node) {
  fleet.process(node).signal(SIGSTOP);
  std::this_thread::sleep_for(PauseTime);
  fleet.process(node).signal(SIGCONT);
}

} // namespace

// Guards against an entry that takes its own pause for the silence of a gate
// and gives up runs whose answers are about to arrive.
TEST_CASE("a run goes on while its entry is paused", "[paused-entry]") {
  int workMs = GENERATE(400, 1'100);
  int maxAttempts = GENERATE(1, 2);
  PlatformFleet fleet;
  startPair(fleet, maxAttempts);
  HttpReply reply = lookUpDuring(fleet, workMs, [&] { pause(fleet, "n3"); });
  INFO("work " << workMs << " ms, attempts " << maxAttempts << ": "
               << reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(runsOf(fleet, "disturbed") == 1);
}

// Guards against the entry's own error for a lookup that may not run again
// although its gate has the answer, or is about to have it.
TEST_CASE("a lookup without retries survives the loss of its link",
          "[lost-link]") {
  constexpr int workMs = 1'100;
  bool isPaused = GENERATE(false, true);
  PlatformFleet fleet;
  startPair(fleet, 1);
  HttpReply reply = lookUpDuring(fleet, workMs, [&] {
    if (isPaused)
      pause(fleet, "n1");
    else
      fleet.controlRelays("n1", {{"close", true}});
  });
  INFO("paused " << isPaused << ": " << reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(runsOf(fleet, "disturbed") == 1);
}

// Guards against slots that a run keeps after its entry has asked for its
// outcome over a new link and the caller has left.
TEST_CASE("a run whose link was lost ends once its caller leaves",
          "[lost-link]") {
  constexpr int workMs = 3'000;
  constexpr milliseconds patience{1'200};
  constexpr milliseconds limit{500};
  PlatformFleet fleet;
  startPair(fleet, 1);
  fleet.controlServer("n1", {{"work_ms", workMs}});
  std::future<HttpReply> reply = std::async(
      std::launch::async, [&] { return lookUp(fleet, "left", patience); });
  TestFleet::await("a run", [&] { return runsOf(fleet, "left") == 1; });
  fleet.controlRelays("n1", {{"close", true}});
  CHECK(reply.get().Status == 0);
  std::this_thread::sleep_for(limit);
  CHECK(fleet.statusOf("n1")["own_endpoints"][0]["busy"] == 0);
}

// Guards against a gate that ends an overdue run because the first link is lost
// although the entry waits for it over a new one.
TEST_CASE("an overdue run goes on while its entry asks for its outcome",
          "[lost-link]") {
  constexpr int usualMs = 300;
  constexpr int workMs = 2'600;
  PlatformFleet fleet;
  fleet.setRootDefaults(
      {{"health", "completion_odds"}, {"stall_after_ms", 500}});
  startPair(fleet, 1);
  fleet.controlServer("n1", {{"work_ms", usualMs}});
  for (int i = 0; i < 8; ++i)
    REQUIRE(lookUp(fleet, "usual").Status == 200);
  fleet.controlServer("n1", {{"work_ms", workMs}});
  std::future<HttpReply> pending =
      std::async(std::launch::async, [&] { return lookUp(fleet, "slow"); });
  TestFleet::await("a run", [&] { return runsOf(fleet, "slow") == 1; });
  fleet.controlRelays("n1", {{"close", true}});
  HttpReply reply = pending.get();
  INFO(reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(runsOf(fleet, "slow") == 1);
}
