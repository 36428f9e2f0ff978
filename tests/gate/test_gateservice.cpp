#include "libfleet/base/asio.h"
#include "libfleet/gate/gateservice.h"
#include "libfleet/http/bodybudget.h"
#include "libfleet/http/httpdialect.h"
#include "libfleet/reporting/metrics.h"

#include "fleet_types.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

constexpr std::int64_t BootId = 7;
constexpr std::size_t BodyBytes = 1'000'000;
constexpr std::int64_t TimeoutMs = 5'000;

/// Keeps the frames that a gate sends to an entry.
class MockChannel : public FrameChannel {
public:
  void send(wire::Frame frame) override { Sent.push_back(std::move(frame)); }
  void sendBody(std::int64_t, Body, BodyKind) override {}
  void dropBody(std::int64_t) override {}
  bool isOpen() const override { return IsOpen; }
  std::string peerName() const override { return "n2"; }
  std::int64_t ageMs() const override { return 0; }

  std::vector<wire::Frame> Sent;
  bool IsOpen = true;
};

fleet::GateService::Events ignoreEvents() {
  return {[](auto, auto) {}, [](const auto &) {}, [](auto, auto) {}};
}

/// A gate with one endpoint that has one slot.
struct GateFixture {
  GateFixture() {
    Settings.Node = "n1";
    Service = std::make_unique<fleet::GateService>(
        Io.get_executor(), Settings, BootId, defaultDialect(),
        std::make_shared<BodyBudget>(BodyBytes), Counters, ignoreEvents());
    Announcement endpoint;
    endpoint.Name = "e";
    endpoint.Service = "w/s";
    endpoint.Address = "127.0.0.1:1";
    endpoint.Incarnation = "1";
    Service->announceEndpoint(endpoint);
  }

  int busySlots() const { return Service->report()[0]["busy"]; }

  asio::io_context Io;
  NodeSettings Settings;
  Metrics Counters;
  std::unique_ptr<fleet::GateService> Service;
};

wire::Ticket ticket(const std::string &attempt) {
  wire::Ticket it;
  it.attemptId = attempt;
  it.workspace = "w";
  it.serviceName = "w/s";
  it.gateBootId = BootId;
  it.timeoutMs = TimeoutMs;
  it.isIdempotent = true;
  it.decidesRetry = true;
  return it;
}

/// Offers a request that is sent once a slot has been granted.
wire::Frame offerOf(std::int64_t stream, const std::string &attempt) {
  wire::Frame frame;
  frame.stream = stream;
  frame.__set_ticket(ticket(attempt));
  frame.ticket.awaitsClaim = true;
  return frame;
}

/// Sends a request without a body.
wire::Frame callOf(std::int64_t stream, const std::string &attempt) {
  wire::Frame frame;
  frame.stream = stream;
  frame.call.ticket = ticket(attempt);
  frame.call.method = "GET";
  frame.call.target = "/x";
  frame.__isset.call = true;
  return frame;
}

} // namespace

// Guards against a request that gets the slot of another one while both are
// dropped, and runs without a record at its gate.
TEST_CASE("nothing starts while the requests of a lost link are dropped") {
  GateFixture fixture;
  auto channel = std::make_shared<MockChannel>();
  fixture.Service->takeFrame(channel, offerOf(1, "a"));
  REQUIRE(channel->Sent.size() == 1);
  REQUIRE(channel->Sent[0].__isset.grant);
  fixture.Service->takeFrame(channel, callOf(2, "b"));
  REQUIRE(channel->Sent.size() == 1);
  channel->IsOpen = false;
  fixture.Service->noteLinkLost(channel);
  CHECK(fixture.busySlots() == 0);
  CHECK(fixture.Service->idle());
}
