#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace hickoryglade::testing;
using nlohmann::json;

namespace {

/// Starts three nodes, of which n3 has no endpoint.
void startFleet(TestFleet &fleet) {
  fleet.startLog();
  for (const char *node : {"n1", "n2", "n3"})
    fleet.startNode(node);
  fleet.startEndpoint("e1", "n1");
  fleet.startEndpoint("e2", "n1");
  fleet.startEndpoint("e3", "n2");
  fleet.publishDefaults();
  fleet.awaitReady();
}

std::string makeBody(int caller, int i) {
  constexpr int Sizes[] = {0, 10, 5'000, 300'000, 8 * 1024 * 1024 - 100};
  std::string text = std::to_string(caller) + "/" + std::to_string(i) + ":";
  std::size_t n = std::size_t(Sizes[i % 5]);
  while (text.size() < n)
    text += text;
  text.resize(std::max(n, std::size_t(8)), '.');
  return text;
}

} // namespace

TEST_CASE("concurrent callers get complete responses to their own requests",
          "[path]") {
  TestFleet fleet;
  startFleet(fleet);
  std::atomic<int> wrong{0};
  std::atomic<int> right{0};
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < 8; ++caller)
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 15; ++i) {
        std::string body = makeBody(caller, i);
        std::string id = std::to_string(caller * 100 + i);
        HttpCall call{"PUT", "/x", {{"X-Client-Id", id}}, body};
        HttpReply reply =
            fleet.call("n" + std::to_string(1 + i % 3), call, 20'000);
        std::size_t line = reply.Body.find('\n');
        bool isCorrect =
            reply.Status == 200 && reply.header("X-Echo-Id") == id &&
            line != std::string::npos &&
            reply.Body.compare(line + 1, std::string::npos, body) == 0;
        ++(isCorrect ? right : wrong);
      }
    });
  for (std::jthread &it : callers)
    it.join();
  CHECK(wrong == 0);
  CHECK(right == 120);
  json counts = fleet.controlEndpoint("e3", json::object());
  CHECK(counts["overruns"] == 0);
}

TEST_CASE("a slot is released when its caller disconnects", "[path]") {
  TestFleet fleet;
  startFleet(fleet);
  for (int i = 0; i < 12; ++i)
    callOnce(fleet.node("n3").Http,
             {"GET", "/", {{"Host", "s.example"}, {"X-Work-Ms", "30000"}}, ""},
             std::chrono::milliseconds(60));
  HttpReply reply = fleet.call("n3", {"GET", "/", {}, ""}, 3'000);
  CHECK(reply.Status == 200);
}

TEST_CASE("malformed input is rejected and does not affect later requests",
          "[input]") {
  TestFleet fleet;
  startFleet(fleet);
  const std::string &http = fleet.node("n1").Http;
  auto limit = std::chrono::milliseconds(700);
  CHECK(sendRaw(http, "NOT HTTP AT ALL\r\n\r\n", limit).find(" 400 ") !=
        std::string::npos);
  std::string large =
      "GET / HTTP/1.1\r\nHost: s.example\r\nX: " + std::string(40'000, 'x') +
      "\r\n\r\n";
  CHECK(sendRaw(http, large, limit).find(" 431 ") != std::string::npos);
  std::string huge = "POST / HTTP/1.1\r\nHost: s.example\r\n"
                     "Content-Length: 99999999999\r\n\r\n";
  CHECK(sendRaw(http, huge, limit).find(" 413 ") != std::string::npos);
  HttpReply tooLarge =
      fleet.call("n1", {"PUT", "/", {}, std::string(8 * 1024 * 1024 + 1, 'x')});
  CHECK(tooLarge.Status == 413);
  CHECK(tooLarge.problem("run") == "not_run");
  HttpReply wrongTime = callOnce(
      http,
      {"GET", "/", {{"Host", "s.example"}, {"Request-Timeout-Ms", "-3"}}, ""},
      limit);
  CHECK(wrongTime.problem("kind") == "bad_request");

  const std::string &link = fleet.node("n1").Fleet;
  sendRaw(link, "garbage that is no frame", limit);
  sendRaw(link, std::string("\0\0\0\x05hello", 9), limit);
  sendRaw(link, std::string("\x7f\xff\xff\xff", 4), limit);
  sendDatagram(link, "garbage");
  sendDatagram(link, std::string(2'000, '\x1c'));
  const std::string &admin = fleet.node("n1").Admin;
  for (const char *body : {"", "[]", R"({"name":"x"})", "\xff"})
    CHECK(callOnce(admin, {"POST", "/v1/endpoints", {}, body}, limit).Status ==
          400);

  for (const char *stream : {"hickoryglade.settings", "hickoryglade.leases"})
    for (const char *record :
         {"", "{", "[1,2]", R"({"type":"change"})", "\x01"})
      CHECK(callOnce(fleet.logAddress(),
                     {"POST",
                      std::string("/v1/streams/") + stream + "/records",
                      {},
                      record},
                     limit)
                .Status == 201);
  fleet.publish("/w", {{"share", 2}});
  for (const char *node : {"n1", "n2", "n3"}) {
    CHECK(fleet.process(node).isRunning());
    CHECK(fleet.call(node, {"GET", "/", {}, ""}).Status == 200);
  }
}

TEST_CASE("the daemon exits with status 2 if it has no settings file",
          "[input]") {
  TestFleet fleet;
  std::string daemon =
      std::string(HICKORYGLADE_BUILD) + "/src/hickorygladed/hickorygladed";
  ChildProcess missing({daemon, "--settings", "/nonexistent"}, "/dev/null");
  CHECK(missing.wait() == 2);
  ChildProcess none({daemon}, "/dev/null");
  CHECK(none.wait() == 2);
}
