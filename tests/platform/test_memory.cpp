#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <future>
#include <map>
#include <thread>

using namespace hickoryglade;
using namespace hickoryglade::testing;

namespace {

/// Memory of the smallest VMs on which nodes run.
constexpr long MemoryLimitKb = 160'000;

/// Anonymous memory of a process.
long anonymousKb(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line))
    if (line.starts_with("RssAnon:"))
      return std::stol(line.substr(8));
  return 0;
}

} // namespace

TEST_CASE("an endpoint that sends without end does not exhaust its node's "
          "memory, and harms only requests that run there once",
          "[endless-server]") {
  constexpr auto duration = std::chrono::seconds(6);
  constexpr int callers = 8;
  PlatformFleet fleet;
  fleet.startDefault();
  fleet.controlServer("n1", {{"fault", "endless"}, {"slots", 7}});
  auto end = std::chrono::steady_clock::now() + duration;
  auto callUntilEnd = [&](const char *method, const char *target) {
    std::map<int, int> statuses;
    while (std::chrono::steady_clock::now() < end) {
      ++statuses[fleet.call("n3", method, target).Status];
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return statuses;
  };
  std::vector<std::future<std::map<int, int>>> lookups;
  std::vector<std::future<std::map<int, int>>> orders;
  for (int i = 0; i < callers; ++i) {
    lookups.push_back(
        std::async(std::launch::async, callUntilEnd, "GET", "/safe/x"));
    orders.push_back(
        std::async(std::launch::async, callUntilEnd, "POST", "/once/x"));
  }
  long most = 0;
  while (std::chrono::steady_clock::now() < end) {
    most = std::max(most, anonymousKb(fleet.process("n1").id()));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::map<int, int> lookupStatuses;
  std::map<int, int> orderStatuses;
  for (auto &it : lookups)
    for (auto [status, n] : it.get())
      lookupStatuses[status] += n;
  for (auto &it : orders)
    for (auto [status, n] : it.get())
      orderStatuses[status] += n;
  std::string seen;
  for (auto [status, n] : lookupStatuses)
    seen += std::to_string(n) + " lookups: " + std::to_string(status) + "; ";
  for (auto [status, n] : orderStatuses)
    seen += std::to_string(n) + " orders: " + std::to_string(status) + "; ";
  INFO(seen);
  CHECK(fleet.process("n1").isRunning());
  CHECK(most > 0);
  CHECK(most < MemoryLimitKb);
  CHECK(lookupStatuses.size() == 1);
  CHECK(lookupStatuses[200] > 0);
  orderStatuses.erase(503);
  CHECK(orderStatuses[502] > 0);
  CHECK(orderStatuses[200] > orderStatuses[502]);
  CHECK(orderStatuses.size() == 2);
}
