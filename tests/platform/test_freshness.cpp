#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

/// Bound on the time until a change is in force, as the platform sets it.
constexpr int PropagationMs = 2'000;

const std::vector<std::string> Nodes = {"n1", "n2", "n3", "n4"};

/// Starts a data centre of four nodes that share the reading of settings.
void startReaders(PlatformFleet &fleet) {
  fleet.setNodeSettings({{"settings_readers", 2}});
  fleet.startStore();
  for (const std::string &node : Nodes) {
    fleet.startNode(node);
    fleet.startServer(node);
  }
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
}

bool isInForce(PlatformFleet &fleet, int version) {
  return std::ranges::all_of(Nodes, [&](const std::string &node) {
    return fleet.settingsOf(node) > version;
  });
}

} // namespace

TEST_CASE("a change is in force in time while polls of the store hang",
          "[freshness]") {
  PlatformFleet fleet;
  startReaders(fleet);
  for (int version : {3, 4, 5}) {
    fleet.controlStore({{"silence_waiting", true}});
    fleet.configure(defaultConfig(version));
    TestFleet::await(
        "version " + std::to_string(version) + " everywhere",
        [&] { return isInForce(fleet, version); }, PropagationMs);
  }
}
