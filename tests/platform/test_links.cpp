#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longer than the silence after which a link is closed.
constexpr milliseconds PauseTime{600};

enum class Path { Direct, Relayed };

/// Starts the store, an entry, n3, and its gates n1 and `others`. n1 may be
/// behind relays.
void startFleet(PlatformFleet &fleet, int maxAttempts, Path path,
                const std::vector<std::string> &others) {
  fleet.startStore();
  if (path == Path::Relayed)
    fleet.startRelayedNode("n1");
  else
    fleet.startNode("n1");
  fleet.startServer("n1");
  for (const std::string &it : others) {
    fleet.startNode(it);
    fleet.startServer(it);
  }
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

/// Starts the store and an entry, n3, whose only gate is n1. n1 is behind
/// relays.
void startPair(PlatformFleet &fleet, int maxAttempts) {
  startFleet(fleet, maxAttempts, Path::Relayed, {});
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

int runsAt(PlatformFleet &fleet, const std::string &node,
           const std::string &id) {
  return fleet.controlServer(node, json::object())["runs"].value(id, 0);
}

int runsOf(PlatformFleet &fleet, const std::string &id) {
  return runsAt(fleet, "n1", id);
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

/// True once a gate has reported a run to the entry as overdue.
bool isOverdue(PlatformFleet &fleet) {
  std::ifstream log(fleet.folder() + "/n3.err");
  std::string line;
  while (std::getline(log, line))
    if (json::parse(line, nullptr, false).value("event", "") == "overdue")
      return true;
  return false;
}

struct TimedReply {
  HttpReply Reply;
  /// From the disturbance to the reply.
  milliseconds Took{0};
};

/// Sends requests until one runs at n1, calls `disturb` then, and returns its
/// reply. Requests that run at n2 take no time.
template <typename Action>
TimedReply callDuring(PlatformFleet &fleet, const std::string &method,
                      Action disturb) {
  constexpr int workMs = 8'000;
  fleet.controlServer("n1", {{"work_ms", workMs}});
  std::string id;
  std::future<HttpReply> reply;
  TestFleet::await("a run at n1", [&] {
    id = "run-" + std::to_string(fleet::now().time_since_epoch().count());
    HttpCall call{method,
                  method == "GET" ? "/safe/x" : "/once/x",
                  {{"Host", "h.example"},
                   {"Attempt-Id", id},
                   {"Remaining-Milliseconds", "6000"}},
                  ""};
    reply = std::async(std::launch::async, [&fleet, call] {
      return callOnce(fleet.node("n3").Http, call, milliseconds(7'000));
    });
    while (reply.wait_for(milliseconds(5)) != std::future_status::ready)
      if (runsOf(fleet, id) == 1)
        return true;
    return false;
  });
  disturb();
  Instant begin = fleet::now();
  TimedReply seen{reply.get(), {}};
  seen.Took = std::chrono::duration_cast<milliseconds>(fleet::now() - begin);
  return seen;
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

// Guards against a second run of a lookup whose gate still has the first one.
TEST_CASE("a lookup with retries goes on where it runs after a lost link",
          "[lost-link]") {
  constexpr int workMs = 800;
  PlatformFleet fleet;
  startPair(fleet, 2);
  HttpReply reply = lookUpDuring(fleet, workMs, [&] {
    fleet.controlRelays("n1", {{"close", true}});
  });
  INFO(reply.Status << " " << reply.Body);
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
  CHECK(isOverdue(fleet));
  CHECK(runsOf(fleet, "slow") == 1);
}

// Guards against an entry that waits for a gate whose process is gone.
TEST_CASE("a lookup without retries is answered at once when its gate dies",
          "[lost-link-dead-gate]") {
  constexpr milliseconds limit{400};
  PlatformFleet fleet;
  startFleet(fleet, 1, Path::Direct, {});
  TimedReply seen =
      callDuring(fleet, "GET", [&] { fleet.process("n1").signal(SIGKILL); });
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << seen.Took.count() << " ms");
  CHECK(seen.Reply.Status == 502);
  CHECK(seen.Reply.problem("run") == "unknown");
  CHECK(seen.Took < limit);
}

// Guards against an entry that asks a dead process for the outcome of an order
// until the caller's time is over.
TEST_CASE("an order is answered at once when its gate dies",
          "[lost-link-order]") {
  constexpr milliseconds limit{400};
  PlatformFleet fleet;
  startFleet(fleet, 1, Path::Direct, {});
  TimedReply seen =
      callDuring(fleet, "POST", [&] { fleet.process("n1").signal(SIGKILL); });
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << seen.Took.count() << " ms");
  CHECK(seen.Reply.Status == 502);
  CHECK(seen.Reply.problem("run") == "unknown");
  CHECK(seen.Took < limit);
}

// Guards against a retry that starts only once the entry has stopped looking
// for a gate that is gone or cut off.
TEST_CASE("a lookup moves on at once when its gate is gone",
          "[lost-link-moves-on]") {
  // A link that is cut off is noticed after about half a second.
  constexpr milliseconds limit{900};
  bool isCut = GENERATE(false, true);
  PlatformFleet fleet;
  startFleet(fleet, 2, Path::Relayed, {"n2"});
  TimedReply seen = callDuring(fleet, "GET", [&] {
    if (isCut)
      fleet.controlRelays("n1", {{"freeze_in", true}, {"freeze_out", true}});
    else
      fleet.process("n1").signal(SIGKILL);
  });
  INFO("cut " << isCut << ": " << seen.Reply.Status << " " << seen.Reply.Body
              << " after " << seen.Took.count() << " ms");
  CHECK(seen.Reply.Status == 200);
  CHECK(seen.Reply.Body == "i-n2:");
  CHECK(seen.Took < limit);
}

// Guards against an entry that looks for a gate that is cut off until the
// caller's time is over.
TEST_CASE("a lookup without retries does not wait long for a gate cut off",
          "[lost-link-cut]") {
  constexpr milliseconds limit{2'000};
  PlatformFleet fleet;
  startPair(fleet, 1);
  TimedReply seen = callDuring(fleet, "GET", [&] {
    fleet.controlRelays("n1", {{"freeze_in", true}, {"freeze_out", true}});
  });
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << seen.Took.count() << " ms");
  CHECK(seen.Reply.Status == 502);
  CHECK(seen.Reply.problem("run") == "unknown");
  CHECK(seen.Took < limit);
}

// Guards against slots that an overdue run keeps after its entry has died.
TEST_CASE("an overdue run ends once its entry has died",
          "[lost-link-dead-entry]") {
  constexpr int usualMs = 300;
  constexpr milliseconds untilOverdue{2'000};
  constexpr int limitMs = 2'500;
  PlatformFleet fleet;
  fleet.setRootDefaults(
      {{"health", "completion_odds"}, {"stall_after_ms", 500}});
  startPair(fleet, 1);
  fleet.controlServer("n1", {{"work_ms", usualMs}});
  for (int i = 0; i < 8; ++i)
    REQUIRE(lookUp(fleet, "usual").Status == 200);
  auto busy = [&] {
    return fleet.statusOf("n1")["own_endpoints"][0]["busy"].get<int>();
  };
  callDuring(fleet, "GET", [&] {
    std::this_thread::sleep_for(untilOverdue);
    REQUIRE(busy() == 1);
    REQUIRE(isOverdue(fleet));
    fleet.process("n3").signal(SIGKILL);
  });
  TestFleet::await(
      "the slot is free", [&] { return busy() == 0; }, limitMs);
}

// Guards against answers that are lost, or runs that are made again, when a
// link is lost while its streams are being taken up again.
TEST_CASE("lookups without retries survive a link that is lost repeatedly",
          "[lost-link-flapping]") {
  constexpr int workMs = 500;
  constexpr int lookUps = 20;
  constexpr int losses = 12;
  constexpr milliseconds period{70};
  PlatformFleet fleet;
  startPair(fleet, 1);
  fleet.controlServer("n1", {{"work_ms", workMs}, {"slots", lookUps}});
  TestFleet::await("slots", [&] {
    return fleet.statusOf("n1")["own_endpoints"][0]["slots"] == lookUps;
  });
  std::vector<std::future<HttpReply>> replies;
  for (int i = 0; i < lookUps; ++i)
    replies.push_back(std::async(std::launch::async, [&fleet, i] {
      return lookUp(fleet, "flap-" + std::to_string(i));
    }));
  TestFleet::await("the runs", [&] {
    return fleet.statusOf("n1")["own_endpoints"][0]["busy"] == lookUps;
  });
  for (int i = 0; i < losses; ++i) {
    fleet.controlRelays("n1", {{"close", true}});
    std::this_thread::sleep_for(period);
  }
  for (int i = 0; i < lookUps; ++i) {
    HttpReply reply = replies[i].get();
    INFO(i << ": " << reply.Status << " " << reply.Body);
    CHECK(reply.Status == 200);
    CHECK(runsOf(fleet, "flap-" + std::to_string(i)) == 1);
  }
}
