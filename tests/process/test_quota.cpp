#include "process/testfleet.h"

#include "libhickoryglade/quota/quotaowners.h"
#include "libhickoryglade/workspaces/keydigest.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> Nodes{"n1", "n2", "n3"};

void startNodes(TestFleet &fleet, double perSecond) {
  fleet.startLog();
  for (const std::string &node : Nodes)
    fleet.startNode(node);
  fleet.startEndpoint("e1", "n1");
  fleet.startEndpoint("e2", "n2");
  fleet.publishDefaults({{"floor", 1}, {"requires_key", true}});
  fleet.publish("/caller",
                {{"key_digests", {hickoryglade::keyDigest("secret")}},
                 {"quota_per_second", perSecond},
                 {"quota_burst", perSecond}});
  fleet.awaitReady();
}

HttpReply callWithKey(TestFleet &fleet, const std::string &node) {
  HttpCall call;
  call.Headers = {{"Host", "s.example"}, {"Workspace-Key", "secret"}};
  return callOnce(fleet.node(node).Http, call, milliseconds(5'000));
}

} // namespace

// Guards against each node giving out the whole quota.
TEST_CASE("the nodes of a fleet share the quota of a workspace", "[quota]") {
  TestFleet fleet;
  startNodes(fleet, 5);
  auto isServed = [&] { return callWithKey(fleet, "n1").Status == 200; };
  fleet.await("the workspace to be known", isServed, 7'000);
  // A full bucket.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  auto begin = std::chrono::steady_clock::now();
  int served = 0;
  int refused = 0;
  for (int i = 0; i < 90; ++i) {
    HttpReply reply = callWithKey(fleet, Nodes[std::size_t(i) % Nodes.size()]);
    served += reply.Status == 200;
    if (reply.Status != 429)
      continue;
    ++refused;
    CHECK(reply.problem("kind") == "quota_exceeded");
    CHECK(reply.problem("run") == "not_run");
    CHECK(!reply.header("Retry-After").empty());
  }
  double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  INFO("in " << seconds << " s");
  CHECK(served + refused == 90);
  CHECK(served >= 5);
  CHECK(served <= int(5 + 2 + 5 * seconds) + 1);
}

// Guards against requests that wait for a dead owner, or are refused for good.
TEST_CASE("a workspace is served after its quota's owner has died", "[quota]") {
  TestFleet fleet;
  startNodes(fleet, 20);
  auto isServed = [&] { return callWithKey(fleet, "n1").Status == 200; };
  fleet.await("the workspace to be known", isServed, 7'000);
  std::vector<hickoryglade::QuotaNode> all;
  for (const std::string &node : Nodes)
    all.push_back({node});
  std::string owner = hickoryglade::rankOwners(all, "caller").front().Name;
  fleet.process(owner).signal(SIGKILL);
  int served = 0;
  constexpr int calls = 60;
  for (int i = 0; i < calls; ++i) {
    const std::string &node = Nodes[std::size_t(i) % Nodes.size()];
    if (node == owner)
      continue;
    auto begin = std::chrono::steady_clock::now();
    HttpReply reply = callWithKey(fleet, node);
    served += reply.Status == 200;
    if (reply.Status == 429)
      CHECK(std::chrono::steady_clock::now() - begin < milliseconds(500));
    std::this_thread::sleep_for(milliseconds(150));
  }
  CHECK(served >= calls / 3);
  auto isServedElsewhere = [&] {
    return callWithKey(fleet, owner == "n3" ? "n2" : "n3").Status == 200;
  };
  fleet.await("a new owner", isServedElsewhere, 10'000);
}
