#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

void startFleet(TestFleet &fleet) {
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node);
  fleet.startEndpoint("e1", "n1");
  fleet.startEndpoint("e2", "n2");
  fleet.startEndpoint("e3", "n3");
  fleet.publishDefaults(
      {{"floor", 1}, {"router", "nearest"}, {"compare_gates", 2}});
  fleet.awaitReady();
}

/// Comparisons that a node has counted, with a grant or without.
double comparisonsAt(TestFleet &fleet, const std::string &node,
                     const std::string &claimed) {
  std::string text =
      callOnce(fleet.node(node).Admin, {"GET", "/metrics", {}, ""},
               std::chrono::milliseconds(2'000))
          .Body;
  std::string name =
      "hickoryglade_gate_comparisons_total{claimed=\"" + claimed + "\"";
  std::size_t at = text.find(name);
  return at == text.npos ? 0 : std::stod(text.substr(text.find('}', at) + 1));
}

/// True once a process that was sent SIGSTOP has stopped with all its threads.
bool isStopped(pid_t process) {
  std::filesystem::path tasks = "/proc/" + std::to_string(process) + "/task";
  return std::ranges::all_of(
      std::filesystem::directory_iterator(tasks), [](const auto &task) {
        std::ifstream in(task.path() / "stat");
        std::string stat(std::istreambuf_iterator<char>(in), {});
        return stat.find(") T ") != std::string::npos;
      });
}

} // namespace

// Guards against a request that two of the compared gates run, and against
// granted slots that are not released when another gate is chosen: 4 callers
// and 9 slots leave no room for those.
TEST_CASE("compared gates run each request once and release other slots",
          "[compare]") {
  TestFleet fleet;
  startFleet(fleet);
  std::atomic<int> answered{0};
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < 4; ++caller)
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 25; ++i) {
        std::string node = "n" + std::to_string(1 + (caller + i) % 3);
        answered += fleet.call(node, taggedWork("compared")).Status == 200;
      }
    });
  callers.clear();
  CHECK(answered == 100);
  CHECK(fleet.countRuns("compared") == 100);
  double claims = 0;
  double later = 0;
  for (const char *node : {"n1", "n2", "n3"}) {
    later += comparisonsAt(fleet, node, "later");
    claims += comparisonsAt(fleet, node, "first");
  }
  CHECK(claims + later > 60);
  CHECK(later > 0);
}

// Guards against a gate that does not reply holding up the requests which are
// also offered to another gate.
TEST_CASE("a comparison does not wait for a gate that is paused", "[compare]") {
  TestFleet fleet;
  startFleet(fleet);
  for (int i = 0; i < 20; ++i)
    fleet.call("n1", taggedWork("before"));
  fleet.process("n2").signal(SIGSTOP);
  TestFleet::await("n2 to stop",
                   [&] { return isStopped(fleet.process("n2").id()); });
  int fast = 0;
  for (int i = 0; i < 20; ++i) {
    auto start = std::chrono::steady_clock::now();
    HttpReply reply = fleet.call("n1", taggedWork("during"));
    auto time = std::chrono::steady_clock::now() - start;
    fast += reply.Status == 200 && time < std::chrono::milliseconds(300);
  }
  fleet.process("n2").signal(SIGCONT);
  CHECK(fast == 20);
}
