#include "libfleet/workspaces/calleridentity.h"
#include "platform/bounds.h"
#include "platform/configdocument.h"
#include "platform/dialect.h"

#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using namespace hickoryglade::fleet;
using nlohmann::json;

namespace {

Instant at(int ms) { return Instant(std::chrono::milliseconds(ms)); }

json configWithTenants() {
  json config = hickoryglade::testing::defaultConfig(1);
  config["tenants"] = {{{"name", "red"},
                        {"api_keys", {"red-1", "red-2"}},
                        {"priority", 1},
                        {"rate_per_s", 2.5},
                        {"burst", 3}},
                       {{"name", "blue"}, {"api_keys", {"blue-1"}}}};
  json call = config["listeners"][0]["route_rules"][0];
  call["name"] = "call";
  call["match"]["path_prefix"] = "/call/";
  call["public"] = true;
  config["listeners"][0]["route_rules"].push_back(call);
  return config;
}

FleetView viewOf(const json &config, json root = json::object()) {
  std::vector<SettingsFault> faults;
  auto document = platform::parseConfig(config.dump(), faults);
  REQUIRE(document);
  document->Values["/"].update(root);
  SettingsState state;
  replaceTree(state, *document);
  FleetView view;
  view.HasSettings = true;
  view.Routes = std::make_shared<const RouteTable>(state.Tree);
  view.Workspaces = std::make_shared<const WorkspaceTable>(state.Tree);
  return view;
}

struct Identified {
  std::optional<Error> Refusal;
  HttpRequest Request;
  Route MatchedRoute;
};

Identified identify(const FleetView &view, const std::string &target,
                    std::vector<HttpHeader> headers, Instant now = at(0)) {
  HttpDialect dialect = platform::makeDialect();
  Identified out;
  out.Request.Headers = std::move(headers);
  out.MatchedRoute = *view.Routes->find("h.example", target);
  out.Refusal =
      identifyCaller(view, dialect, now, out.Request, out.MatchedRoute);
  return out;
}

} // namespace

// Guards against keys that reach an endpoint, and workspaces that a caller
// names itself.
TEST_CASE("a caller's key is replaced by the name of its workspace",
          "[identity]") {
  FleetView view = viewOf(configWithTenants());
  Identified it =
      identify(view, "/safe/x", {{"api-key", "red-2"}, {"TENANT", "blue"}});
  CHECK_FALSE(it.Refusal);
  CHECK(headerValue(it.Request.Headers, "Api-Key").empty());
  CHECK(headerValue(it.Request.Headers, "Tenant") == "red");
  CHECK(it.Request.Headers.size() == 1);
  CHECK(it.MatchedRoute.Workspace == "red");
}

TEST_CASE("a missing or unknown key is refused where the route needs one",
          "[identity]") {
  FleetView view = viewOf(configWithTenants());
  for (const char *key : {"red", "red-11", "RED-1", ""}) {
    Identified it = identify(view, "/once/x", {{"Api-Key", key}});
    REQUIRE(it.Refusal);
    CHECK(it.Refusal->Kind == ErrorKind::UnknownKey);
    CHECK(statusOf(*it.Refusal) == 401);
  }
  CHECK(identify(view, "/once/x", {}).Refusal);
}

// Guards against a key or a workspace's name that passes through a public
// route.
TEST_CASE("a public route needs no key and names no workspace", "[identity]") {
  FleetView view = viewOf(configWithTenants());
  Identified it =
      identify(view, "/call/x", {{"Api-Key", "red-1"}, {"Tenant", "red"}});
  CHECK_FALSE(it.Refusal);
  CHECK(it.Request.Headers.empty());
  CHECK(it.MatchedRoute.Workspace == "shared");
}

TEST_CASE("without workspaces no header is touched", "[identity]") {
  FleetView view = viewOf(hickoryglade::testing::defaultConfig(1));
  Identified it =
      identify(view, "/safe/x", {{"Api-Key", "red-1"}, {"Tenant", "red"}});
  CHECK_FALSE(it.Refusal);
  CHECK(it.Request.Headers.size() == 2);
  CHECK(it.MatchedRoute == *view.Routes->find("h.example", "/safe/x"));
}

// Guards against a node without contact that serves withdrawn keys for longer
// than the operator allows.
TEST_CASE("keys are refused once the settings are older than allowed",
          "[identity]") {
  json root =
      platform::rootFromBounds({{"strict_revocation", 1}, {"revocation_s", 5}});
  REQUIRE(root["key_max_age_ms"] <= 5'000);
  FleetView view = viewOf(configWithTenants(), root);
  auto asOf = std::make_shared<SettingsAsOf>();
  asOf->set(at(10'000));
  view.AsOf = asOf;
  std::vector<HttpHeader> headers = {{"Api-Key", "red-1"}};
  CHECK_FALSE(identify(view, "/safe/x", headers, at(11'000)).Refusal);
  Identified late = identify(view, "/safe/x", headers, at(15'001));
  REQUIRE(late.Refusal);
  CHECK(late.Refusal->Kind == ErrorKind::KeysUnconfirmed);
  CHECK(statusOf(*late.Refusal) == 503);
  CHECK_FALSE(identify(view, "/call/x", {}, at(15'001)).Refusal);
  FleetView lenient = viewOf(configWithTenants(),
                             platform::rootFromBounds({{"revocation_s", 5}}));
  CHECK_FALSE(identify(lenient, "/safe/x", headers, at(99'000)).Refusal);
}

TEST_CASE("workspaces of a configuration are checked", "[identity]") {
  auto faultsOf = [](const std::function<void(json &)> &change) {
    json config = configWithTenants();
    change(config);
    std::vector<SettingsFault> faults;
    platform::parseConfig(config.dump(), faults);
    return faults.size();
  };
  CHECK(faultsOf([](json &) {}) == 0);
  CHECK(faultsOf([](json &c) { c["tenants"][1]["api_keys"] = {"red-1"}; }) ==
        1);
  CHECK(faultsOf([](json &c) { c["tenants"][1]["name"] = "red"; }) == 1);
  CHECK(faultsOf([](json &c) { c["tenants"][1]["name"] = "a\nb"; }) == 1);
  CHECK(faultsOf([](json &c) { c["tenants"][1]["api_keys"] = {7}; }) == 1);
  CHECK(faultsOf([](json &c) { c["tenants"][0]["rate_per_s"] = -1; }) == 1);
  CHECK(faultsOf([](json &c) { c["tenants"] = 3; }) == 1);
}

// Guards against the fault that refused a customer's whole configuration.
TEST_CASE("an upload may run at most once", "[identity]") {
  json config = hickoryglade::testing::defaultConfig(1);
  config["listeners"][0]["route_rules"][0]["kind"] = "upload";
  platform::ConfigNotes notes;
  std::vector<SettingsFault> faults;
  auto document = platform::parseConfig(config.dump(), faults, &notes);
  REQUIRE(document);
  CHECK(notes.HasCompetingCallers);
  FleetView view = viewOf(config);
  CHECK_FALSE(
      view.Routes->find("h.example", "/safe/x")->Policy.isIdempotent("GET"));
  platform::parseConfig(hickoryglade::testing::defaultConfig(1).dump(), faults,
                        &notes);
  CHECK_FALSE(notes.HasCompetingCallers);
}
