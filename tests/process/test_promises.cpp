#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Starts three nodes. Only n2 and n3 have endpoints, so that requests sent to
/// n1 are forwarded.
void startThreeNodes(TestFleet &fleet, bool hasRelays = false) {
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node, hasRelays);
  fleet.startEndpoint("e2", "n2");
  fleet.startEndpoint("e3", "n3");
  fleet.publishDefaults();
  fleet.awaitReady();
}

HttpCall keyedWork(const std::string &key, const std::string &tag,
                   int workMs = 25) {
  HttpCall call = taggedWork(tag, workMs);
  call.Headers.push_back({"Idempotency-Key", key});
  return call;
}

/// Checks that the outcome reported to the caller matches the number of runs.
void checkOutcome(TestFleet &fleet, const std::string &tag,
                  const HttpReply &reply) {
  int runs = fleet.countRuns(tag);
  INFO("tag " << tag << " status " << reply.Status << " " << reply.Body);
  CHECK(runs <= 1);
  if (reply.problem("run") == "not_run")
    CHECK(runs == 0);
  if (reply.Status == 200)
    CHECK(runs == 1);
}

void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

} // namespace

TEST_CASE("requests at a killed gate are reported as unknown, never not_run",
          "[kill]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  std::vector<HttpReply> replies(6);
  std::vector<std::jthread> callers;
  for (int i = 0; i < 6; ++i)
    callers.emplace_back([&, i] {
      replies[i] =
          fleet.call("n1", taggedWork("kill" + std::to_string(i), 800), 4'000);
    });
  fleet.await("work in progress", [&] {
    return fleet.controlEndpoint("e2", json::object())["running"] == 3;
  });
  fleet.process("n2").signal(SIGKILL);
  for (std::jthread &it : callers)
    it.join();
  int unknown = 0;
  for (int i = 0; i < 6; ++i) {
    checkOutcome(fleet, "kill" + std::to_string(i), replies[i]);
    unknown += replies[i].problem("run") == "unknown";
  }
  CHECK(unknown >= 3);
}

TEST_CASE("outcomes are correct after a gate was paused while work ran",
          "[pause]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  std::vector<HttpReply> replies(6);
  std::vector<std::jthread> callers;
  for (int i = 0; i < 6; ++i)
    callers.emplace_back([&, i] {
      replies[i] =
          fleet.call("n1", taggedWork("pause" + std::to_string(i), 300), 2'500);
    });
  fleet.await("work in progress", [&] {
    return fleet.controlEndpoint("e2", json::object())["running"] == 3;
  });
  fleet.process("n2").signal(SIGSTOP);
  HttpReply meanwhile = fleet.call("n1", {"GET", "/", {}, ""}, 4'000);
  CHECK(meanwhile.Status == 200);
  for (std::jthread &it : callers)
    it.join();
  fleet.process("n2").signal(SIGCONT);
  sleepMs(1'500);
  for (int i = 0; i < 6; ++i)
    checkOutcome(fleet, "pause" + std::to_string(i), replies[i]);
}

TEST_CASE("requests succeed when open connections go silent", "[silent]") {
  TestFleet fleet;
  startThreeNodes(fleet, true);
  for (int i = 0; i < 6; ++i)
    REQUIRE(fleet.call("n1", {"GET", "/", {}, ""}).Status == 200);
  fleet.controlRelay("n2", {{"silence", true}});
  fleet.controlRelay("n3", {{"silence", true}});
  for (int i = 0; i < 6; ++i) {
    std::string tag = "silent" + std::to_string(i);
    HttpReply reply = fleet.call("n1", taggedWork(tag), 4'000);
    CHECK(reply.Status == 200);
    checkOutcome(fleet, tag, reply);
  }
}

TEST_CASE("outcomes are correct while a link is frozen in one direction",
          "[one-way]") {
  TestFleet fleet;
  startThreeNodes(fleet, true);
  for (const char *direction : {"freeze_in", "freeze_out"}) {
    std::vector<HttpReply> replies(4);
    std::vector<std::jthread> callers;
    fleet.controlRelay("n2", {{direction, true}});
    for (int i = 0; i < 4; ++i)
      callers.emplace_back([&, i] {
        std::string tag = direction + std::to_string(i);
        replies[i] = fleet.call("n1", taggedWork(tag, 50), 3'000);
      });
    for (std::jthread &it : callers)
      it.join();
    fleet.controlRelay("n2", {{direction, false}});
    sleepMs(1'000);
    for (int i = 0; i < 4; ++i)
      checkOutcome(fleet, direction + std::to_string(i), replies[i]);
  }
}

TEST_CASE("an answer reaches a disconnected entry through a third node",
          "[third]") {
  TestFleet fleet;
  fleet.startLog();
  fleet.startNode("origin");
  fleet.startNode("gate", true);
  fleet.startNode("helper");
  fleet.startEndpoint("e", "gate");
  fleet.publishDefaults();
  fleet.awaitReady();
  REQUIRE(fleet.call("origin", {"GET", "/", {}, ""}).Status == 200);
  REQUIRE(fleet.call("helper", {"GET", "/", {}, ""}).Status == 200);
  HttpReply reply;
  std::jthread caller(
      [&] { reply = fleet.call("origin", taggedWork("third", 1'200), 4'000); });
  sleepMs(300);
  fleet.controlRelay("gate", {{"cut_node", "origin"}});
  caller.join();
  CHECK(reply.Status == 200);
  CHECK(fleet.countRuns("third") == 1);
}

TEST_CASE("a repeated key gets the answer of its first run at any entry",
          "[keys]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  HttpReply first = fleet.call("n1", keyedWork("k1", "key1"));
  REQUIRE(first.Status == 200);
  for (const char *node : {"n2", "n3", "n1"}) {
    HttpReply again = fleet.call(node, keyedWork("k1", "key1"));
    CHECK(again.Status == 200);
    CHECK(again.Body == first.Body);
    CHECK(again.header("Idempotent-Replayed") == "true");
  }
  CHECK(fleet.countRuns("key1") == 1);

  std::vector<HttpReply> replies(6);
  std::vector<std::jthread> callers;
  for (int i = 0; i < 6; ++i)
    callers.emplace_back([&, i] {
      replies[i] = fleet.call("n" + std::to_string(1 + i % 3),
                              keyedWork("k2", "key2", 300), 4'000);
    });
  for (std::jthread &it : callers)
    it.join();
  for (const HttpReply &it : replies)
    CHECK(it.Status == 200);
  CHECK(fleet.countRuns("key2") == 1);

  HttpCall other = keyedWork("k1", "key1");
  other.Body = "something else";
  CHECK(fleet.call("n2", other).problem("kind") == "key_reused");
}

TEST_CASE("keys survive the loss of a keeper", "[keys]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  for (int i = 0; i < 8; ++i) {
    std::string id = std::to_string(i);
    REQUIRE(fleet.call("n1", keyedWork("lost" + id, "lost" + id)).Status ==
            200);
  }
  fleet.process("n2").signal(SIGKILL);
  fleet.process("n2").wait();
  fleet.await(
      "eviction of the killed keeper",
      [&] { return fleet.status("n1")["keepers"].size() == 2; }, 60'000);
  for (int i = 0; i < 8; ++i) {
    std::string id = std::to_string(i);
    HttpReply again = fleet.call("n3", keyedWork("lost" + id, "lost" + id));
    CHECK(again.Status == 200);
    CHECK(again.header("Idempotent-Replayed") == "true");
    CHECK(fleet.countRuns("lost" + id) <= 1);
  }
}

TEST_CASE("no key runs twice while the log is down and a keeper paused",
          "[keys]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  HttpReply first = fleet.call("n1", keyedWork("away", "away"));
  REQUIRE(first.Status == 200);
  fleet.controlLog({{"mode", "refuse"}});
  sleepMs(12'000);
  HttpReply again = fleet.call("n2", keyedWork("away", "away"));
  CHECK(again.Status == 200);
  CHECK(again.header("Idempotent-Replayed") == "true");
  HttpReply fresh = fleet.call("n3", keyedWork("away2", "away2"));
  CHECK(fresh.Status == 200);
  fleet.process("n2").signal(SIGSTOP);
  sleepMs(12'000);
  std::vector<std::string> nodes{"n1", "n3"};
  for (int i = 0; i < 6; ++i) {
    std::string tag = "paused" + std::to_string(i);
    HttpReply reply =
        fleet.call(nodes[std::size_t(i) % 2], keyedWork(tag, tag));
    checkOutcome(fleet, tag, reply);
  }
  fleet.process("n2").signal(SIGCONT);
  for (int i = 0; i < 6; ++i) {
    std::string tag = "paused" + std::to_string(i);
    fleet.call("n2", keyedWork(tag, tag));
    CHECK(fleet.countRuns(tag) <= 1);
  }
}

TEST_CASE("a rolling restart under load loses no request", "[restart]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  fleet.startEndpoint("e1", "n1");
  fleet.awaitReady();
  std::atomic<bool> isOver{false};
  std::atomic<int> lost{0};
  std::atomic<int> served{0};
  std::atomic<int> next{0};
  std::string lastLoss;
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < 4; ++caller)
    callers.emplace_back([&, caller] {
      for (int i = 0; !isOver; ++i) {
        std::string tag = "roll" + std::to_string(next++);
        HttpReply reply;
        for (int hop = 0; hop < 3 && reply.Status == 0; ++hop)
          reply = fleet.call("n" + std::to_string(1 + (caller + i + hop) % 3),
                             i % 2 ? keyedWork(tag, tag) : HttpCall{}, 8'000);
        ++(reply.Status == 200 ? served : lost);
        if (reply.Status != 200)
          lastLoss = std::to_string(reply.Status) + " " + reply.Body;
      }
    });
  for (const char *node : {"n1", "n2", "n3"}) {
    fleet.process(node).signal(SIGTERM);
    CHECK(fleet.process(node).wait() == 0);
    fleet.startNode(node);
    fleet.awaitReady();
  }
  isOver = true;
  for (std::jthread &it : callers)
    it.join();
  INFO("last loss: " << lastLoss);
  CHECK(lost == 0);
  CHECK(served > 100);
  for (int i = 0; i < next; ++i)
    CHECK(fleet.countRuns("roll" + std::to_string(i)) <= 1);
}

TEST_CASE("a draining endpoint gets no new work and finishes its requests",
          "[drain]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  HttpReply slow;
  std::jthread caller(
      [&] { slow = fleet.call("n1", taggedWork("slow", 2'500), 6'000); });
  fleet.await("work in progress", [&] {
    return fleet.controlEndpoint("e2", json::object())["running"] == 1 ||
           fleet.controlEndpoint("e3", json::object())["running"] == 1;
  });
  bool isAtE2 = fleet.controlEndpoint("e2", json::object())["running"] == 1;
  std::string leaving = isAtE2 ? "e2" : "e3";
  fleet.controlEndpoint(leaving, {{"state", "draining"}});
  sleepMs(2'000);
  json before = fleet.controlEndpoint(leaving, json::object());
  for (int i = 0; i < 30; ++i)
    CHECK(fleet.call("n1", {"GET", "/", {}, ""}).Status == 200);
  json after = fleet.controlEndpoint(leaving, json::object());
  CHECK(before["started"] == after["started"]);
  caller.join();
  CHECK(slow.Status == 200);
  CHECK(fleet.countRuns("slow") == 1);
}

TEST_CASE("a truncated response is reported to the caller as an error",
          "[answers]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  fleet.controlEndpoint("e2", {{"truncate", true}});
  fleet.controlEndpoint("e3", {{"truncate", true}});
  HttpReply reply = fleet.call("n1", taggedWork("cut"), 3'000);
  CHECK(reply.Status == 502);
  CHECK(reply.problem("run") == "unknown");
  CHECK(fleet.countRuns("cut") == 1);
  fleet.controlEndpoint("e3", {{"truncate", false}});
  for (int i = 0; i < 10; ++i)
    CHECK(fleet.call("n1", {"GET", "/", {}, ""}, 4'000).Status == 200);
}

// The duplicate arrives while the next request runs on the same connection and
// must not be taken for the response to that request.
TEST_CASE("a late duplicate of a response reaches no other caller",
          "[answers]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  for (const char *name : {"e2", "e3"})
    fleet.controlEndpoint(name,
                          {{"second_copy_ms", 30}, {"repeats_id", false}});
  auto answersOwn = [&](int i) {
    std::string mine = "mine-" + std::to_string(i);
    HttpReply reply = fleet.call(
        "n1", {"PUT", "/", {{"X-Work-Ms", "60"}, {"X-Client-Id", mine}}, mine},
        4'000);
    return reply.Status == 200 && reply.Body.ends_with("\n" + mine);
  };
  for (int i = 0; i < 15; ++i)
    CHECK(answersOwn(i));
  for (const char *name : {"e2", "e3"})
    fleet.controlEndpoint(name, {{"repeats_id", true}});
  for (int i = 15; i < 30; ++i)
    CHECK(answersOwn(i));
}

TEST_CASE("a stalled endpoint that passes health probes is ejected",
          "[stall]") {
  TestFleet fleet;
  startThreeNodes(fleet);
  for (int i = 0; i < 20; ++i)
    REQUIRE(fleet.call("n1", {"GET", "/", {}, ""}).Status == 200);
  fleet.controlEndpoint("e2", {{"stall", true}});
  std::vector<std::jthread> callers;
  std::atomic<int> served{0};
  for (int i = 0; i < 6; ++i)
    callers.emplace_back([&] {
      served += fleet.call("n1", {"GET", "/", {}, ""}, 8'000).Status == 200;
    });
  for (std::jthread &it : callers)
    it.join();
  CHECK(served == 6);
  fleet.await("ejection of the stalled endpoint", [&] {
    json report = fleet.status("n1");
    return report["ejections"].size() == 1;
  });
  fleet.controlEndpoint("e2", {{"stall", false}});
  fleet.await(
      "readmission of the endpoint",
      [&] {
        fleet.call("n1", {"GET", "/", {}, ""});
        json report = fleet.status("n1");
        for (const json &member : report["members"])
          for (const json &it : member["endpoints"])
            if (it["name"] == "e2")
              return it["standing"] == "healthy";
        return false;
      },
      60'000);
}

TEST_CASE("a request that crashes endpoints is stopped after two crashes",
          "[poison]") {
  TestFleet fleet;
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node);
  for (const char *node : {"n1", "n2", "n3"}) {
    fleet.startEndpoint(std::string("a") + node, node);
    fleet.startEndpoint(std::string("b") + node, node);
  }
  fleet.publishDefaults();
  fleet.awaitReady();
  HttpReply last;
  for (int i = 0; i < 8; ++i)
    last = fleet.call("n" + std::to_string(1 + i % 3),
                      {"PUT", "/", {}, "POISON"}, 3'000);
  CHECK(last.problem("kind") == "quarantined");
  CHECK(last.problem("run") == "not_run");
  int dead = 0;
  for (const char *node : {"n1", "n2", "n3"}) {
    dead += !fleet.process(std::string("a") + node).isRunning();
    dead += !fleet.process(std::string("b") + node).isRunning();
  }
  CHECK(dead == 2);
  for (const char *node : {"n1", "n2", "n3"})
    CHECK(fleet.call(node, {"GET", "/", {}, ""}, 4'000).Status == 200);
}

TEST_CASE("a page that many callers read is not denied after one crash of an "
          "endpoint that ran it",
          "[popular]") {
  TestFleet fleet;
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"}) {
    fleet.startNode(node);
    fleet.startEndpoint(std::string("e") + node, node);
  }
  fleet.publishDefaults();
  fleet.awaitReady();
  std::atomic<int> denied = 0;
  std::atomic<int> servedLate = 0;
  std::atomic<bool> isLate = false;
  std::atomic<bool> isOver = false;
  auto keepCalling = [&](const std::string &node, const std::string &method) {
    HttpCall call{method, "/page", {{"X-Work-Ms", "300"}}, ""};
    if (method == "POST")
      call.Body = "the same order";
    while (!isOver) {
      bool wasLate = isLate;
      HttpReply reply = fleet.call(node, call, 4'000);
      denied += reply.Status / 100 == 4;
      servedLate += wasLate && reply.Status == 200;
    }
  };
  std::vector<std::jthread> callers;
  for (const char *node : {"n1", "n2", "n3"}) {
    callers.emplace_back(keepCalling, node, "GET");
    callers.emplace_back(keepCalling, node, "POST");
  }
  sleepMs(1'500);
  fleet.process("en1").signal(SIGKILL);
  sleepMs(1'000);
  isLate = true;
  sleepMs(3'000);
  isOver = true;
  callers.clear();
  CHECK(denied == 0);
  // One copy at a time, at one gate, would be at most 10 of each in 3 s.
  CHECK(servedLate > 25);
}
