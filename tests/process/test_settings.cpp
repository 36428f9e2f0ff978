#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

void startNodes(TestFleet &fleet) {
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node);
  fleet.startEndpoint("e1", "n1");
  fleet.publishDefaults();
  fleet.awaitReady();
}

int floorAt(TestFleet &fleet, const std::string &node) {
  json values = fleet.settings(node, "/w/s");
  json effective = values.value("effective", json::object());
  return effective.contains("floor") ? effective["floor"]["value"].get<int>()
                                     : -1;
}

void awaitFloor(TestFleet &fleet, int floor) {
  for (const char *node : {"n1", "n2", "n3"})
    fleet.await(
        std::string("floor in force at ") + node,
        [&] { return floorAt(fleet, node) == floor; }, 7'000);
}

} // namespace

TEST_CASE("of two concurrent changes one is accepted, the other gets 409",
          "[settings]") {
  TestFleet fleet;
  startNodes(fleet);
  for (int round = 0; round < 5; ++round) {
    std::int64_t base = fleet.settings("n1", "/w/s")["revision"];
    std::string id = std::to_string(round);
    HttpReply a;
    HttpReply b;
    std::jthread other([&] {
      b = fleet.tryPublish("n2", "/w/s", {{"floor", 20 + round}}, base,
                           "b" + id);
    });
    a = fleet.tryPublish("n1", "/w/s", {{"floor", 10 + round}}, base, "a" + id);
    other.join();
    CHECK(a.Status + b.Status == 200 + 409);
    awaitFloor(fleet, (a.Status == 200 ? 10 : 20) + round);
  }
}

TEST_CASE("a change is applied once if the reply to its append is lost",
          "[settings]") {
  TestFleet fleet;
  startNodes(fleet);
  std::int64_t base = fleet.settings("n1", "/w/s")["revision"];
  fleet.controlLog({{"lose_replies", 2}});
  HttpReply reply =
      fleet.tryPublish("n1", "/w/s", {{"floor", 4}}, base, "lost");
  CHECK(reply.Status == 200);
  awaitFloor(fleet, 4);
  HttpReply again =
      fleet.tryPublish("n2", "/w/s", {{"floor", 4}}, base, "lost");
  CHECK(again.Status == 200);
  CHECK(again.problem("revision") == reply.problem("revision"));
}

TEST_CASE("a restarted node gets settings from peers while the log is down",
          "[settings]") {
  TestFleet fleet;
  startNodes(fleet);
  fleet.publish("/w/s", {{"floor", 6}});
  awaitFloor(fleet, 6);
  fleet.controlLog({{"mode", "hang"}});
  fleet.process("n3").signal(SIGKILL);
  fleet.process("n3").wait();
  fleet.startNode("n3");
  fleet.await("a response from the restarted node", [&] {
    return fleet.call("n3", {"GET", "/", {}, ""}, 1'000).Status == 200;
  });
  CHECK(floorAt(fleet, "n3") == 6);
  HttpReply refused = fleet.tryPublish("n1", "/w/s", {{"floor", 7}}, 99, "x");
  CHECK(refused.Status == 503);
  fleet.controlLog({{"mode", "ok"}});
  fleet.publish("/w/s", {{"floor", 8}});
  awaitFloor(fleet, 8);
}

TEST_CASE("values remain in force after the log expires their records",
          "[settings]") {
  TestFleet fleet;
  startNodes(fleet);
  fleet.publish("/w/s", {{"floor", 5}});
  fleet.controlLog({{"keep_records", 40}});
  for (int i = 0; i < 60; ++i)
    fleet.publish("/other", {{"share", 1 + i}});
  for (const char *node : {"n1", "n2", "n3"}) {
    fleet.process(node).signal(SIGTERM);
    fleet.process(node).wait();
  }
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node);
  awaitFloor(fleet, 5);
  fleet.await("a response after the restart", [&] {
    return fleet.call("n2", {"GET", "/", {}, ""}, 1'000).Status == 200;
  });
}
