#include "process/testfleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace hickoryglade::testing {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AskLimit{3'000};
constexpr milliseconds PollPeriod{20};

/// Throws if a condition does not hold, which fails the test or ends the
/// benchmark.
void require(bool holds, const std::string &what) {
  if (!holds)
    throw std::runtime_error("test fleet: " + what);
}

std::string program(const std::string &name) {
  return std::string(HICKORYGLADE_BUILD) + "/" + name;
}

} // namespace

TestFleet::TestFleet() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  Folder = mkdtemp(pattern.data());
}

TestFleet::~TestFleet() {
  Processes.clear();
  if (!std::getenv("KEEP_TEST_FILES"))
    std::filesystem::remove_all(Folder);
}

std::string TestFleet::file(const std::string &name) const {
  return Folder + "/" + name;
}

void TestFleet::startLog() {
  if (Log.empty())
    Log = Addresses.next();
  Processes["log"] = ChildProcess(
      {program("tests/logstandin"), "--listen", Log}, file("log.err"));
}

void TestFleet::startNode(const std::string &name, bool hasRelay) {
  NodeAddresses &at = Nodes[name];
  if (at.Http.empty()) {
    at = {Addresses.next(), Addresses.next(), Addresses.next(), "", ""};
    at.Advertised = at.Fleet;
    if (hasRelay) {
      at.Advertised = Addresses.next();
      at.RelayControl = Addresses.next();
      Processes["relay-" + name] =
          ChildProcess({program("tests/relay"), "--listen", at.Advertised,
                        "--to", at.Fleet, "--control", at.RelayControl},
                       file("relay.err"));
    }
  }
  json seeds = json::array();
  for (const auto &[other, addresses] : Nodes)
    seeds.push_back(addresses.Advertised);
  json settings = {
      {"node", name},
      {"log_level", LogLevel},
      {"data_centre", "dc-1"},
      {"listen", {{"http", at.Http}, {"fleet", at.Fleet}, {"admin", at.Admin}}},
      {"advertise", at.Advertised},
      {"seeds", seeds},
      {"log", {{"address", Log}}}};
  std::ofstream(file(name + ".json")) << settings.dump();
  Processes[name] = ChildProcess({program("src/hickorygladed/hickorygladed"),
                                  "--settings", file(name + ".json")},
                                 file(name + ".err"));
}

void TestFleet::startEndpoint(const std::string &name, const std::string &node,
                              const std::string &service) {
  std::string &at = Endpoints[name];
  if (at.empty())
    at = Addresses.next();
  Processes[name] =
      ChildProcess({program("tests/endpointstandin"), "--listen", at,
                    "--announce", Nodes.at(node).Admin, "--name", name,
                    "--workspace", "w", "--service", service},
                   file(name + ".err"));
}

HttpReply TestFleet::tryPublish(const std::string &node,
                                const std::string &path, const json &value,
                                std::int64_t base, const std::string &id) {
  json change = {{"id", id}, {"path", path}, {"base", base}, {"value", value}};
  return callOnce(Nodes.at(node).Admin,
                  {"POST", "/v1/changes", {}, change.dump()},
                  milliseconds(15'000));
}

void TestFleet::publish(const std::string &path, const json &value) {
  static int changes = 0;
  const std::string &node = Nodes.begin()->first;
  std::string id = "change-" + std::to_string(++changes);
  std::int64_t base = settings(node, path).value("revision", 0);
  HttpReply reply = tryPublish(node, path, value, base, id);
  require(reply.Status == 200, "settings not published: " + reply.Body);
}

void TestFleet::publishDefaults(const json &service) {
  await("a node to respond",
        [&] { return !status(Nodes.begin()->first).is_null(); });
  publish("/w/s", service);
  publish("/w/s/all", {{"host", "s.example"}});
}

json TestFleet::controlEndpoint(const std::string &name, const json &change) {
  HttpReply reply = callOnce(
      Endpoints.at(name), {"POST", "/_control", {}, change.dump()}, AskLimit);
  return json::parse(reply.Body, nullptr, false);
}

void TestFleet::controlLog(const json &change) {
  HttpReply reply =
      callOnce(Log, {"POST", "/control", {}, change.dump()}, AskLimit);
  require(reply.Status == 200, "stand-in did not accept the change");
}

void TestFleet::controlRelay(const std::string &node, const json &change) {
  HttpReply reply = callOnce(Nodes.at(node).RelayControl,
                             {"POST", "/control", {}, change.dump()}, AskLimit);
  require(reply.Status == 200, "stand-in did not accept the change");
}

HttpReply TestFleet::call(const std::string &node, HttpCall call,
                          int timeoutMs) {
  call.Headers.push_back({"Host", "s.example"});
  call.Headers.push_back({"Request-Timeout-Ms", std::to_string(timeoutMs)});
  return callOnce(Nodes.at(node).Http, call, milliseconds(timeoutMs + 2'000));
}

json TestFleet::status(const std::string &node) {
  HttpReply reply =
      callOnce(Nodes.at(node).Admin, {"GET", "/v1/status", {}, ""}, AskLimit);
  return reply.Status == 200 ? json::parse(reply.Body) : json();
}

json TestFleet::settings(const std::string &node, const std::string &path) {
  HttpReply reply = callOnce(Nodes.at(node).Admin,
                             {"GET", "/v1/settings" + path, {}, ""}, AskLimit);
  return reply.Status == 200 ? json::parse(reply.Body) : json::object();
}

int TestFleet::countRuns(const std::string &tag) {
  int runs = 0;
  for (const auto &[name, address] : Endpoints) {
    json counts = controlEndpoint(name, json::object());
    if (counts.is_object() && counts["runs"].is_object())
      runs += counts["runs"].value(tag, 0);
  }
  return runs;
}

void TestFleet::awaitReady() {
  auto isReady = [&](const std::string &name) {
    json report = status(name);
    if (report.is_null())
      return false;
    std::size_t alive = 0;
    std::size_t healthy = 0;
    int slots = 0;
    int routed = 0;
    for (const json &member : report["members"]) {
      alive += member["state"] == "alive" && !member["leaving"];
      for (const json &it : member["endpoints"]) {
        healthy += it["standing"] == "healthy";
        slots += it["slots"].get<int>();
      }
    }
    for (const json &it : report["routes"])
      routed += it["slots"].get<int>();
    return report["ready"].get<bool>() && routed == slots &&
           alive == Nodes.size() && healthy == Endpoints.size() &&
           report["keepers"].size() == Nodes.size() &&
           settings(name, "/w/s/all").value("revision", 0) > 0;
  };
  for (const auto &[name, addresses] : Nodes)
    await("node " + name + " to be ready", [&] { return isReady(name); });
}

void TestFleet::await(const std::string &what, std::function<bool()> condition,
                      int limitMs) {
  auto until = std::chrono::steady_clock::now() + milliseconds(limitMs);
  while (!condition()) {
    require(std::chrono::steady_clock::now() < until,
            "timed out waiting for " + what);
    std::this_thread::sleep_for(PollPeriod);
  }
}

HttpCall taggedWork(const std::string &tag, int workMs) {
  return {"POST",
          "/work",
          {{"X-Run-Tag", tag}, {"X-Work-Ms", std::to_string(workMs)}},
          "work " + tag};
}

} // namespace hickoryglade::testing
