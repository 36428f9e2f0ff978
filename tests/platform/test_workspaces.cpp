#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds CallLimit{3'000};

json configWithKeys(int version, const json &keys) {
  json config = defaultConfig(version);
  config["tenants"] = {{{"name", "red"}, {"api_keys", keys}}};
  json open = config["listeners"][0]["route_rules"][0];
  open["name"] = "open";
  open["match"]["path_prefix"] = "/open/";
  open["public"] = true;
  config["listeners"][0]["route_rules"].push_back(open);
  return config;
}

HttpReply callWithKey(PlatformFleet &fleet, const std::string &node,
                      const std::string &target, const std::string &key) {
  static int attempts = 0;
  HttpCall call{"GET",
                target,
                {{"Host", "h.example"},
                 {"Attempt-Id", "keyed-" + std::to_string(++attempts)},
                 {"Tenant", "forged"},
                 {"Remaining-Milliseconds", "1500"}},
                ""};
  if (!key.empty())
    call.Headers.push_back({"Api-Key", key});
  return callOnce(fleet.node(node).Http, call, CallLimit);
}

/// What the server that ran the request of a reply received; null if none did.
json runOf(PlatformFleet &fleet, const HttpReply &reply) {
  std::string id = reply.header("Attempt-Id");
  for (const char *node : {"n1", "n2"}) {
    json seen = fleet.controlServer(node, json::object());
    if (seen["runs"].contains(id) && seen["last"]["id"] == id)
      return seen["last"];
  }
  return {};
}

std::string allLogs(const PlatformFleet &fleet) {
  std::ostringstream out;
  for (const auto &it : std::filesystem::directory_iterator(fleet.folder()))
    if (it.path().extension() == ".err")
      out << std::ifstream(it.path()).rdbuf();
  return out.str();
}

} // namespace

// Guards against keys that leave the entry, and against nodes that accept
// withdrawn keys.
TEST_CASE("keys identify callers and can be withdrawn", "[keys-withdrawn]") {
  PlatformFleet fleet;
  fleet.startStore();
  for (const char *node : {"n1", "n2"}) {
    fleet.startNode(node);
    fleet.startServer(node);
  }
  fleet.configure(configWithKeys(1, {"secret-one", "secret-two"}));
  for (const char *node : {"n1", "n2"})
    TestFleet::await("node serves", [&] {
      return callWithKey(fleet, node, "/safe/x", "secret-one").Status == 200;
    });
  for (const char *node : {"n1", "n2"}) {
    CHECK(callWithKey(fleet, node, "/safe/x", "other").Status == 401);
    CHECK(callWithKey(fleet, node, "/safe/x", "").Status == 401);
    HttpReply open = callWithKey(fleet, node, "/open/x", "");
    CHECK(open.Status == 200);
    json run = runOf(fleet, open);
    REQUIRE(run.is_object());
    CHECK(run["key"] == "");
    CHECK(run["tenant"] == "");
    HttpReply keyed = callWithKey(fleet, node, "/safe/x", "secret-two");
    CHECK(keyed.Status == 200);
    run = runOf(fleet, keyed);
    REQUIRE(run.is_object());
    CHECK(run["key"] == "");
    CHECK(run["tenant"] == "red");
  }
  fleet.configure(configWithKeys(2, {"secret-two"}));
  for (const char *node : {"n1", "n2"}) {
    TestFleet::await("key withdrawn", [&] {
      return callWithKey(fleet, node, "/safe/x", "secret-one").Status == 401;
    });
    CHECK(callWithKey(fleet, node, "/safe/x", "secret-two").Status == 200);
    CHECK(fleet.statusOf(node).dump().find("secret") == std::string::npos);
  }
  CHECK(allLogs(fleet).find("secret") == std::string::npos);
}
