#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

/// Bound on the time until a change is in force, as the platform sets it.
constexpr int PropagationMs = 2'000;

const std::vector<std::string> Nodes = {"n1", "n2", "n3", "n4"};

/// Starts four nodes in up to two data centres that share the reading of
/// settings.
void startReaders(PlatformFleet &fleet, int dataCentres) {
  fleet.startStore();
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    const std::string &node = Nodes[i];
    std::string dataCentre = "dc-" + std::to_string(i % dataCentres);
    fleet.setNodeSettings(
        {{"settings_readers", 1}, {"data_centre", dataCentre}});
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
  int dataCentres = GENERATE(1, 2);
  PlatformFleet fleet;
  startReaders(fleet, dataCentres);
  for (int version : {3, 4, 5}) {
    fleet.controlStore({{"silence_waiting", true}});
    fleet.configure(defaultConfig(version));
    TestFleet::await(
        "version " + std::to_string(version) + " everywhere",
        [&] { return isInForce(fleet, version); }, PropagationMs);
  }
}

TEST_CASE("one node polls the store for all data centres", "[freshness]") {
  PlatformFleet fleet;
  startReaders(fleet, 2);
  constexpr int pollMs = 500;
  constexpr int polls = 10;
  int before = fleet.controlStore(json::object())["calls"];
  std::this_thread::sleep_for(std::chrono::milliseconds(polls * pollMs));
  int calls = fleet.controlStore(json::object())["calls"].get<int>() - before;
  // Two nodes that poll would make twice as many calls.
  CHECK(calls >= polls / 2);
  CHECK(calls < 2 * polls);
  for (const std::string &node : Nodes)
    CHECK(fleet.statusOf(node)["settings_as_of_ms"].get<int>() < PropagationMs);
}
