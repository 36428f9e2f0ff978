#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <string>

/// Real nodes in front of servers that fail requests with a status that callers
/// take for the statement that the request has not run.

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int WorkMs = 700;
constexpr milliseconds CallLimit{5'000};

/// Starts the store, the given gates and an entry, n3, without a server of the
/// service. The gate n1 is behind relays.
void startFleet(PlatformFleet &fleet, bool hasSecondGate) {
  fleet.setPlatformBounds({{"grace_period_s", 6}});
  fleet.startStore();
  fleet.startRelayedNode("n1");
  fleet.startServer("n1");
  if (hasSecondGate) {
    fleet.startNode("n2");
    fleet.startServer("n2");
  }
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
}

void failWith(PlatformFleet &fleet, const std::string &node, int status,
              int workMs = 0) {
  fleet.controlServer(
      node, {{"fault", "status"}, {"status", status}, {"work_ms", workMs}});
}

HttpReply placeOrder(PlatformFleet &fleet, const std::string &id) {
  HttpCall call{"POST",
                "/once/x",
                {{"Host", "h.example"},
                 {"Attempt-Id", id},
                 {"Remaining-Milliseconds", "4000"}},
                ""};
  return callOnce(fleet.node("n3").Http, call, CallLimit);
}

int countAt(PlatformFleet &fleet, const std::string &node, const char *what,
            const std::string &id) {
  return fleet.controlServer(node, json::object())[what].value(id, 0);
}

void checkUnknown(const HttpReply &reply) {
  INFO(reply.Status << " " << reply.Body);
  CHECK(reply.Status == 502);
  CHECK(reply.problem("run") == "unknown");
  CHECK(reply.header("Response-Signature").empty());
  CHECK(reply.header("Retry-After").empty());
}

/// Places an order that a server fails after some work, calls `disturb` while
/// it runs, and returns the reply.
template <typename Action>
HttpReply placeOrderDuring(PlatformFleet &fleet, Action disturb) {
  failWith(fleet, "n1", 503, WorkMs);
  std::future<HttpReply> reply = std::async(
      std::launch::async, [&] { return placeOrder(fleet, "disturbed"); });
  TestFleet::await(
      "a run", [&] { return countAt(fleet, "n1", "runs", "disturbed") == 1; });
  disturb();
  return reply.get();
}

/// The lines of a node's log about an event.
std::vector<json> eventsOf(PlatformFleet &fleet, const std::string &node,
                           const std::string &event) {
  std::ifstream log(fleet.folder() + "/" + node + ".err");
  std::vector<json> all;
  std::string line;
  while (std::getline(log, line)) {
    json it = json::parse(line, nullptr, false);
    if (it.is_object() && it.value("event", "") == event)
      all.push_back(std::move(it));
  }
  return all;
}

} // namespace

// Guards against a server's own status that tells the caller of an order that
// has run to place it again.
TEST_CASE("an order that a server fails by a not-run status is answered 502",
          "[not-run-status]") {
  int status = GENERATE(503, 429, 408, 421);
  INFO("status " << status);
  PlatformFleet fleet;
  startFleet(fleet, false);
  failWith(fleet, "n1", status);
  checkUnknown(placeOrder(fleet, "order"));
  CHECK(countAt(fleet, "n1", "runs", "order") == 1);
  json endpoint = fleet.statusOf("n1")["own_endpoints"][0];
  CHECK(endpoint["standing"] != "healthy");
  if (status == 421)
    return;
  std::vector<json> withheld = eventsOf(fleet, "n3", "answer_withheld");
  REQUIRE(withheld.size() == 1);
  CHECK(withheld[0]["endpoint_status"] == status);
  CHECK(withheld[0]["caller_id"] == "order");
  std::string metrics =
      callOnce(fleet.node("n3").Admin, {"GET", "/metrics", {}, ""}, CallLimit)
          .Body;
  CHECK(metrics.find("hickoryglade_withheld_answers_total{service=\"shared/s\","
                     "status=\"" +
                     std::to_string(status) + "\"} 1") != std::string::npos);
}

// Guards against a status that is withheld where a second run does no harm.
TEST_CASE("a lookup gets its server's not-run status unchanged",
          "[not-run-status]") {
  PlatformFleet fleet;
  startFleet(fleet, false);
  failWith(fleet, "n1", 503);
  HttpReply reply = fleet.call("n3", "GET", "/safe/x");
  CHECK(reply.Status == 503);
  CHECK(reply.header("Response-Signature") == "proof");
}

// Guards against a not-run status that comes by a second attempt, after a
// refusal that was true.
TEST_CASE("a retried order that a server fails by 503 is answered 502",
          "[not-run-status]") {
  PlatformFleet fleet;
  startFleet(fleet, true);
  fleet.controlServer("n1", {{"fault", "shed"}});
  failWith(fleet, "n2", 503);
  std::string id;
  HttpReply reply;
  TestFleet::await("an order that n1 refuses first", [&] {
    static int count = 0;
    id = "order-" + std::to_string(++count);
    reply = placeOrder(fleet, id);
    return countAt(fleet, "n1", "refusals", id) > 0 &&
           countAt(fleet, "n2", "runs", id) == 1;
  });
  checkUnknown(reply);
}

// Guards against a not-run status that the entry learns when it asks the gate
// for the outcome over a new link.
TEST_CASE("a 503 that is learned after a lost link is answered 502",
          "[not-run-status]") {
  PlatformFleet fleet;
  startFleet(fleet, false);
  HttpReply reply = placeOrderDuring(fleet, [&] {
    fleet.controlRelays("n1", {{"close", true}});
  });
  checkUnknown(reply);
  CHECK(countAt(fleet, "n1", "runs", "disturbed") == 1);
  CHECK(eventsOf(fleet, "n3", "answer_withheld").size() == 1);
}

// Guards against a not-run status from a gate that is stopping.
TEST_CASE("a 503 through a gate that stops is answered 502",
          "[not-run-status]") {
  PlatformFleet fleet;
  startFleet(fleet, false);
  HttpReply reply =
      placeOrderDuring(fleet, [&] { fleet.process("n1").signal(SIGTERM); });
  checkUnknown(reply);
  CHECK(eventsOf(fleet, "n3", "answer_withheld").size() == 1);
}
