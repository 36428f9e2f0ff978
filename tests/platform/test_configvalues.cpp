#include "libhickoryglade/routetable.h"
#include "libhickoryglade/workspaces/workspacetable.h"
#include "platform/configdocument.h"
#include "platform/endpointmessage.h"
#include "platform/platformfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>

/// Values of the operator's configuration for which the pages set no limits.

using namespace hickoryglade;
using namespace hickoryglade::platform;
using nlohmann::json;

namespace {

/// Highest weight in the settings tree of earlier releases.
constexpr std::int64_t MaxTreeWeight = 1'000'000;

json part(const std::string &service, const json &weight) {
  return {{"service", service}, {"weight", weight}};
}

json splitConfig(const std::vector<json> &weights) {
  json config = hickoryglade::testing::defaultConfig(3);
  json &action = config["listeners"][0]["route_rules"][0]["action"];
  action.erase("service");
  for (std::size_t i = 0; i < weights.size(); ++i)
    action["traffic_split"].push_back(part(i == 0 ? "s" : "t", weights[i]));
  return config;
}

struct Translated {
  std::vector<SettingsFault> Faults;
  ConfigNotes Notes;
  SettingsState State;
  RouteTable Routes{SettingsTree{}};
};

Translated translate(const json &config) {
  Translated out;
  auto document = parseConfig(config.dump(), out.Faults, &out.Notes);
  if (document)
    replaceTree(out.State, *document);
  out.Routes = RouteTable(out.State.Tree);
  return out;
}

const Route &route(const Translated &it, const std::string &target) {
  const Route *found = it.Routes.find("h.example", target);
  REQUIRE(found);
  return *found;
}

/// Weights of the route at /safe/ in the tree.
std::vector<std::int64_t> weightsOf(const std::vector<json> &weights) {
  Translated it = translate(splitConfig(weights));
  REQUIRE(it.Faults.empty());
  std::vector<std::int64_t> all;
  for (const SplitPart &split : route(it, "/safe/x").Split)
    all.push_back(split.Weight);
  return all;
}

json &rule(json &config, std::size_t i) {
  return config["listeners"][0]["route_rules"][i];
}

using Change = std::function<void(json &)>;

/// Translates the default configuration with a change, which has to come into
/// force.
Translated translateChanged(const Change &change) {
  json config = hickoryglade::testing::defaultConfig(3);
  change(config);
  Translated it = translate(config);
  INFO((it.Faults.empty() ? "" : it.Faults[0].Where + it.Faults[0].Reason));
  REQUIRE(it.Faults.empty());
  return it;
}

std::string adjusted(const Translated &it) {
  return it.Notes.Adjustments.size() == 1 ? it.Notes.Adjustments[0].Where : "";
}

} // namespace

// Guards against a version that no node takes since its weights are no whole
// numbers up to a million.
TEST_CASE("a split has the proportions of any weights", "[config-values]") {
  using Weights = std::vector<std::int64_t>;
  CHECK(weightsOf({75, 25}) == Weights{75, 25});
  CHECK(weightsOf({0, 1'000'000}) == Weights{0, 1'000'000});
  CHECK(weightsOf({0.75, 0.25}) == Weights{1'000'000, 333'333});
  CHECK(weightsOf({1e300, 1e299}) == Weights{1'000'000, 100'000});
  CHECK(weightsOf({3'000'000, 1'000'000}) == Weights{1'000'000, 333'333});
  CHECK(weightsOf({5e-324, 5e-324}) == Weights{1'000'000, 1'000'000});
  // No part above zero gets nothing, and none of zero gets anything.
  CHECK(weightsOf({1e-9, 1'000}) == Weights{1, 1'000'000});
  CHECK(weightsOf({0, 0.5}) == Weights{0, 1'000'000});
  // Weights that are all zero name no proportions.
  CHECK(weightsOf({0, 0}) == Weights{1'000'000, 1'000'000});
}

// Guards against an older release that reads another tree out of weights which
// it accepts itself.
TEST_CASE("weights that are whole numbers stay as they are",
          "[config-values]") {
  Translated it = translate(splitConfig({90, 10}));
  CHECK(it.Notes.Adjustments.empty());
  Translated fractions = translate(splitConfig({0.9, 0.1}));
  CHECK(adjusted(fractions) == "rule safe.traffic_split");
}

// Guards against a version that is rejected as a whole for a value for which
// the operator has no limit.
TEST_CASE("the nearest value is applied for one that is out of bounds",
          "[config-values]") {
  Translated it = translateChanged(
      [](json &c) { rule(c, 0)["action"]["timeout_s"] = 86'400; });
  CHECK(route(it, "/safe/x").Policy.TimeLimit == std::chrono::hours(24));
  CHECK(it.Notes.Adjustments.empty());
  it = translateChanged(
      [](json &c) { rule(c, 0)["action"]["timeout_s"] = 200'000; });
  CHECK(route(it, "/safe/x").Policy.TimeLimit == std::chrono::hours(24));
  CHECK(adjusted(it) == "rule safe.timeout_s");
  CHECK(it.Notes.Adjustments[0].Reason == "86400.0 is applied, not 200000");
  it = translateChanged([](json &c) { rule(c, 0)["target_latency_s"] = 1e12; });
  CHECK(route(it, "/safe/x").Policy.TargetLatency == std::chrono::hours(24));
  it = translateChanged(
      [](json &c) { rule(c, 0)["action"]["max_attempts"] = 1'000; });
  CHECK(route(it, "/safe/x").Policy.MaxAttempts == 100);
  CHECK(adjusted(it) == "rule safe.max_attempts");
  it = translateChanged(
      [](json &c) { rule(c, 0)["action"]["max_attempts"] = 0; });
  CHECK(route(it, "/safe/x").Policy.MaxAttempts == 1);
  it = translateChanged([](json &c) { rule(c, 0)["priority"] = 5'000; });
  CHECK(route(it, "/safe/x").Policy.Priority == 100);
  CHECK(adjusted(it) == "rule safe.priority");
  it = translateChanged([](json &c) { c["limits"]["body_bytes"] = 1e12; });
  CHECK(route(it, "/safe/x").Policy.MaxBodyBytes == 64 * 1024 * 1024);
  CHECK(adjusted(it) == "limits.body_bytes");
  it = translateChanged([](json &c) { c["limits"]["header_bytes"] = 1; });
  CHECK(adjusted(it) == "limits.header_bytes");
}

// Guards against names that the operator may choose and the tree does not
// allow.
TEST_CASE("rules, services and hosts may have any names", "[config-values]") {
  Translated it = translateChanged([](json &c) {
    rule(c, 0)["name"] = "past menus / read";
    rule(c, 1)["name"] = std::string(300, 'x');
  });
  CHECK(route(it, "/safe/x").Service == "shared/s");
  CHECK(route(it, "/once/x").Service == "shared/s");
  it = translateChanged([](json &c) {
    rule(c, 1)["name"] = "safe";
    json other = rule(c, 0);
    other["action"]["timeout_s"] = 7;
    c["listeners"].push_back(
        {{"hostname", "caf\xc3\xa9.example"}, {"route_rules", {other}}});
  });
  CHECK(route(it, "/safe/x").Policy.isIdempotent("POST"));
  CHECK_FALSE(route(it, "/once/x").Policy.isIdempotent("POST"));
  const Route *other = it.Routes.find("caf\xc3\xa9.example", "/safe/x");
  REQUIRE(other);
  CHECK(other->Policy.TimeLimit == std::chrono::seconds(7));
  it = translateChanged([](json &c) {
    c["clusters"].push_back({{"name", "menu proofs"}});
    rule(c, 0)["action"]["service"] = "menu proofs";
  });
  // Heartbeats name the service as the configuration does.
  fleet::HttpRequest heartbeat;
  heartbeat.Method = "POST";
  heartbeat.Target = "/rpc?call=instances.heartbeat&of=i-1";
  heartbeat.Content = std::make_shared<const std::string>(
      R"({"service":"menu proofs","address":"10.0.0.9:80","slots":3,)"
      R"("state":"ready","sequence":4,"born":1700000000000})");
  auto message = parseEndpointMessage(heartbeat);
  REQUIRE(std::holds_alternative<Announcement>(message));
  CHECK(route(it, "/safe/x").Service ==
        std::get<Announcement>(message).Service);
}

// Guards against workspaces that are rejected for their names, and against
// endpoints that are told another name.
TEST_CASE("workspaces may have any names", "[config-values]") {
  std::string name =
      GENERATE(as<std::string>{}, "shared", "Caf\xc3\xa9 / 9 de Julio", "red");
  Translated it = translateChanged([&](json &c) {
    c["tenants"] = {{{"name", name},
                     {"api_keys", {"key-1"}},
                     {"priority", 400},
                     {"rate_per_s", 1e12}}};
  });
  WorkspaceTable table(it.State.Tree);
  const hickoryglade::Workspace *workspace = table.findByKey("key-1");
  REQUIRE(workspace);
  CHECK(endpointName(*workspace) == name);
  CHECK(workspace->Priority == 100);
  CHECK(workspace->Limit.PerSecond == 1e9);
  CHECK(it.Notes.Adjustments.size() == 2);
}

// Guards against header fields that a name could add to requests.
TEST_CASE("a workspace's name may hold no control characters",
          "[config-values]") {
  json config = hickoryglade::testing::defaultConfig(3);
  config["tenants"] = {{{"name", "a\r\nX: y"}, {"api_keys", {"key-1"}}}};
  CHECK_FALSE(translate(config).Faults.empty());
}

namespace {

rc::Gen<double> anyNumber() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::inRange(0, 1'000'000), rc::gen::inRange(-12, 13)),
      [](const std::pair<int, int> &it) {
        return it.first * std::pow(10.0, it.second);
      });
}

rc::Gen<std::string> anyName() {
  return rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::inRange<char>(char(0x20), char(0x7f))));
}

json anyRule(int index) {
  json rule = {{"name", *anyName()},
               {"kind", *rc::gen::element<std::string>("safe", "non_idempotent",
                                                       "download", "upload")},
               {"target_latency_s", *anyNumber() + 1e-12},
               {"priority", *rc::gen::inRange(0, 100'000)},
               {"match", {{"path_prefix", "/p" + std::to_string(index) + "/"}}},
               {"action",
                {{"timeout_s", *anyNumber() + 1e-12},
                 {"max_attempts", *rc::gen::inRange(0, 100'000)}}}};
  if (*rc::gen::arbitrary<bool>())
    rule["action"]["service"] = "s";
  else
    rule["action"]["traffic_split"] = {part("s", *anyNumber()),
                                       part("t", *anyNumber())};
  return rule;
}

} // namespace

// Guards against any document of the operator's grammar that leaves the nodes
// on the version before it.
TEST_CASE("each document of the operator's grammar comes into force",
          "[config-values]") {
  bool holds = rc::check([] {
    json config = hickoryglade::testing::defaultConfig(3);
    json &rules = config["listeners"][0]["route_rules"];
    rules = json::array();
    int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i)
      rules.push_back(anyRule(i));
    for (const char *key : {"header_bytes", "body_bytes"})
      config["limits"][key] = *anyNumber();
    for (const char *key : {"header_timeout_s", "idle_timeout_s"})
      config["limits"][key] = *anyNumber() + 1e-12;
    Translated it = translate(config);
    RC_ASSERT(it.Faults.empty());
    for (int i = 0; i < count; ++i) {
      const Route *route =
          it.Routes.find("h.example", "/p" + std::to_string(i) + "/x");
      RC_ASSERT(route);
      std::string kind = rules[i]["kind"];
      RC_ASSERT(route->Policy.isIdempotent("POST") ==
                (kind == "safe" || kind == "download"));
      const json &action = rules[i]["action"];
      if (!action.contains("traffic_split"))
        continue;
      RC_ASSERT(route->Split.size() == 2);
      std::array<double, 2> given = {action["traffic_split"][0]["weight"],
                                     action["traffic_split"][1]["weight"]};
      for (std::size_t n : {0, 1}) {
        std::int64_t weight = route->Split[n].Weight;
        RC_ASSERT(weight >= 0 && weight <= MaxTreeWeight);
        RC_ASSERT((weight > 0) == (given[n] > 0 || given[1 - n] == 0));
      }
      double sum = given[0] + given[1];
      if (sum == 0)
        continue;
      double share = double(route->Split[0].Weight) /
                     double(route->Split[0].Weight + route->Split[1].Weight);
      RC_ASSERT(std::abs(share - given[0] / sum) < 2e-6);
    }
  });
  CHECK(holds);
}
