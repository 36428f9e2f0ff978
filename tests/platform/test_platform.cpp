#include "libfleet/base/clock.h"
#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <thread>

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

constexpr auto CallTimeout = std::chrono::milliseconds(3'000);

int countServed(PlatformFleet &fleet, int calls) {
  int served = 0;
  for (int i = 0; i < calls; ++i)
    served += fleet.call("n3", "GET", "/safe/x").Status == 200;
  return served;
}

/// Publishes a time limit for all routes, and waits until n3 applies it.
/// Its status names a version a moment before requests are routed by it, so
/// that a new route has to tell.
void raiseTimeLimits(PlatformFleet &fleet, int targetSeconds,
                     int limitSeconds = 8) {
  json config = defaultConfig(2);
  json &rules = config["listeners"][0]["route_rules"];
  for (json &rule : rules) {
    rule["target_latency_s"] = targetSeconds;
    rule["action"]["timeout_s"] = limitSeconds;
  }
  json marker = rules[0];
  marker["name"] = "marker";
  marker["match"]["path_prefix"] = "/marker/";
  rules.push_back(marker);
  fleet.configure(config);
  TestFleet::await("the new limits", [&] {
    return fleet.call("n3", "GET", "/marker/x").Status == 200;
  });
}

} // namespace

TEST_CASE("a node without settings is not ready and rejects requests",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startStore();
  fleet.startNode("n1");
  TestFleet::await("an answer", [&] { return fleet.readiness("n1") == 503; });
  HttpReply reply = fleet.call("n1", "GET", "/safe/x");
  CHECK(reply.Status == 503);
  CHECK(reply.header("Attempt-Id") == fleet.lastId());
  CHECK_FALSE(reply.header("Retry-After").empty());
}

TEST_CASE("requests reach servers with target and body unchanged",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  HttpReply reply = fleet.call("n3", "POST", "/once/a?b=c", "the body");
  CHECK(reply.Status == 200);
  CHECK(reply.header("Response-Signature") == "proof");
  CHECK(reply.header("Attempt-Id") == fleet.lastId());
  CHECK(reply.Body.ends_with(":the body"));
  CHECK(fleet.runsOfLastAttempt() == 1);
  json last;
  for (const char *node : {"n1", "n2"}) {
    json seen = fleet.controlServer(node, json::object());
    if (seen["runs"].contains(fleet.lastId()))
      last = seen["last"];
  }
  REQUIRE(last.is_object());
  CHECK(last["target"] == "/once/a?b=c");
  CHECK(last["caller"] == "t");
  int left = std::stoi(last["left"].get<std::string>());
  CHECK(left > 0);
  CHECK(left <= 1'500);
  CHECK(fleet.call("n1", "GET", "/nowhere/").Status == 404);
}

TEST_CASE("nodes apply newer configurations and ignore older or invalid ones",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  auto servedBy = [&](const std::string &server) {
    return fleet.call("n1", "GET", "/safe/x").Body.starts_with(server);
  };
  fleet.configure(defaultConfig(7, "t"));
  TestFleet::await(
      "the route has moved", [&] { return servedBy("i-n3"); }, 2'000);
  fleet.configure(defaultConfig(5, "s"));
  json invalid = defaultConfig(9, "s");
  invalid["listeners"][0]["route_rules"][0]["kind"] = "odd";
  fleet.configure(invalid);
  fleet.configure(defaultConfig(11, "unknown"));
  for (int i = 0; i < 20; ++i)
    CHECK(servedBy("i-n3"));
  fleet.configure(defaultConfig(12, "s"));
  TestFleet::await(
      "the route is back", [&] { return !servedBy("i-n3"); }, 2'000);
}

// Guards against a version that all nodes reject for the type of a weight, and
// against later versions that are lost with it.
TEST_CASE("a version with fractions as weights is in force on all nodes",
          "[config-values]") {
  constexpr int limitMs = 2'000;
  PlatformFleet fleet;
  fleet.startDefault();
  json split = defaultConfig(2);
  json &rules = split["listeners"][0]["route_rules"];
  rules.erase(1);
  rules[0]["action"].erase("service");
  rules[0]["action"]["traffic_split"] = {{{"service", "s"}, {"weight", 0.75}},
                                         {{"service", "t"}, {"weight", 0.25}}};
  fleet.configure(split);
  for (const char *node : {"n1", "n2", "n3"})
    TestFleet::await(
        "the removed route is gone",
        [&] { return fleet.call(node, "POST", "/once/x").Status == 404; },
        limitMs);
  int atOther = 0;
  constexpr int requests = 80;
  for (int i = 0; i < requests; ++i) {
    HttpReply reply = fleet.call("n1", "GET", "/safe/x");
    CHECK(reply.Status == 200);
    atOther += reply.Body.starts_with("i-n3");
  }
  CHECK(atOther == requests / 4);
  json malformed = split;
  malformed["version"] = 3;
  malformed["listeners"] = 7;
  fleet.configure(malformed);
  fleet.configure(defaultConfig(4));
  for (const char *node : {"n1", "n2", "n3"})
    TestFleet::await(
        "the route is back",
        [&] { return fleet.call(node, "POST", "/once/x").Status == 200; },
        limitMs);
}

TEST_CASE("nodes serve without the store and apply settings once it returns",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  fleet.controlStore({{"mode", "silent"}});
  CHECK(countServed(fleet, 20) == 20);
  CHECK(fleet.readiness("n1") == 200);
  fleet.process("n1").signal(SIGKILL);
  fleet.process("n1").wait();
  fleet.controlStore({{"mode", "ok"}, {"lost_answers", 2}});
  fleet.startNode("n1");
  fleet.configure(defaultConfig(2, "t"));
  TestFleet::await("new settings everywhere", [&] {
    return fleet.call("n1", "GET", "/safe/x").Body.starts_with("i-n3") &&
           fleet.call("n2", "GET", "/safe/x").Body.starts_with("i-n3");
  });
}

TEST_CASE("a server gets no requests once its departure is acknowledged",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  json how = GENERATE(json{{"state", "draining"}}, json{{"leave", true}});
  std::string wanted = how.contains("state") ? "draining" : "gone";
  fleet.controlServer("n1", how);
  TestFleet::await("an acknowledgement", [&] {
    return fleet.controlServer("n1", json::object())["acked"] == wanted;
  });
  int before = fleet.controlServer("n1", json::object())["arrivals"];
  CHECK(countServed(fleet, 20) == 20);
  CHECK(fleet.controlServer("n1", json::object())["arrivals"] == before);
}

TEST_CASE("a request that may have run is retried only on a safe route",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  for (const char *node : {"n1", "n2"})
    fleet.controlServer(node, {{"fault", "reset"}});
  HttpReply once = fleet.call("n3", "POST", "/once/x", "pay");
  CHECK(once.Status == 502);
  CHECK(fleet.runsOfLastAttempt() == 1);
  fleet.controlServer("n1", {{"fault", ""}});
  TestFleet::await("the recovered server to serve", [&] {
    return fleet.call("n3", "GET", "/safe/x").Status == 200;
  });
  CHECK(countServed(fleet, 20) == 20);
}

TEST_CASE("a request that all servers shed is answered 503 without a run",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  for (const char *node : {"n1", "n2"})
    fleet.controlServer(node, {{"fault", "shed"}});
  HttpReply reply = fleet.call("n3", "POST", "/once/x", "pay");
  CHECK(reply.Status == 503);
  CHECK(fleet.runsOfLastAttempt() == 0);
  double wait = std::stod(reply.header("Retry-After"));
  CHECK(wait > 0);
  CHECK(wait <= 0.5);
}

TEST_CASE("stray and unsigned answers do not reach a client", "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  auto callWith = [&](const std::string &fault) {
    for (const char *node : {"n1", "n2"})
      fleet.controlServer(node, {{"fault", fault}});
    return fleet.call("n3", "POST", "/once/x", "mine");
  };
  CHECK(callWith("stray").Body.ends_with(":mine"));
  CHECK(callWith("unframed").Body.ends_with(":mine"));
  HttpReply unsignedReply = callWith("unsigned");
  CHECK(unsignedReply.Status == 502);
  CHECK(unsignedReply.Body.find(":mine") == std::string::npos);
}

TEST_CASE("nodes rejoin after all of them were killed", "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  for (const char *node : {"n1", "n2", "n3"}) {
    fleet.process(node).signal(SIGKILL);
    fleet.process(node).wait();
  }
  fleet.startNode("n1");
  fleet.startNode("n2");
  fleet.startNode("n3", "t");
  fleet.awaitServing();
  CHECK(countServed(fleet, 20) == 20);
}

TEST_CASE("malformed heartbeats and requests are rejected without side effects",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  auto heartbeat = [&](const std::string &id, const std::string &body) {
    HttpCall call{"POST", "/rpc?call=instances.heartbeat&of=" + id, {}, body};
    return callOnce(fleet.node("n1").Admin, call, CallTimeout).Status;
  };
  CHECK(heartbeat("x", "") == 400);
  CHECK(heartbeat("x", "[1,2]") == 400);
  CHECK(heartbeat("x", R"({"service":7})") == 400);
  CHECK(heartbeat("", R"({"service":"s","address":"127.0.0.1:1","slots":3,)"
                      R"("state":"ready","sequence":1,"born":1})") == 400);
  CHECK(heartbeat("x", R"({"service":"s","address":"127.0.0.1:1","slots":3,)"
                       R"("state":"odd","sequence":1,"born":1})") == 400);
  std::string slow =
      sendRaw(fleet.node("n1").Http, "GET /safe/ HT", CallTimeout);
  CHECK(slow.find("408") != std::string::npos);
  std::string large =
      "GET /safe/ HTTP/1.1\r\nX: " + std::string(20'000, 'a') + "\r\n\r\n";
  std::string refused = sendRaw(fleet.node("n1").Http, large, CallTimeout);
  CHECK(refused.find("431") != std::string::npos);
  CHECK(
      fleet.call("n3", "POST", "/once/x", std::string(1'100'000, 'a')).Status ==
      413);
  CHECK(countServed(fleet, 20) == 20);
}

TEST_CASE("odd entries of other writers end no node and change nothing",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  constexpr std::size_t depth = 100'000;
  std::string deep = std::string(depth, '[') + std::string(depth, ']');
  for (const std::string &body :
       {deep, "{\"service\":" + deep + "}", std::string("{\"slots\":1e400}")}) {
    for (const char *node : {"n1", "n2", "n3"}) {
      HttpCall call{"POST",
                    "/rpc?call=instances.heartbeat&of=i-" + std::string(node),
                    {},
                    body};
      CHECK(callOnce(fleet.node(node).Admin, call, CallTimeout).Status == 400);
      callOnce(fleet.node(node).Ready, call, CallTimeout);
      fleet.call(node, "POST", "/once/x", body);
    }
    fleet.appendToStore("keyed.hickoryglade-nodes", "odd", body);
  }
  fleet.appendToStore("keyed.hickoryglade-nodes", "n9", "127.0.0.1:65536 dc-1");
  fleet.configureText("{\"version\":" + deep + "}");
  fleet.configureText("{\"version\":1e400}");
  fleet.configure(defaultConfig(3));
  TestFleet::await("the settings", [&] { return fleet.settingsOf("n1") > 3; });
  fleet.startNode("n4");
  TestFleet::await("the new node", [&] {
    return fleet.call("n4", "GET", "/safe/x").Status == 200;
  });
  for (const char *node : {"n1", "n2", "n3"})
    CHECK(fleet.process(node).isRunning());
  CHECK(countServed(fleet, 20) == 20);
}

// The node may have been restarted since the server's last heartbeat.
TEST_CASE("an acknowledged departure binds a node that did not know the server",
          "[departure]") {
  PlatformFleet fleet;
  fleet.startDefault();
  std::string born = GENERATE("1000", "");
  auto post = [&](const std::string &call, const std::string &body) {
    HttpCall request{
        "POST", "/rpc?call=instances." + call + "&of=i-late", {}, body};
    return callOnce(fleet.node("n3").Admin, request, CallTimeout).Status;
  };
  CHECK(post("deregister", born.empty() ? "" : "{\"born\":" + born + "}") ==
        200);
  json late = {{"service", "t"},       {"address", "127.0.0.1:1"},
               {"slots", 3},           {"state", "ready"},
               {"sequence", 4},        {"born", 1'000},
               {"cold_remaining_s", 0}};
  CHECK(post("heartbeat", late.dump()) == 200);
  auto isKnown = [&] {
    json known = fleet.statusOf("n3")["own_endpoints"];
    return std::ranges::any_of(
        known, [](const json &it) { return it["name"] == "i-late"; });
  };
  CHECK_FALSE(isKnown());
  // The server starts again under the same id.
  late["born"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count() +
                 1'000;
  late["sequence"] = 1;
  CHECK(post("heartbeat", late.dump()) == 200);
  CHECK(isKnown());
}

TEST_CASE("no request fails during a graceful stop or SIGHUP", "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  fleet.process("n2").signal(SIGHUP);
  CHECK(countServed(fleet, 10) == 10);
  CHECK(fleet.process("n2").isRunning());
  fleet.process("n2").signal(SIGTERM);
  TestFleet::await("not ready", [&] { return fleet.readiness("n2") != 200; });
  CHECK(countServed(fleet, 20) == 20);
  CHECK(fleet.call("n2", "GET", "/safe/x").Status == 200);
  CHECK(fleet.process("n2").wait() == 0);
  CHECK(countServed(fleet, 10) == 10);
}

// The deadlines exceed the drain limit and no slot becomes free, so requests
// are queued and in flight when the node exits.
TEST_CASE("a stopping node answers requests that it could not finish",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  raiseTimeLimits(fleet, 6);
  for (const char *node : {"n1", "n2"})
    fleet.controlServer(node, {{"fault", "hang"}});
  constexpr int slots = 6;
  constexpr int waiting = 3;
  auto send = [&](int number) {
    HttpCall call{"POST",
                  "/once/x",
                  {{"Host", "h.example"},
                   {"Attempt-Id", "late-" + std::to_string(number)},
                   {"Remaining-Milliseconds", "7000"}},
                  ""};
    return callOnce(fleet.node("n3").Http, call,
                    std::chrono::milliseconds(9'000));
  };
  std::vector<std::future<HttpReply>> replies;
  for (int i = 0; i < slots + waiting; ++i)
    replies.push_back(std::async(std::launch::async, send, i));
  TestFleet::await("all slots in use", [&] {
    return fleet.controlServer("n1", json::object())["runs"].size() >= 3 &&
           fleet.controlServer("n2", json::object())["runs"].size() >= 3;
  });
  fleet.process("n3").signal(SIGTERM);
  int refused = 0;
  int unknown = 0;
  for (auto &it : replies) {
    HttpReply reply = it.get();
    INFO(reply.Status << " " << reply.Body);
    CHECK(reply.Status >= 500);
    bool isRefused = reply.Status == 503;
    refused += isRefused;
    unknown += !isRefused;
    if (isRefused)
      CHECK_FALSE(reply.header("Retry-After").empty());
  }
  CHECK(refused == waiting);
  CHECK(unknown == slots);
}

// Guards against requests that a stopping node starts late in its grace period
// and has to break off at the end of it.
TEST_CASE("a stopping node refuses at once what cannot end in its grace period",
          "[late-in-grace]") {
  using std::chrono::milliseconds;
  int workMs = GENERATE(1'000, 6'000);
  bool isKept = GENERATE(false, true);
  constexpr int lingerMs = 4'600;
  constexpr int graceMs = 5'000;
  constexpr milliseconds callTimeout{8'500};
  constexpr milliseconds promptly{400};
  PlatformFleet fleet;
  fleet.setNodeSettings(
      {{"linger_ms", lingerMs}, {"drain_limit_ms", graceMs - lingerMs}});
  fleet.startStore();
  fleet.startNodes();
  raiseTimeLimits(fleet, 7);
  for (const char *node : {"n1", "n2"})
    fleet.controlServer(node, {{"work_ms", workMs}});
  auto callOf = [](int number) {
    return HttpCall{"POST",
                    "/once/x",
                    {{"Host", "h.example"},
                     {"Attempt-Id", "grace-" + std::to_string(number)},
                     {"Remaining-Milliseconds", "8000"}},
                    ""};
  };
  std::string address = fleet.node("n3").Http;
  HttpReply first = callOnce(address, callOf(0), callTimeout);
  INFO(first.Status << " " << first.Body);
  REQUIRE(first.Status == 200);
  const std::vector<int> sentAtMs = {100, 2'000, 4'000, 4'500};
  std::vector<std::unique_ptr<KeptConnection>> kept;
  for (std::size_t i = 0; isKept && i < sentAtMs.size(); ++i) {
    kept.push_back(std::make_unique<KeptConnection>(address));
    HttpCall unknown{"GET", "/none", {{"Host", "h.example"}}, ""};
    REQUIRE(kept.back()->call(unknown, callTimeout).Status == 404);
  }
  fleet.process("n3").signal(SIGTERM);
  Instant begin = fleet::now();
  auto send = [&](std::size_t i) {
    std::this_thread::sleep_for(milliseconds(sentAtMs[i]));
    Instant sentAt = fleet::now();
    HttpCall call = callOf(int(i) + 1);
    HttpReply reply = isKept ? kept[i]->call(call, callTimeout)
                             : callOnce(address, call, callTimeout);
    return std::pair(reply, fleet::now() - sentAt);
  };
  std::vector<std::future<std::pair<HttpReply, Micros>>> replies;
  for (std::size_t i = 0; i < sentAtMs.size(); ++i)
    replies.push_back(std::async(std::launch::async, send, i));
  for (std::size_t i = 0; i < sentAtMs.size(); ++i) {
    auto [reply, time] = replies[i].get();
    bool canEnd = sentAtMs[i] + 2 * workMs < graceMs;
    INFO("sent at " << sentAtMs[i] << " ms, work " << workMs << " ms, kept "
                    << isKept << ": " << reply.Status << " " << reply.Body);
    CHECK(reply.Status == (canEnd ? 200 : 503));
    CHECK(reply.header("Connection") == "close");
    if (canEnd)
      continue;
    CHECK(time < promptly);
    CHECK(reply.problem("run") == "not_run");
    CHECK_FALSE(reply.header("Retry-After").empty());
  }
  CHECK(fleet.process("n3").wait() == 0);
  CHECK(fleet::now() - begin < milliseconds(graceMs + 500));
}

TEST_CASE("status and metrics report a node's state and its reasons",
          "[platform]") {
  PlatformFleet fleet;
  fleet.startDefault();
  fleet.controlServer("n1", {{"fault", "reset"}});
  for (int i = 0; i < 6; ++i)
    fleet.call("n1", "GET", "/safe/x");
  auto ask = [&](const std::string &target) {
    return callOnce(fleet.node("n1").Admin, {"GET", target, {}, ""},
                    CallTimeout);
  };
  json status = json::parse(ask("/v1/status").Body, nullptr, false);
  REQUIRE(status.is_object());
  CHECK(status["log_reachable"] == true);
  CHECK(status["settings_in_force_ms"].get<std::int64_t>() > 0);
  CHECK(status["source_age_ms"].get<std::int64_t>() < 60'000);
  REQUIRE(status["own_endpoints"].size() == 1);
  CHECK(status["own_endpoints"][0]["standing"] != "healthy");
  CHECK(status["own_endpoints"][0]["reason"].get<std::string>().size() > 5);
  std::string metrics = ask("/metrics").Body;
  for (const char *name :
       {"hickoryglade_stage_seconds_bucket",
        "hickoryglade_settings_source_up 1",
        "hickoryglade_settings_in_force_seconds", "process_cpu_seconds_total",
        "hickoryglade_members{state=\"alive\"} 3"}) {
    INFO(name);
    CHECK(metrics.find(name) != std::string::npos);
  }
}

// Guards against lookups that wait for a slot when their node gets SIGTERM, run
// later, and are then broken off for a retry that the node no longer makes.
TEST_CASE("lookups that wait when their node begins to stop run to their end",
          "[waiting-at-stop]") {
  using std::chrono::milliseconds;
  constexpr int usualMs = 850;
  constexpr int workMs = 2'300;
  // Long enough for two runs, one after the other, but not for half of one
  // more.
  constexpr int lingerMs = 500;
  constexpr int drainMs = 4'800;
  constexpr int slots = 3;
  constexpr int waiting = 3;
  PlatformFleet fleet;
  fleet.setNodeSettings({{"linger_ms", lingerMs}, {"drain_limit_ms", drainMs}});
  fleet.setRootDefaults(
      {{"health", "completion_odds"}, {"stall_after_ms", 500}});
  fleet.startStore();
  fleet.startNode("n1");
  fleet.startServer("n1");
  fleet.startNode("n3", "other");
  fleet.startServer("n3", "other");
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  raiseTimeLimits(fleet, 9, 10);
  auto setWork = [&](int ms) { fleet.controlServer("n1", {{"work_ms", ms}}); };
  auto send = [&](const std::string &id) {
    HttpCall call{"GET",
                  "/safe/x",
                  {{"Host", "h.example"},
                   {"Attempt-Id", id},
                   {"Remaining-Milliseconds", "10000"}},
                  ""};
    return callOnce(fleet.node("n3").Http, call, milliseconds(12'000));
  };
  setWork(usualMs);
  for (int i = 0; i < 8; ++i)
    REQUIRE(send("usual-" + std::to_string(i)).Status == 200);
  setWork(workMs);
  std::vector<std::future<HttpReply>> replies;
  for (int i = 0; i < slots + waiting; ++i) {
    replies.push_back(
        std::async(std::launch::async, send, "slow-" + std::to_string(i)));
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(200));
  fleet.process("n3").signal(SIGTERM);
  for (auto &it : replies) {
    HttpReply reply = it.get();
    INFO(reply.Body);
    CHECK(reply.Status == 200);
  }
}
