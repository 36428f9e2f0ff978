#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

/// What a server says about itself in its answers.

using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Limit = 2;
constexpr int WindowSeconds = 4;
/// Requests that the users' rule allows in a window under the limit above.
constexpr int MostInWindow = int(1.5 * Limit * WindowSeconds) + 5;

const json NamesLimit = {{"headers", "Server-Limit: 2\r\n"}};

/// Sends requests through some nodes for a time, about 25 a second and caller
/// while they are answered at once.
void sendFor(PlatformFleet &fleet, const std::vector<std::string> &nodes,
             milliseconds time, int callersPerNode = 2) {
  auto until = std::chrono::steady_clock::now() + time;
  std::vector<std::jthread> callers;
  for (const std::string &node : nodes)
    for (int i = 0; i < callersPerNode; ++i)
      callers.emplace_back([&fleet, node, until] {
        while (std::chrono::steady_clock::now() < until) {
          fleet.call(node, "GET", "/safe/x");
          std::this_thread::sleep_for(milliseconds(40));
        }
      });
}

} // namespace

TEST_CASE("a server gets no more requests than the limit that it names",
          "[limit]") {
  PlatformFleet fleet;
  fleet.startStore();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node, node == std::string("n1") ? "s" : "t");
  fleet.startServer("n1");
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  fleet.controlServer("n1", NamesLimit);
  sendFor(fleet, {"n2", "n3"}, seconds(1));
  for (int i = 0; i < 2; ++i) {
    int before = fleet.arrivals("n1");
    sendFor(fleet, {"n2", "n3"}, seconds(WindowSeconds));
    int sent = fleet.arrivals("n1") - before;
    CHECK(sent <= MostInWindow);
    CHECK(sent >= int(Limit) * WindowSeconds / 2);
  }
}

// The new process would fill all slots before the first answer names the limit.
TEST_CASE("a restarted node keeps to the limit that its server had named",
          "[limit]") {
  PlatformFleet fleet;
  fleet.startStore();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node, node == std::string("n1") ? "s" : "t");
  fleet.startServer("n1");
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  json slow = NamesLimit;
  slow["slots"] = 30;
  slow["work_ms"] = 700;
  fleet.controlServer("n1", slow);
  sendFor(fleet, {"n2", "n3"}, seconds(3));
  fleet.process("n1").signal(SIGKILL);
  fleet.process("n1").wait();
  fleet.startNode("n1");
  TestFleet::await("node n1 to serve",
                   [&] { return fleet.readiness("n1") == 200; });
  constexpr int callersPerNode = 16;
  int before = fleet.arrivals("n1");
  sendFor(fleet, {"n2", "n3"}, seconds(WindowSeconds), callersPerNode);
  int sent = fleet.arrivals("n1") - before;
  CHECK(sent <= MostInWindow);
  CHECK(sent > 0);
}

TEST_CASE("a server gets no new requests after its answer said that it leaves",
          "[leaving]") {
  PlatformFleet fleet;
  fleet.startStore();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node, node == std::string("n3") ? "t" : "s");
  for (const char *node : {"n1", "n2"})
    fleet.startServer(node);
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  fleet.controlServer("n1", {{"headers", "Server-Leaving: 1\r\n"}});
  int told = fleet.arrivals("n1");
  TestFleet::await("an answer of the leaving server", [&] {
    fleet.call("n3", "GET", "/safe/x");
    return fleet.arrivals("n1") > told;
  });
  // Time in which requests may still reach a server that leaves.
  std::this_thread::sleep_for(seconds(2));
  int before = fleet.arrivals("n1");
  for (int i = 0; i < 30; ++i)
    CHECK(fleet.call("n3", "GET", "/safe/x").Status == 200);
  CHECK(fleet.arrivals("n1") == before);
}

TEST_CASE("a restarted node sends nothing to a server that said it leaves",
          "[leaving]") {
  PlatformFleet fleet;
  fleet.startStore();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node, node == std::string("n3") ? "t" : "s");
  for (const char *node : {"n1", "n2"})
    fleet.startServer(node);
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  fleet.controlServer("n1", {{"headers", "Server-Leaving: 1\r\n"}});
  int told = fleet.arrivals("n1");
  TestFleet::await("an answer of the leaving server", [&] {
    fleet.call("n3", "GET", "/safe/x");
    return fleet.arrivals("n1") > told;
  });
  fleet.process("n1").signal(SIGKILL);
  fleet.process("n1").wait();
  int before = fleet.arrivals("n1");
  fleet.startNode("n1");
  TestFleet::await("node n1 to serve",
                   [&] { return fleet.readiness("n1") == 200; });
  for (int i = 0; i < 60; ++i) {
    CHECK(fleet.call("n3", "GET", "/safe/x").Status == 200);
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(fleet.arrivals("n1") == before);
}
