#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <string>
#include <vector>

/// Nodes of an earlier release beside those of this one. Hidden, since they
/// need a program that this build does not make: HICKORYGLADE_EARLIER names it.

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

std::string earlierProgram() {
  const char *path = std::getenv("HICKORYGLADE_EARLIER");
  REQUIRE(path);
  return path;
}

std::string currentProgram() {
  return std::string(HICKORYGLADE_BUILD) + "/src/hickorygladed/hickorygladed";
}

void restart(PlatformFleet &fleet, const std::string &node,
             const std::string &program) {
  fleet.process(node).signal(SIGTERM);
  fleet.process(node).wait();
  fleet.setNodeProgram(program);
  fleet.startNode(node, node == "n3" ? "t" : "s");
}

json splitConfig(int version) {
  json config = defaultConfig(version);
  json &rules = config["listeners"][0]["route_rules"];
  rules.erase(1);
  rules[0]["action"].erase("service");
  rules[0]["action"]["traffic_split"] = {{{"service", "s"}, {"weight", 0.75}},
                                         {{"service", "t"}, {"weight", 0.25}}};
  return config;
}

/// Waits until a node serves the split and no longer the removed route.
void awaitSplit(PlatformFleet &fleet, const std::string &node) {
  TestFleet::await("the split at " + node, [&] {
    return fleet.call(node, "POST", "/once/x").Status == 404 &&
           fleet.call(node, "GET", "/safe/x").Status == 200;
  });
}

} // namespace

// Guards against a version that only one of two releases takes while the fleet
// is moved from one to the other, and back.
TEST_CASE("both releases serve a version with fractions as weights",
          "[.earlier-release]") {
  const std::vector<std::string> nodes = {"n1", "n2", "n3"};
  PlatformFleet fleet;
  fleet.setNodeProgram(earlierProgram());
  fleet.startDefault();
  restart(fleet, "n2", currentProgram());
  fleet.awaitServing();
  fleet.configure(splitConfig(2));
  for (const std::string &it : nodes)
    awaitSplit(fleet, it);
  restart(fleet, "n1", currentProgram());
  restart(fleet, "n3", currentProgram());
  for (const std::string &it : nodes)
    awaitSplit(fleet, it);
  restart(fleet, "n1", earlierProgram());
  restart(fleet, "n3", earlierProgram());
  for (const std::string &it : nodes)
    awaitSplit(fleet, it);
}
