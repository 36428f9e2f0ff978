#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

/// Real nodes whose processes are killed after they have acknowledged that a
/// server leaves.

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CallTimeout{3'000};

/// An endpoint waits for an acknowledgement for a second.
constexpr milliseconds AckLimit{1'000};

/// Start of the server that leaves.
constexpr std::int64_t BornMs = 1'000;

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Three nodes with a server each, and a further server beside n1, for which
/// the tests speak.
class LeavingServer {
public:
  LeavingServer() { Fleet.startDefault(); }

  PlatformFleet &fleet() { return Fleet; }

  int post(const std::string &call, const json &body) {
    HttpCall request{
        "POST", "/rpc?call=instances." + call + "&of=i-left", {}, body.dump()};
    return callOnce(Fleet.node("n1").Admin, request, CallTimeout).Status;
  }

  int heartbeat(int sequence, const std::string &state = "ready",
                std::int64_t born = BornMs) {
    return post("heartbeat", {{"service", "u"},
                              {"address", "127.0.0.1:1"},
                              {"slots", 3},
                              {"state", state},
                              {"sequence", sequence},
                              {"born", born},
                              {"cold_remaining_s", 0}});
  }

  /// Announces the server, and has it leave in the given way.
  int leave(const std::string &way) {
    CHECK(heartbeat(1) == 200);
    CHECK(isUsed());
    if (way == "draining")
      return heartbeat(3, way);
    return post("deregister",
                way == "unnamed" ? json::object() : json{{"born", BornMs}});
  }

  /// True if the gate of n1 may send requests to the server.
  bool isUsed() {
    json known = Fleet.statusOf("n1")["own_endpoints"];
    return std::ranges::any_of(known, [](const json &it) {
      return it["name"] == "i-left" && it["standing"] != "draining";
    });
  }

  void kill(const std::vector<std::string> &nodes) {
    for (const std::string &it : nodes)
      Fleet.process(it).signal(SIGKILL);
    for (const std::string &it : nodes)
      Fleet.process(it).wait();
  }

  void restart(const std::vector<std::string> &nodes) {
    for (const std::string &it : nodes)
      Fleet.startNode(it, it == "n3" ? "t" : "s");
    TestFleet::await("the node",
                     [&] { return Fleet.statusOf("n1") != json(); });
  }

private:
  PlatformFleet Fleet;
};

const std::vector<std::string> All = {"n1", "n2", "n3"};

} // namespace

// Guards against an acknowledged departure that ends with the processes that
// know of it.
TEST_CASE("an acknowledged departure outlives all processes",
          "[departure-stored]") {
  auto way = GENERATE(as<std::string>{}, "draining", "deregister", "unnamed");
  int killAfterMs = GENERATE(0, 300, 1'500);
  bool isEach = GENERATE(true, false);
  std::vector<std::string> killed =
      isEach ? All : std::vector<std::string>{"n1"};
  INFO(way << ", " << killed.size() << " killed after " << killAfterMs
           << " ms");
  LeavingServer server;
  REQUIRE(server.leave(way) == 200);
  std::this_thread::sleep_for(milliseconds(killAfterMs));
  server.kill(killed);
  server.restart(killed);
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
  server.fleet().awaitServing();
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
  // The server starts again under the same id.
  CHECK(server.heartbeat(1, "ready", wallMs()) == 200);
  CHECK(server.isUsed());
}

// Guards against records that are kept for less long than heartbeats are late.
TEST_CASE("a heartbeat that is ten seconds late does not bring a server back",
          "[departure-stored]") {
  LeavingServer server;
  REQUIRE(server.leave("deregister") == 200);
  server.kill(All);
  server.restart(All);
  std::this_thread::sleep_for(milliseconds(5'000));
  server.kill(All);
  server.restart(All);
  std::this_thread::sleep_for(milliseconds(5'000));
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
}

// Guards against an acknowledgement that nothing outside the node backs, and
// against a server that is kept waiting for it.
TEST_CASE("a departure is acknowledged once the store has it",
          "[departure-stored]") {
  auto mode = GENERATE(as<std::string>{}, "silent", "busy");
  auto way = GENERATE(as<std::string>{}, "draining", "deregister");
  INFO(mode << ", " << way);
  LeavingServer server;
  server.fleet().controlStore({{"mode", mode}});
  auto sentAt = std::chrono::steady_clock::now();
  CHECK(server.leave(way) == 503);
  CHECK(std::chrono::steady_clock::now() - sentAt < AckLimit);
  CHECK_FALSE(server.isUsed());
  server.fleet().controlStore({{"mode", "ok"}});
  TestFleet::await("the acknowledgement", [&] {
    return way == "draining"
               ? server.heartbeat(4, way) == 200
               : server.post("deregister", {{"born", BornMs}}) == 200;
  });
  server.kill(All);
  server.restart(All);
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
}

// Guards against a lost answer of the store that costs the acknowledgement.
TEST_CASE("a departure is acknowledged in time if an answer is lost",
          "[departure-stored]") {
  LeavingServer server;
  server.fleet().controlStore({{"lost_answers", 1}});
  auto sentAt = std::chrono::steady_clock::now();
  CHECK(server.leave("deregister") == 200);
  CHECK(std::chrono::steady_clock::now() - sentAt < AckLimit);
}

// Guards against a server that is taken for one late heartbeat by a node that
// cannot learn which servers have left.
TEST_CASE("a node that cannot read the departures waits for a second heartbeat",
          "[departure-stored]") {
  LeavingServer server;
  REQUIRE(server.leave("deregister") == 200);
  server.fleet().controlStore({{"mode", "busy"}});
  server.kill(All);
  server.restart(All);
  CHECK(server.heartbeat(2) == 200);
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
  // Other servers are taken by their next heartbeats.
  TestFleet::await("the nodes' own servers", [&] {
    json known = server.fleet().statusOf("n2")["own_endpoints"];
    return known.size() == 1 && known[0]["name"] == "i-n2";
  });
  server.fleet().controlStore({{"mode", "ok"}});
  server.fleet().awaitServing();
  CHECK(server.heartbeat(3) == 200);
  CHECK_FALSE(server.isUsed());
}

// Guards against a departure that is lost with the store's last writes.
TEST_CASE("a departure outlives a store that comes back from an older copy",
          "[departure-stored]") {
  LeavingServer server;
  server.fleet().controlStore({{"copy", true}});
  REQUIRE(server.leave("deregister") == 200);
  server.fleet().controlStore({{"restore", true}});
  server.fleet().configure(defaultConfig(2));
  TestFleet::await("the settings",
                   [&] { return server.fleet().settingsOf("n1") > 2; });
  std::this_thread::sleep_for(milliseconds(500));
  server.kill(All);
  server.restart(All);
  CHECK(server.heartbeat(2) == 200);
  CHECK_FALSE(server.isUsed());
}
