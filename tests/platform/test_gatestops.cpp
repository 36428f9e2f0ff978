#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds GracePeriod{6'000};
constexpr int CallerMs = 14'000;

/// Starts the given gates with a server each and an entry, n3, all with a grace
/// period of 6 s.
void startFleet(PlatformFleet &fleet, const std::vector<std::string> &gates,
                int maxAttempts) {
  fleet.setPlatformBounds({{"grace_period_s", 6}});
  fleet.setNodeSettings({{"linger_ms", 2'500}});
  fleet.startStore();
  for (const std::string &it : gates) {
    fleet.startNode(it);
    fleet.startServer(it);
  }
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  for (json &rule : config["listeners"][0]["route_rules"]) {
    rule["target_latency_s"] = 6;
    rule["action"]["timeout_s"] = 20;
    rule["action"]["max_attempts"] = maxAttempts;
  }
  fleet.configure(config);
  fleet.awaitServing();
}

struct Outcome {
  HttpReply Reply;
  /// When the caller had the reply.
  Instant At;
};

std::future<Outcome> send(PlatformFleet &fleet, const std::string &id,
                          const std::string &method = "GET") {
  HttpCall call{method,
                method == "GET" ? "/safe/x" : "/once/x",
                {{"Host", "h.example"},
                 {"Attempt-Id", id},
                 {"Remaining-Milliseconds", std::to_string(CallerMs)}},
                ""};
  return std::async(std::launch::async, [&fleet, call] {
    HttpReply reply =
        callOnce(fleet.node("n3").Http, call, milliseconds(CallerMs + 1'000));
    return Outcome{std::move(reply), fleet::now()};
  });
}

int runsAt(PlatformFleet &fleet, const std::string &node,
           const std::string &id) {
  json seen = fleet.controlServer(node, json::object());
  return seen.is_object() ? seen["runs"].value(id, 0) : 0;
}

void setWork(PlatformFleet &fleet, const std::vector<std::string> &gates,
             int workMs) {
  for (const std::string &it : gates)
    fleet.controlServer(it, {{"work_ms", workMs}});
}

/// Lets the entry learn how long a run usually takes.
void sendUsual(PlatformFleet &fleet, int count) {
  for (int i = 0; i < count; ++i)
    REQUIRE(send(fleet, "usual-" + std::to_string(i)).get().Reply.Status ==
            200);
}

/// Starts a run of the given length and returns the gate that has it.
std::string startRun(PlatformFleet &fleet,
                     const std::vector<std::string> &gates, int workMs,
                     const std::string &method, std::future<Outcome> &outcome) {
  setWork(fleet, gates, workMs);
  outcome = send(fleet, "slow", method);
  std::string at;
  TestFleet::await("the run", [&] {
    for (const std::string &it : gates)
      if (runsAt(fleet, it, "slow") == 1)
        at = it;
    return !at.empty();
  });
  return at;
}

/// Sends SIGTERM now and SIGKILL at the end of the grace period.
std::future<void> stopNode(PlatformFleet &fleet, const std::string &node) {
  Instant begin = fleet::now();
  fleet.process(node).signal(SIGTERM);
  return std::async(std::launch::async, [&fleet, node, begin] {
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  (GracePeriod - (fleet::now() - begin)));
    fleet.process(node).signal(SIGKILL);
  });
}

constexpr int UsualMs = 400;

/// A lookup that takes longer than the grace period at one of two gates.
struct OutlastingRun {
  std::string First;
  std::string Second;
  std::future<Outcome> Reply;
};

/// Starts the gates n1 and n2 and, after usual lookups, the long one.
OutlastingRun startOutlastingRun(PlatformFleet &fleet) {
  constexpr int workMs = 9'000;
  startFleet(fleet, {"n1", "n2"}, 2);
  setWork(fleet, {"n1", "n2"}, UsualMs);
  sendUsual(fleet, 12);
  OutlastingRun run;
  run.First = startRun(fleet, {"n1", "n2"}, workMs, "GET", run.Reply);
  run.Second = run.First == "n1" ? "n2" : "n1";
  setWork(fleet, {run.Second}, UsualMs);
  return run;
}

} // namespace

// Guards against a gate that ends while it could still pass on an answer to
// another node's request.
TEST_CASE("a run within the grace period of its gate is answered",
          "[gate-stop]") {
  constexpr int workMs = 5'500;
  int maxAttempts = GENERATE(1, 2);
  bool isEntryStopped = GENERATE(false, true);
  PlatformFleet fleet;
  startFleet(fleet, {"n1"}, maxAttempts);
  std::future<Outcome> outcome;
  startRun(fleet, {"n1"}, workMs, "GET", outcome);
  auto gate = stopNode(fleet, "n1");
  std::this_thread::sleep_for(milliseconds(1'000));
  std::future<void> entry;
  if (isEntryStopped)
    entry = stopNode(fleet, "n3");
  HttpReply reply = outcome.get().Reply;
  INFO("attempts " << maxAttempts << ", entry stopped " << isEntryStopped
                   << ": " << reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(runsAt(fleet, "n1", "slow") == 1);
}

// Guards against a lookup that is sent elsewhere only once its gate has ended,
// when its entry has no time left for that.
TEST_CASE("a run that outlasts its gate is replaced before the gate ends",
          "[gate-stop-replaced]") {
  milliseconds gap{GENERATE(0, 300)};
  PlatformFleet fleet;
  OutlastingRun run = startOutlastingRun(fleet);
  Instant stoppedAt = fleet::now();
  auto gate = stopNode(fleet, run.First);
  std::this_thread::sleep_for(gap);
  auto entry = stopNode(fleet, "n3");
  Outcome seen = run.Reply.get();
  INFO("gap " << gap.count() << " ms: " << seen.Reply.Status << " "
              << seen.Reply.Body << " after " << (seen.At - stoppedAt).count()
              << " us");
  CHECK(seen.Reply.Status == 200);
  CHECK(seen.Reply.Body == "i-" + run.Second + ":");
  CHECK(seen.At - stoppedAt < GracePeriod - milliseconds(300));
  CHECK(runsAt(fleet, run.Second, "slow") == 1);
}

// Guards against a lookup that is lost with its gate since the only other gate
// has refused it once.
TEST_CASE("a gate that refused a run is asked again before its gate ends",
          "[gate-stop-refused]") {
  constexpr milliseconds gap{700};
  PlatformFleet fleet;
  OutlastingRun run = startOutlastingRun(fleet);
  fleet.controlServer(run.Second, {{"fault", "shed"}});
  auto gate = stopNode(fleet, run.First);
  std::this_thread::sleep_for(gap);
  auto entry = stopNode(fleet, "n3");
  TestFleet::await("the refusal", [&] {
    json seen = fleet.controlServer(run.Second, json::object());
    return seen.is_object() && seen["refusals"].contains("slow");
  });
  fleet.controlServer(run.Second, {{"fault", ""}});
  HttpReply reply = run.Reply.get().Reply;
  INFO(reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(reply.Body == "i-" + run.Second + ":");
}

// Guards against repeats before the end of a gate that leave no attempt for the
// time after it.
TEST_CASE("a gate that refuses a run until its gate ends is asked after that",
          "[gate-stop-refused]") {
  // The gate aborts the run after 5.6 s and reports it for a second before.
  constexpr milliseconds untilLastReports{5'450};
  PlatformFleet fleet;
  OutlastingRun run = startOutlastingRun(fleet);
  fleet.controlServer(run.Second, {{"fault", "shed"}});
  auto gate = stopNode(fleet, run.First);
  std::this_thread::sleep_for(untilLastReports);
  fleet.controlServer(run.Second, {{"fault", ""}});
  HttpReply reply = run.Reply.get().Reply;
  INFO(reply.Status << " " << reply.Body);
  CHECK(reply.Status == 200);
  CHECK(reply.Body == "i-" + run.Second + ":");
}

// Guards against an entry that asks a gate that has ended for the outcome of an
// order until the caller's time is over.
TEST_CASE("an order that outlasts its gate is answered as the gate ends",
          "[gate-stop-order]") {
  constexpr int workMs = 9'000;
  PlatformFleet fleet;
  startFleet(fleet, {"n1"}, 2);
  std::future<Outcome> outcome;
  startRun(fleet, {"n1"}, workMs, "POST", outcome);
  Instant stoppedAt = fleet::now();
  auto gate = stopNode(fleet, "n1");
  Outcome seen = outcome.get();
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << (seen.At - stoppedAt).count() << " us");
  CHECK(seen.Reply.Status == 502);
  CHECK(seen.Reply.problem("run") == "unknown");
  CHECK(seen.At - stoppedAt < GracePeriod + milliseconds(200));
}

// Guards against a gate that ends once it has an answer, before it has sent all
// of it to the entry.
TEST_CASE("a long answer arrives whole although its gate stops",
          "[gate-stop-answer]") {
  constexpr int workMs = 1'000;
  constexpr std::size_t bodyBytes = 8'000'000;
  constexpr double bytesPerSecond = 4e6;
  PlatformFleet fleet;
  fleet.setNodeSettings({{"linger_ms", 500}});
  fleet.setPlatformBounds({{"grace_period_s", 6}});
  fleet.startStore();
  fleet.startRelayedNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  config["limits"]["body_bytes"] = 2 * bodyBytes;
  for (json &rule : config["listeners"][0]["route_rules"])
    rule["action"]["timeout_s"] = 10;
  fleet.configure(config);
  fleet.awaitServing();
  setWork(fleet, {"n1"}, workMs);
  std::string body(bodyBytes, 'a');
  HttpCall call{"POST",
                "/once/x",
                {{"Host", "h.example"},
                 {"Attempt-Id", "long"},
                 {"Remaining-Milliseconds", "9000"}},
                body};
  auto pending = std::async(std::launch::async, [&] {
    return callOnce(fleet.node("n3").Http, call, milliseconds(10'000));
  });
  TestFleet::await("the run", [&] { return runsAt(fleet, "n1", "long") == 1; });
  fleet.controlRelays("n1", {{"bytes_per_s", bytesPerSecond}});
  auto gate = stopNode(fleet, "n1");
  HttpReply reply = pending.get();
  INFO(reply.Status << " " << reply.Body.substr(0, 200));
  CHECK(reply.Status == 200);
  bool isWhole = reply.Body == "i-n1:" + body;
  CHECK(isWhole);
  gate.get();
  CHECK(fleet.process("n1").wait() == 0);
}

// Guards against an upload that holds the memory of its gate, and each of its
// stops, after its entry has died.
TEST_CASE("an upload whose entry dies leaves nothing at its gate",
          "[gate-stop-upload]") {
  constexpr std::size_t bodyBytes = 4'000'000;
  constexpr double bytesPerSecond = 2.5e6;
  PlatformFleet fleet;
  fleet.setNodeSettings({{"linger_ms", 500}});
  fleet.setPlatformBounds({{"grace_period_s", 6}});
  fleet.startStore();
  fleet.startRelayedNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  config["limits"]["body_bytes"] = 2 * bodyBytes;
  fleet.configure(config);
  fleet.awaitServing();
  fleet.controlRelays("n1", {{"bytes_per_s", bytesPerSecond}});
  HttpCall call{"POST",
                "/once/x",
                {{"Host", "h.example"},
                 {"Attempt-Id", "upload"},
                 {"Remaining-Milliseconds", "2000"}},
                std::string(bodyBytes, 'a')};
  auto pending = std::async(std::launch::async, [&] {
    return callOnce(fleet.node("n3").Http, call, milliseconds(3'000));
  });
  std::this_thread::sleep_for(milliseconds(300));
  fleet.process("n3").signal(SIGKILL);
  pending.get();
  fleet.controlRelays("n1", {{"bytes_per_s", 0}, {"close", true}});
  std::this_thread::sleep_for(milliseconds(1'000));
  Instant stoppedAt = fleet::now();
  fleet.process("n1").signal(SIGTERM);
  CHECK(fleet.process("n1").wait() == 0);
  CHECK(fleet::now() - stoppedAt < milliseconds(2'000));
}

// Guards against an order of unknown outcome that its gate has never started,
// since the two have crossed as the gate ended.
TEST_CASE("an order that reaches a gate as it ends is known not to have run",
          "[gate-stop-crossing]") {
  constexpr int lingerMs = 50;
  constexpr int delayMs = 150;
  constexpr milliseconds stopAt{20};
  constexpr milliseconds promptly{1'000};
  PlatformFleet fleet;
  fleet.setNodeSettings({{"linger_ms", lingerMs}});
  fleet.startStore();
  fleet.startRelayedNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  for (int i = 0; i < 3; ++i)
    REQUIRE(fleet.call("n3", "GET", "/safe/x").Status == 200);
  // A node with a new connection of a caller ends later.
  std::this_thread::sleep_for(milliseconds(300));
  fleet.controlRelays("n1", {{"delay_ms", delayMs}});
  Instant sentAt = fleet::now();
  std::future<Outcome> outcome = send(fleet, "crossing", "POST");
  std::this_thread::sleep_for(stopAt);
  fleet.process("n1").signal(SIGTERM);
  Outcome seen = outcome.get();
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << (seen.At - sentAt).count() << " us");
  CHECK(seen.Reply.Status == 503);
  CHECK(seen.Reply.problem("run") == "not_run");
  CHECK(seen.At - sentAt < promptly);
  CHECK(runsAt(fleet, "n1", "crossing") == 0);
}

// Guards against an entry that keeps its caller waiting, until it ends itself,
// for another gate although the service has none.
TEST_CASE("a lookup whose only gate has ended is answered at once",
          "[gate-stop-alone]") {
  constexpr int workMs = 9'000;
  PlatformFleet fleet;
  startFleet(fleet, {"n1"}, 2);
  std::future<Outcome> outcome;
  startRun(fleet, {"n1"}, workMs, "GET", outcome);
  Instant stoppedAt = fleet::now();
  auto gate = stopNode(fleet, "n1");
  std::this_thread::sleep_for(milliseconds(4'000));
  auto entry = stopNode(fleet, "n3");
  Outcome seen = outcome.get();
  INFO(seen.Reply.Status << " " << seen.Reply.Body << " after "
                         << (seen.At - stoppedAt).count() << " us");
  CHECK(seen.Reply.Status == 502);
  CHECK(seen.At - stoppedAt < GracePeriod + milliseconds(500));
}
