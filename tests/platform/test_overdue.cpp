#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <tuple>
#include <utility>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int UsualMs = 250;
constexpr int SlowMs = 1'750;
/// Time of the caller: enough for the slow run, but not for a second slow run
/// that begins when the first one is overdue.
constexpr int CallerMs = 2'100;

/// A stopped node must lose no answer for this long after its SIGTERM, which
/// covers the next process on its VM.
constexpr milliseconds StopWindow{7'000};

json withLongLimits(json config) {
  for (json &rule : config["listeners"][0]["route_rules"]) {
    rule["target_latency_s"] = 2;
    rule["action"]["timeout_s"] = 4;
  }
  return config;
}

HttpReply send(PlatformFleet &fleet, const std::string &id,
               const std::string &method, const std::string &target) {
  HttpCall call{method,
                target,
                {{"Host", "h.example"},
                 {"Attempt-Id", id},
                 {"Remaining-Milliseconds", std::to_string(CallerMs)}},
                ""};
  return callOnce(fleet.node("n3").Http, call, milliseconds(4'000));
}

int runsAt(PlatformFleet &fleet, const std::string &node,
           const std::string &id) {
  json seen = fleet.controlServer(node, json::object());
  return seen.is_object() ? seen["runs"].value(id, 0) : 0;
}

int runsOf(PlatformFleet &fleet, const std::string &id) {
  return runsAt(fleet, "n1", id) + runsAt(fleet, "n2", id);
}

void controlBoth(PlatformFleet &fleet, const json &change) {
  for (const char *node : {"n1", "n2"})
    fleet.controlServer(node, change);
}

void sendUsual(PlatformFleet &fleet, const std::string &prefix, int count) {
  for (int i = 0; i < count; ++i)
    REQUIRE(send(fleet, prefix + std::to_string(i), "GET", "/safe/x").Status ==
            200);
}

/// Starts servers beside n1 and n2, and an entry n3 that was stopped and
/// started again. Returns when it got SIGTERM.
Instant startYoungEntry(PlatformFleet &fleet, json defaults = json::object()) {
  defaults.update({{"health", "completion_odds"}, {"stall_after_ms", 500}});
  fleet.setNodeSettings({{"linger_ms", 100}});
  fleet.setRootDefaults(defaults);
  fleet.startDefault();
  fleet.configure(withLongLimits(defaultConfig(2)));
  TestFleet::await("the new limits", [&] {
    return fleet.settingsOf("n3") >= fleet.settingsOf("n1") &&
           fleet.settingsOf("n3") > 1;
  });
  controlBoth(fleet, {{"work_ms", UsualMs}});
  sendUsual(fleet, "before-", 8);
  Instant stoppedAt = fleet::now();
  fleet.process("n3").signal(SIGTERM);
  REQUIRE(fleet.process("n3").wait() == 0);
  fleet.startNode("n3", "t");
  TestFleet::await("the next process", [&] {
    return fleet.readiness("n3") == 200 &&
           fleet.call("n3", "GET", "/safe/x").Status == 200;
  });
  sendUsual(fleet, "after-", 3);
  return stoppedAt;
}

struct Outcome {
  HttpReply Reply;
  Micros Time{};
  std::string First;
  std::string Second;
};

/// Sends a request that both servers would treat as the first change says, and
/// applies the second change to the server that did not get it.
Outcome sendToBoth(PlatformFleet &fleet, Instant stoppedAt,
                   const std::string &method, const std::string &target,
                   const json &first, const json &second) {
  controlBoth(fleet, first);
  Outcome outcome;
  Instant sentAt = fleet::now();
  REQUIRE(sentAt - stoppedAt < StopWindow);
  auto reply = std::async(std::launch::async, [&] {
    HttpReply it = send(fleet, "slow", method, target);
    return std::pair(std::move(it), fleet::now() - sentAt);
  });
  TestFleet::await("the first run", [&] { return runsOf(fleet, "slow") == 1; });
  bool isAtFirst = runsAt(fleet, "n1", "slow") == 1;
  outcome.First = isAtFirst ? "n1" : "n2";
  outcome.Second = isAtFirst ? "n2" : "n1";
  fleet.controlServer(outcome.Second, second);
  std::tie(outcome.Reply, outcome.Time) = reply.get();
  return outcome;
}

/// Requires the answer of the server that ran the lookup first.
void checkFirstAnswers(PlatformFleet &fleet, Instant stoppedAt,
                       const json &second) {
  Outcome outcome = sendToBoth(fleet, stoppedAt, "GET", "/safe/x",
                               {{"work_ms", SlowMs}}, second);
  INFO(outcome.Reply.Status << " after " << outcome.Time.count()
                            << " us: " << outcome.Reply.Body);
  CHECK(outcome.Reply.Status == 200);
  CHECK(outcome.Reply.Body == "i-" + outcome.First + ":");
  CHECK(outcome.Time < milliseconds(CallerMs));
  CHECK(runsAt(fleet, outcome.First, "slow") == 1);
  CHECK(runsOf(fleet, "slow") <= 2);
}

} // namespace

// Guards against an overdue run that is cut although the other gate refuses
// repeats.
TEST_CASE("an overdue lookup is answered although another gate refuses it",
          "[overdue-refused]") {
  PlatformFleet fleet;
  Instant stoppedAt = startYoungEntry(
      fleet, {{"retry_budget_percent", 0}, {"retry_allowance", 0}});
  checkFirstAnswers(fleet, stoppedAt, {{"work_ms", UsualMs}});
}

// Guards against an overdue run that is cut for one that then fails.
TEST_CASE("an overdue lookup is answered although another server resets it",
          "[overdue-reset]") {
  PlatformFleet fleet;
  Instant stoppedAt = startYoungEntry(fleet);
  checkFirstAnswers(fleet, stoppedAt,
                    {{"work_ms", UsualMs}, {"fault", "reset"}});
}

// Guards against an overdue run that is cut for one that takes as long.
TEST_CASE("an overdue lookup is answered although another server is as slow",
          "[overdue-slow]") {
  PlatformFleet fleet;
  Instant stoppedAt = startYoungEntry(fleet);
  checkFirstAnswers(fleet, stoppedAt, {{"work_ms", SlowMs}});
}

// Guards against lookups that stay at a server that hangs, or keep its slots.
TEST_CASE("a lookup at a server that hangs is answered by another server",
          "[overdue-replaced]") {
  PlatformFleet fleet;
  Instant stoppedAt = startYoungEntry(fleet);
  Outcome outcome = sendToBoth(fleet, stoppedAt, "GET", "/safe/x",
                               {{"work_ms", 0}, {"fault", "hang"}},
                               {{"work_ms", UsualMs}, {"fault", ""}});
  INFO(outcome.Reply.Status << " after " << outcome.Time.count()
                            << " us: " << outcome.Reply.Body);
  CHECK(outcome.Reply.Status == 200);
  CHECK(outcome.Reply.Body == "i-" + outcome.Second + ":");
  CHECK(outcome.Time < milliseconds(SlowMs));
  TestFleet::await("the end of the run that hangs", [&] {
    return fleet.controlServer(outcome.First, json::object())["cut"] == 1;
  });
  CHECK(runsAt(fleet, outcome.First, "slow") == 1);
  CHECK(runsAt(fleet, outcome.Second, "slow") == 1);
}

// Guards against overdue orders that are cut or run again.
TEST_CASE("an overdue order runs once to its end", "[overdue-order]") {
  PlatformFleet fleet;
  Instant stoppedAt = startYoungEntry(fleet);
  Outcome outcome = sendToBoth(fleet, stoppedAt, "POST", "/once/x",
                               {{"work_ms", SlowMs}}, {{"work_ms", UsualMs}});
  INFO(outcome.Reply.Status << " after " << outcome.Time.count()
                            << " us: " << outcome.Reply.Body);
  CHECK(outcome.Reply.Status == 200);
  CHECK(outcome.Reply.Body == "i-" + outcome.First + ":");
  CHECK(runsOf(fleet, "slow") == 1);
}
