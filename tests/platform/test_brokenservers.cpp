#include "platform/platformfleet.h"
#include "process/testfleet.h"
#include "standins/rawserver.h"

#include <catch2/catch.hpp>

#include <thread>

/// Real nodes in front of a server that sends answers which are no valid HTTP,
/// or end early.

using namespace hickoryglade;
using namespace hickoryglade::testing;
using nlohmann::json;
using standins::Ending;
using standins::RawAnswer;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CallLimit{5'000};
constexpr milliseconds HeartbeatPeriod{200};
constexpr std::size_t LongUpload = 20 * 1024 * 1024;

const std::string Own = "Attempt-Id: {id}\r\nResponse-Signature: proof\r\n";
const std::string Sized = "Content-Length: 5\r\n\r\nwhole";
const std::string Success = "HTTP/1.1 200 OK\r\n" + Own;

/// A server of the service "s" beside n1. Its answer to orders is given;
/// lookups are answered in full.
class BrokenServer {
public:
  BrokenServer(PlatformFleet &fleet, RawAnswer order)
      : Address(fleet.freeAddress()),
        Server(Io, Address, [order](const std::string &head) {
          return head.starts_with("POST")
                     ? order
                     : RawAnswer{Success + "Connection: close\r\n" + Sized};
        }) {
    Network = std::jthread([this] { Io.run(); });
    std::string control = fleet.node("n1").Admin;
    Heartbeats = std::jthread([this, control](std::stop_token stop) {
      for (int sequence = 1; !stop.stop_requested(); ++sequence) {
        sendHeartbeat(control, sequence);
        std::this_thread::sleep_for(HeartbeatPeriod);
      }
    });
  }
  ~BrokenServer() { Io.stop(); }
  BrokenServer(const BrokenServer &) = delete;
  BrokenServer &operator=(const BrokenServer &) = delete;

  int arrivals(const std::string &id) const { return Server.arrivals(id); }

private:
  void sendHeartbeat(const std::string &control, int sequence) const {
    json body = {{"service", "s"},      {"address", Address},
                 {"zone", "z"},         {"version", "v1"},
                 {"slots", 3},          {"state", "ready"},
                 {"born", StartedAtMs}, {"cold_remaining_s", 0},
                 {"sequence", sequence}};
    callOnce(
        control,
        {"POST", "/rpc?call=instances.heartbeat&of=i-broken", {}, body.dump()},
        CallLimit);
  }

  std::string Address;
  std::int64_t StartedAtMs =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  fleet::asio::io_context Io{1};
  standins::RawServer Server;
  std::jthread Network;
  std::jthread Heartbeats;
};

/// The broken server is beside n1; n3 reaches it through n1.
void startPair(PlatformFleet &fleet) {
  fleet.startStore();
  fleet.startNode("n1");
  fleet.startNode("n3", "t");
  fleet.startServer("n3", "t");
  json config = defaultConfig(1);
  config["limits"]["body_bytes"] = 2 * LongUpload;
  fleet.configure(config);
}

struct BrokenAnswer {
  std::string Name;
  RawAnswer Answer;
  std::size_t UploadBytes = 0;
};

std::vector<BrokenAnswer> brokenAnswers() {
  return {
      {"status 000", {"HTTP/1.1 000 Reply\r\n" + Own + Sized}},
      {"status 000 without a length",
       {"HTTP/1.1 000 Reply\r\n" + Own + "\r\nwhole"}},
      {"status 101", {"HTTP/1.1 101 Reply\r\n" + Own + "\r\n"}},
      {"status 999", {"HTTP/1.1 999 Reply\r\n" + Own + Sized}},
      {"reset while the request is being written",
       {Success + "\r\nbroken", Ending::Reset, Millis(150)},
       LongUpload},
      {"transfer coding", {Success + "Transfer-Encoding: gzip\r\n\r\nwhole"}},
      {"blank in a field name", {Success + "X Y: 1\r\n" + Sized}},
      {"control byte in a field name", {Success + "X\x01Y: 1\r\n" + Sized}},
  };
}

/// Answers to orders with a status that callers take for the statement that the
/// order has not run.
std::vector<BrokenAnswer> notRunAnswers() {
  const std::string unavailable =
      "HTTP/1.1 503 Service Unavailable\r\n" + Own + Sized;
  return {
      {"503", {unavailable}},
      {"503 after an interim response",
       {"HTTP/1.1 100 Continue\r\n\r\n" + unavailable}},
      {"503 before the upload has been read",
       {unavailable, Ending::HalfClose, Millis(150)},
       LongUpload},
      {"421", {"HTTP/1.1 421 Misdirected Request\r\n" + Own + Sized}},
  };
}

/// Checks that an order with such an answer is answered by the node itself.
void checkOrder(PlatformFleet &fleet, const BrokenServer &server,
                const BrokenAnswer &broken, const char *node) {
  INFO("through " << node);
  fleet.awaitServing();
  HttpReply reply =
      fleet.call(node, "POST", "/once/x", std::string(broken.UploadBytes, 'u'));
  CHECK(reply.Status == 502);
  CHECK(reply.problem("run") == "unknown");
  CHECK(reply.header("Response-Signature").empty());
  CHECK(server.arrivals(fleet.lastId()) == 1);
}

} // namespace

// Guards against answers that reach a caller although they are not whole and
// valid, and against servers that are not judged for them.
TEST_CASE("a broken answer to an order is answered 502 by its node",
          "[broken-answers]") {
  BrokenAnswer broken = GENERATE(from_range(brokenAnswers()));
  INFO(broken.Name);
  PlatformFleet fleet;
  startPair(fleet);
  BrokenServer server(fleet, broken.Answer);
  for (const char *node : {"n3", "n1"}) {
    checkOrder(fleet, server, broken, node);
    json status = fleet.statusOf("n1");
    REQUIRE(status["own_endpoints"].size() == 1);
    CHECK(status["own_endpoints"][0]["standing"] != "healthy");
  }
}

// Guards against a promise of ours made from the status that a server chose,
// whatever came before it on the connection.
TEST_CASE("a not-run status without a statement is answered 502 by its node",
          "[not-run-status]") {
  BrokenAnswer broken = GENERATE(from_range(notRunAnswers()));
  INFO(broken.Name);
  PlatformFleet fleet;
  startPair(fleet);
  BrokenServer server(fleet, broken.Answer);
  for (const char *node : {"n3", "n1"})
    checkOrder(fleet, server, broken, node);
}

TEST_CASE("an early answer that ends in order with its connection is whole",
          "[broken-answers]") {
  PlatformFleet fleet;
  startPair(fleet);
  BrokenServer server(fleet,
                      {Success + "\r\nwhole", Ending::HalfClose, Millis(150)});
  fleet.awaitServing();
  for (const char *node : {"n3", "n1"}) {
    HttpReply reply =
        fleet.call(node, "POST", "/once/x", std::string(LongUpload, 'u'));
    CHECK(reply.Status == 200);
    CHECK(reply.header("Response-Signature") == "proof");
    CHECK(reply.Body == "whole");
  }
}
