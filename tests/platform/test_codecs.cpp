#include "libfleet/node/nodesettings.h"
#include "libhickoryglade/random.h"
#include "libhickoryglade/routetable.h"
#include "platform/bounds.h"
#include "platform/configdocument.h"
#include "platform/dialect.h"
#include "platform/endpointmessage.h"
#include "platform/storeclient.h"
#include "platform/storedepartures.h"
#include "platform/storedirectory.h"

#include <catch2/catch.hpp>

#include <absl/strings/escaping.h>

using namespace hickoryglade;
using namespace hickoryglade::platform;
using nlohmann::json;

namespace {

/// Corrupts valid input for a parser: truncates it, or changes, duplicates or
/// removes bytes.
std::string corrupt(std::string text, Random &rng) {
  std::uint64_t changes = 1 + uniform(rng, 4);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    std::size_t at = uniform(rng, text.size());
    switch (uniform(rng, 5)) {
    case 0:
      text.resize(at);
      break;
    case 1:
      text[at] = char(uniform(rng, 256));
      break;
    case 2:
      text.insert(at, text.substr(at / 2, 1 + uniform(rng, 8)));
      break;
    case 3:
      text.erase(at, 1 + uniform(rng, 8));
      break;
    default:
      text[at] = "{}[]\",:0-"[uniform(rng, 9)];
      break;
    }
  }
  return text;
}

constexpr int CorruptedInputs = 20'000;

json validConfig() {
  return json::parse(R"({"version":7,"base_version":5,
    "limits":{"header_bytes":16384,"body_bytes":1000,"header_timeout_s":3,
              "idle_timeout_s":15},
    "clusters":[{"name":"a","health_path":"/health"},{"name":"b"}],
    "listeners":[{"hostname":"x.example","route_rules":[
      {"name":"r1","kind":"safe","target_latency_s":0.8,"priority":2,
       "match":{"path_prefix":"/p/"},
       "action":{"traffic_split":[{"service":"a","weight":90},
                                  {"service":"b","weight":10}],
                 "timeout_s":1.5,"max_attempts":2}},
      {"name":"r2","kind":"non_idempotent","target_latency_s":0.5,"priority":0,
       "match":{"path_prefix":"/q/"},
       "action":{"service":"b","timeout_s":1.2,"max_attempts":3}}]}]})");
}

std::string validHeartbeat() {
  return R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
         R"("slots":3,"state":"draining","cold_remaining_s":0,"sequence":4,)"
         R"("born":1700000000000})";
}

fleet::HttpRequest heartbeatRequest(const std::string &body) {
  fleet::HttpRequest request;
  request.Method = "POST";
  request.Target = "/rpc?call=instances.heartbeat&of=i-1";
  request.Content = std::make_shared<const std::string>(body);
  return request;
}

bool isRefused(const json &config) {
  std::vector<SettingsFault> faults;
  auto document = parseConfig(config.dump(), faults);
  return !document && !faults.empty();
}

} // namespace

TEST_CASE("a configuration is translated into a settings tree") {
  std::vector<SettingsFault> faults;
  auto document = parseConfig(validConfig().dump(), faults);
  REQUIRE(document);
  CHECK(document->Version == 7);
  SettingsState state;
  REQUIRE(replaceTree(state, *document));
  RouteTable routes(state.Tree);
  const Route *split = routes.find("x.example", "/p/1");
  REQUIRE(split);
  CHECK(split->Split ==
        std::vector<SplitPart>{{"shared/a", 90}, {"shared/b", 10}});
  CHECK(split->Policy.isIdempotent("POST"));
  CHECK(split->Policy.TimeLimit == Millis(1'500));
  CHECK(split->Policy.TargetLatency == Millis(800));
  const Route *plain = routes.find("x.example", "/q/1");
  REQUIRE(plain);
  CHECK(plain->Service == "shared/b");
  CHECK_FALSE(plain->Policy.isIdempotent("GET"));
  CHECK(plain->Policy.MaxAttempts == 3);
  CHECK(plain->Policy.MaxBodyBytes == 1'000);
  CHECK(routes.find("x.example", "/q") == nullptr);
}

TEST_CASE(
    "the kind of a route determines whether its requests are idempotent") {
  for (const auto &[kind, isIdempotent] : std::map<std::string, bool>{
           {"safe", true}, {"download", true}, {"non_idempotent", false}}) {
    json config = validConfig();
    config["listeners"][0]["route_rules"][1]["kind"] = kind;
    std::vector<SettingsFault> faults;
    auto document = parseConfig(config.dump(), faults);
    REQUIRE(document);
    SettingsState state;
    REQUIRE(replaceTree(state, *document));
    RouteTable routes(state.Tree);
    CHECK(routes.find("x.example", "/q/1")->Policy.isIdempotent("POST") ==
          isIdempotent);
  }
}

TEST_CASE(
    "the drain limit is the grace period less linger and shutdown margin") {
  fleet::NodeSettings settings;
  settings.Linger = Millis(2'500);
  settings.DrainLimit = Millis(2'800);
  CHECK(fitSettings(settings).DrainLimit == Millis(2'800));
  CHECK(fitSettings(settings).GateDrainLimit == Millis(0));
  settings.PlatformBounds["grace_period_s"] = 10;
  CHECK(fitSettings(settings).DrainLimit == Millis(6'800));
  CHECK(fitSettings(settings).GateDrainLimit == Millis(400));
  settings.PlatformBounds["grace_period_s"] = 1;
  CHECK(fitSettings(settings).DrainLimit == Millis(0));
  CHECK(fitSettings(settings).GateDrainLimit == Millis(0));
}

TEST_CASE("a node's record holds its address and data centre") {
  fleet::DirectoryEntry entry{"10.0.0.9:7600", "zone-a"};
  CHECK(decodeEntry(encodeEntry(entry)) == entry);
  // The format of the previous release.
  CHECK(decodeEntry("10.0.0.9:7600") ==
        fleet::DirectoryEntry{"10.0.0.9:7600", ""});
  for (const char *odd : {"", " ", "zone-a", "10.0.0.9 zone-a", "\xff\xfe"})
    CHECK_FALSE(decodeEntry(odd));
}

TEST_CASE("a fault reports the path and the value") {
  json config = validConfig();
  config["listeners"][0]["route_rules"][1]["kind"] = "sometimes";
  std::vector<SettingsFault> faults;
  REQUIRE_FALSE(parseConfig(config.dump(), faults));
  CHECK(faults.front().Where == "rule r2.kind");
  CHECK(faults.front().Reason.find("not sometimes") != std::string::npos);
  CHECK(versionOf(config.dump()) == 7);
  CHECK(versionOf("{\"version\":") == 0);
}

// A request of one second is not long if its target latency is three seconds.
TEST_CASE(
    "requests are long above the longest target latency of their service") {
  json config = validConfig();
  json &rules = config["listeners"][0]["route_rules"];
  rules[0]["target_latency_s"] = 3;
  std::vector<SettingsFault> faults;
  auto document = parseConfig(config.dump(), faults);
  REQUIRE(document);
  CHECK(document->Values["/shared/a"]["long_after_ms"] == 3'000);
  // b receives a tenth of the split and has a route with a target of 0.5 s.
  CHECK(document->Values["/shared/b"]["long_after_ms"] == 3'000);
}

TEST_CASE("a configuration with any fault is rejected as a whole") {
  json config = validConfig();
  json &rule = config["listeners"][0]["route_rules"][1];
  SECTION("unknown service") { rule["action"]["service"] = "c"; }
  SECTION("unknown kind") { rule["kind"] = "sometimes"; }
  SECTION("missing name") { rule.erase("name"); }
  SECTION("time-out that is not a number") {
    rule["action"]["timeout_s"] = "1";
  }
  SECTION("negative time-out") { rule["action"]["timeout_s"] = -1; }
  SECTION("two rules with the same name, host and prefix") {
    rule["name"] = "r1";
    rule["match"]["path_prefix"] = "/p/";
    rule["action"]["service"] = "a";
    config["listeners"][0]["route_rules"].push_back(rule);
  }
  SECTION("negative weight") {
    config["listeners"][0]["route_rules"][0]["action"]["traffic_split"][0]
          ["weight"] = -1;
  }
  SECTION("missing limits") { config.erase("limits"); }
  SECTION("missing version") { config.erase("version"); }
  SECTION("version that is a string") { config["version"] = "8"; }
  SECTION("listeners that are not a list") {
    config["listeners"] = json::object();
  }
  SECTION("empty traffic split") {
    config["listeners"][0]["route_rules"][0]["action"]["traffic_split"] =
        json::array();
  }
  CHECK(isRefused(config));
}

TEST_CASE("heartbeats are parsed to announcements or rejected as malformed") {
  auto message = parseEndpointMessage(heartbeatRequest(validHeartbeat()));
  REQUIRE(std::holds_alternative<Announcement>(message));
  const auto &facts = std::get<Announcement>(message);
  CHECK(facts.Name == "i-1");
  CHECK(facts.Service == "shared/a");
  CHECK(facts.IsDraining);
  CHECK(facts.StartedAtMs == 1'700'000'000'000);
  CHECK(facts.Sequence == 4);
  for (const char *key :
       {"service", "address", "slots", "state", "sequence", "born"}) {
    json heartbeat = json::parse(validHeartbeat());
    heartbeat.erase(key);
    CHECK(std::holds_alternative<fleet::MalformedAnnouncement>(
        parseEndpointMessage(heartbeatRequest(heartbeat.dump()))));
    heartbeat[key] = json::array();
    CHECK(std::holds_alternative<fleet::MalformedAnnouncement>(
        parseEndpointMessage(heartbeatRequest(heartbeat.dump()))));
  }
  fleet::HttpRequest other = heartbeatRequest("");
  other.Target = "/v1/endpoints";
  CHECK(std::holds_alternative<std::monostate>(parseEndpointMessage(other)));
}

TEST_CASE("printed node settings parse to the same settings") {
  const std::string text = R"({"node": "n1", "data_centre": "dc-1",
    "listen": {"http": "127.0.0.1:1", "fleet": "127.0.0.1:2",
               "admin": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
    "log": {"address": "127.0.0.1:5"}, "linger_ms": 77})";
  fleet::NodeSettingsResult read = fleet::parseNodeSettings(text);
  REQUIRE(read.Faults.empty());
  fleet::NodeSettingsResult again =
      fleet::parseNodeSettings(fleet::toJson(read.Settings).dump());
  CHECK(again.Faults.empty());
  CHECK(again.Settings == read.Settings);
  CHECK(again.Settings.MetricsAddress == "127.0.0.1:4");
}

TEST_CASE("encoded records decode to the same keys and values") {
  std::string bytes = std::string(16, '\0') + encodeRecord({"k", "value"}) +
                      encodeRecord({"gone", ""});
  auto records = decodeRecords(bytes, {5, 1});
  REQUIRE(records);
  CHECK(records->Next == StorePosition{7, 1});
  CHECK(records->Records ==
        std::vector<KeyedRecord>{{"k", "value"}, {"gone", ""}});
  CHECK_FALSE(decodeRecords("short", {}));
  CHECK_FALSE(decodeRecords(bytes.substr(0, bytes.size() - 1), {5, 1}));
}

TEST_CASE("table pages are decoded and malformed ones rejected") {
  json page = {{"items",
                {{{"key", "config"},
                  {"value", absl::Base64Escape("{}")},
                  {"offset", 4}}}},
               {"has_more", true},
               {"end_offset", 6}};
  auto read = decodePage(page.dump());
  REQUIRE(read);
  CHECK(read->Values.at("config") == "{}");
  CHECK(read->HasMore);
  CHECK(read->Next == 6);
  page["items"][0]["value"] = "not base64!";
  CHECK_FALSE(decodePage(page.dump()));
  CHECK_FALSE(decodePage("[]"));
}

TEST_CASE("the platform's bounds become settings of the root") {
  json root =
      rootFromBounds({{"retry_budget_ratio", 0.2}, {"retry_budget_slack", 58}});
  CHECK(root["retry_budget_percent"] <= 20);
  CHECK(root["retry_allowance"] <= 58);
  CHECK(checkSettingsValue("/", root).empty());
  CHECK(rootFromBounds({}).empty());
}

TEST_CASE("an answer is matched to its request by id and proof header") {
  fleet::HttpDialect dialect = makeDialect();
  auto answer = [](int status, std::vector<fleet::HttpHeader> headers) {
    return fleet::HttpResponse{status, std::move(headers),
                               std::make_shared<const std::string>()};
  };
  auto match = [&](const fleet::HttpResponse &it) {
    return matchResponse(dialect, it, "1");
  };
  using fleet::ResponseMatch;
  CHECK(
      match(answer(200, {{"Attempt-Id", "1"}, {"Response-Signature", "s"}})) ==
      ResponseMatch::Own);
  CHECK(
      match(answer(200, {{"Attempt-Id", "2"}, {"Response-Signature", "s"}})) ==
      ResponseMatch::Late);
  CHECK(match(answer(200, {{"Attempt-Id", "1"}})) == ResponseMatch::Unusable);
  CHECK(match(answer(200, {{"Response-Signature", "s"}})) ==
        ResponseMatch::Unusable);
  CHECK(match(answer(200, {{"Attempt-Id", "1"},
                           {"Response-Signature", "s"},
                           {"Content-Encoding", "gzip"}})) ==
        ResponseMatch::Unusable);
  CHECK(match(answer(500, {{"Attempt-Id", "1"}})) == ResponseMatch::Own);
  CHECK(dialect.IsNotRun(answer(503, {{"Not-Executed", "1"}})));
  CHECK(dialect.IsNotRun(answer(421, {{"Not-Executed", "1"}})));
  CHECK_FALSE(dialect.IsNotRun(answer(421, {})));
  CHECK_FALSE(dialect.IsNotRun(answer(503, {})));
  CHECK(formatRetryAfter(dialect, Millis(1'050)) == "1.050");
  CHECK(formatRetryAfter(fleet::defaultDialect(), Millis(1'050)) == "2");
}

TEST_CASE("departures survive encoding, and other values name none") {
  fleet::StoredDeparture departure{"n1", {"i-1", 1'000}, 2'000};
  KeyedRecord record = encodeDeparture(departure);
  CHECK(decodeDeparture(record.Value) == departure);
  CHECK(record.Key.size() < 256);
  CHECK(encodeDeparture({"n1", {"i-1", 1'001}, 2'000}).Key != record.Key);
  CHECK(encodeDeparture({"n1", {"i-1", 1'000}, 2'001}).Key != record.Key);
  const char *wrongType =
      R"({"node":1,"endpoint":"i","started_at_ms":1,"recorded_at_ms":2})";
  for (const char *it : {"", "x", "[]", R"({"node":"n1"})", wrongType})
    CHECK_FALSE(decodeDeparture(it));
}

TEST_CASE("parsers handle corrupted input") {
  Random rng(20'261'204);
  std::string config = validConfig().dump();
  std::string records =
      std::string(16, '\0') + encodeRecord({"config", config});
  std::string page = json{{"items", json::array()}, {"end_offset", 6}}.dump();
  int taken = 0;
  for (int i = 0; i < CorruptedInputs; ++i) {
    std::vector<SettingsFault> faults;
    auto document = parseConfig(corrupt(config, rng), faults);
    CHECK(document.has_value() == faults.empty());
    taken += document.has_value();
    parseEndpointMessage(heartbeatRequest(corrupt(validHeartbeat(), rng)));
    decodeRecords(corrupt(records, rng), {});
    decodePage(corrupt(page, rng));
  }
  CHECK(taken < CorruptedInputs);
}
