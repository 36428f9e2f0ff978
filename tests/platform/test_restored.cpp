#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

/// Bound on the time until a change is in force, as the platform sets it.
constexpr int PropagationMs = 2'000;

/// Starts the default fleet with a copy of the store that is older than all its
/// records.
void startAll(PlatformFleet &fleet, int readers = 1) {
  fleet.setNodeSettings({{"settings_readers", readers}});
  fleet.startStore();
  TestFleet::await("the store", [&] {
    return fleet.controlStore({{"copy", true}}).is_object();
  });
  fleet.startNodes();
}

bool isInForce(PlatformFleet &fleet, int version) {
  const std::vector<std::string> nodes = {"n1", "n2", "n3"};
  return std::ranges::all_of(nodes, [&](const std::string &node) {
    return fleet.settingsOf(node) > version;
  });
}

void awaitInForce(PlatformFleet &fleet, int version) {
  TestFleet::await(
      "version " + std::to_string(version) + " everywhere",
      [&] { return isInForce(fleet, version); }, PropagationMs);
}

} // namespace

TEST_CASE("a change at an offset given out twice is in force in time",
          "[restored-offset]") {
  PlatformFleet fleet;
  int readers = GENERATE(0, 1);
  startAll(fleet, readers);
  fleet.controlStore({{"copy", true}});
  fleet.configure(defaultConfig(3));
  awaitInForce(fleet, 3);
  fleet.controlStore({{"restore", true}, {"config", defaultConfig(5)}});
  awaitInForce(fleet, 5);
}

TEST_CASE("a node that starts after the store lost its records finds others",
          "[restored-directory]") {
  PlatformFleet fleet;
  startAll(fleet);
  // The copy was taken before the nodes had registered.
  fleet.controlStore({{"restore", true}});
  fleet.configure(defaultConfig(1));
  awaitInForce(fleet, 1);
  fleet.startNode("n4", "t");
  TestFleet::await("a call to be served", [&] {
    return fleet.call("n4", "GET", "/safe/x").Status == 200;
  });
}

TEST_CASE("a node that starts serves by its members' newer settings",
          "[restored-start]") {
  PlatformFleet fleet;
  startAll(fleet);
  fleet.controlStore({{"copy", true}});
  fleet.configure(defaultConfig(7, "t"));
  awaitInForce(fleet, 7);
  fleet.controlStore({{"restore", true}});
  fleet.process("n2").signal(SIGKILL);
  fleet.process("n2").wait();
  fleet.startNode("n2");
  TestFleet::await("n2 is ready", [&] { return fleet.readiness("n2") == 200; });
  for (int i = 0; i < 20; ++i)
    CHECK(fleet.call("n2", "GET", "/safe/x").Body.starts_with("i-n3"));
  CHECK(fleet.settingsOf("n2") > 7);
}
