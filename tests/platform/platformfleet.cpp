#include "platform/platformfleet.h"

#include "process/testfleet.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace hickoryglade::testing {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CallTimeout{3'000};

std::string program(const std::string &name) {
  return std::string(HICKORYGLADE_BUILD) + "/" + name;
}

json rule(const std::string &name, const std::string &prefix,
          const std::string &kind, const std::string &service) {
  return {{"name", name},
          {"kind", kind},
          {"target_latency_s", 0.8},
          {"priority", 1},
          {"match", {{"path_prefix", prefix}}},
          {"action",
           {{"service", service}, {"timeout_s", 2}, {"max_attempts", 2}}}};
}

} // namespace

json defaultConfig(int version, const std::string &service) {
  json clusters = json::array();
  for (const char *name : {"s", "t"})
    clusters.push_back({{"name", name},
                        {"health_path", "/health"},
                        {"connection_limit", 330}});
  return {{"version", version},
          {"limits",
           {{"header_bytes", 16'384},
            {"body_bytes", 1'000'000},
            {"header_timeout_s", 1},
            {"idle_timeout_s", 5}}},
          {"clusters", clusters},
          {"listeners",
           {{{"hostname", "h.example"},
             {"route_rules",
              {rule("safe", "/safe/", "safe", service),
               rule("once", "/once/", "non_idempotent", service)}}}}}};
}

PlatformFleet::PlatformFleet()
    : NodeProgram(program("src/hickorygladed/hickorygladed")) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "platform-XXXXXX").string();
  Folder = mkdtemp(pattern.data());
}

PlatformFleet::~PlatformFleet() {
  Processes.clear();
  std::filesystem::remove_all(Folder);
}

std::string PlatformFleet::file(const std::string &name) const {
  return Folder + "/" + name;
}

void PlatformFleet::startStore() {
  Store = Addresses.next();
  Processes["store"] = ChildProcess(
      {program("tests/storestandin"), "--listen", Store}, file("store.err"));
}

void PlatformFleet::startNode(const std::string &name,
                              const std::string &service) {
  NodeAddresses &at = Nodes[name];
  if (at.Http.empty())
    at = {Addresses.next(), Addresses.next(), Addresses.next(),
          Addresses.next()};
  json settings = {{"node", name},
                   {"data_centre", "dc-1"},
                   {"service", service},
                   {"listen",
                    {{"http", at.Http},
                     {"fleet", at.Fleet},
                     {"admin", at.Admin},
                     {"ready", at.Ready}}},
                   {"platform",
                    {{"adapter", "metadata_store"},
                     {"address", Store},
                     {"root_defaults",
                      {{"failures_for_doubt", 1}, {"first_rest_ms", 300}}}}},
                   {"accept_before_ready", true},
                   {"announcement_limit_ms", 3'000},
                   {"linger_ms", 500},
                   {"drain_limit_ms", 2'000}};
  settings["platform"]["root_defaults"].update(RootDefaults);
  if (!PlatformBounds.is_null())
    settings["platform"]["bounds"] = PlatformBounds;
  settings.update(ExtraSettings);
  std::ofstream(file(name + ".json")) << settings.dump();
  Processes[name] = ChildProcess(
      {NodeProgram, "--settings", file(name + ".json")}, file(name + ".err"));
}

/// Returns the relay's address.
std::string PlatformFleet::startRelay(const std::string &node,
                                      const std::string &to) {
  std::string at = Addresses.next();
  std::string control = Addresses.next();
  std::vector<std::string> &controls = Nodes[node].RelayControls;
  controls.push_back(control);
  Processes["relay-" + node + std::to_string(controls.size())] =
      ChildProcess({program("tests/relay"), "--listen", at, "--to", to,
                    "--control", control},
                   file("relay.err"));
  return at;
}

void PlatformFleet::startRelayedNode(const std::string &name) {
  NodeAddresses &at = Nodes[name];
  at = {Addresses.next(), Addresses.next(), Addresses.next(), Addresses.next()};
  std::string store = std::exchange(Store, startRelay(name, Store));
  json settings = ExtraSettings;
  ExtraSettings["advertise"] = startRelay(name, at.Fleet);
  startNode(name);
  ExtraSettings = std::move(settings);
  Store = std::move(store);
}

void PlatformFleet::controlRelays(const std::string &node, const json &change) {
  for (const std::string &control : Nodes.at(node).RelayControls)
    controlRelay(control, change);
}

void PlatformFleet::cutFromStore(const std::string &node) {
  controlRelay(Nodes.at(node).RelayControls.front(),
               {{"freeze_in", true}, {"freeze_out", true}});
}

void PlatformFleet::controlRelay(const std::string &control,
                                 const json &change) {
  TestFleet::await("relay " + control, [&] {
    return callOnce(control, {"POST", "/control", {}, change.dump()},
                    CallTimeout)
               .Status == 200;
  });
}

void PlatformFleet::startNodes() {
  for (const char *node : {"n1", "n2"}) {
    startNode(node);
    startServer(node);
  }
  startNode("n3", "t");
  startServer("n3", "t");
  configure(defaultConfig(1));
  awaitServing();
}

void PlatformFleet::startDefault() {
  startStore();
  startNodes();
}

void PlatformFleet::startServer(const std::string &node,
                                const std::string &service) {
  std::string &at = Servers[node];
  at = Addresses.next();
  std::vector<std::string> command = {program("tests/serverstandin"),
                                      "--listen",
                                      at,
                                      "--control",
                                      Nodes.at(node).Admin,
                                      "--id",
                                      "i-" + node,
                                      "--service",
                                      service,
                                      "--beat-ms",
                                      std::to_string(HeartbeatMs),
                                      "--outbound",
                                      Nodes.at(node).Http};
  command.insert(command.end(), ServerOptions.begin(), ServerOptions.end());
  Processes["server-" + node] = ChildProcess(command, file("server.err"));
}

void PlatformFleet::configureText(const std::string &config) {
  auto isAccepted = [&] {
    return callOnce(Store, {"POST", "/_operator", {}, config}, CallTimeout)
               .Status == 200;
  };
  TestFleet::await("configuration", isAccepted);
}

json PlatformFleet::statusOf(const std::string &node) {
  HttpReply reply = callOnce(Nodes.at(node).Admin,
                             {"GET", "/v1/status", {}, ""}, CallTimeout);
  json status = json::parse(reply.Body, nullptr, false);
  return status.is_object() ? status : json();
}

std::int64_t PlatformFleet::settingsOf(const std::string &node) {
  json status = statusOf(node);
  return status.is_object() ? status.value("settings_next", std::int64_t{0})
                            : 0;
}

void PlatformFleet::appendToStore(const std::string &topic,
                                  const std::string &key,
                                  const std::string &value) {
  std::string content = char(key.size()) + key + value;
  std::string record;
  for (int shift : {24, 16, 8, 0})
    record += char((content.size() >> shift) & 0xff);
  callOnce(
      Store,
      {"POST", "/log-append?topic=" + topic + "&part=0", {}, record + content},
      CallTimeout);
}

json PlatformFleet::controlStore(const json &change) {
  HttpReply reply =
      callOnce(Store, {"POST", "/_control", {}, change.dump()}, CallTimeout);
  return json::parse(reply.Body, nullptr, false);
}

json PlatformFleet::controlServer(const std::string &node, const json &change) {
  HttpReply reply = callOnce(
      Servers.at(node), {"POST", "/_control", {}, change.dump()}, CallTimeout);
  return json::parse(reply.Body, nullptr, false);
}

int PlatformFleet::arrivals(const std::string &node) {
  return controlServer(node, json::object())["arrivals"].get<int>();
}

HttpReply PlatformFleet::call(const std::string &node,
                              const std::string &method,
                              const std::string &target,
                              const std::string &body) {
  std::string id = "attempt-" + std::to_string(++Attempts);
  {
    std::lock_guard lock(Mutex);
    LastId = id;
  }
  HttpCall call{method,
                target,
                {{"Host", "h.example"},
                 {"Attempt-Id", id},
                 {"Calling-Service", "forged"},
                 {"Remaining-Milliseconds", "1500"}},
                body};
  return callOnce(Nodes.at(node).Http, call, CallTimeout);
}

int PlatformFleet::readiness(const std::string &node) {
  return callOnce(Nodes.at(node).Ready, {"GET", "/readiness", {}, ""},
                  CallTimeout)
      .Status;
}

int PlatformFleet::runsOfLastAttempt() {
  int runs = 0;
  for (const auto &[node, address] : Servers) {
    json seen = controlServer(node, json::object());
    if (seen.is_object())
      runs += seen["runs"].value(LastId, 0);
  }
  return runs;
}

void PlatformFleet::awaitServing() {
  for (const auto &[name, at] : Nodes)
    TestFleet::await("node " + name + " serves", [&] {
      return readiness(name) == 200 &&
             call(name, "GET", "/safe/x").Status == 200;
    });
}

} // namespace hickoryglade::testing
