#include "libhickoryglade/gate.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(std::int64_t startedAtMs, std::int64_t sequence = 1) {
  return {"e",   "w/s",       "127.0.0.1:1", 3, std::to_string(startedAtMs),
          false, startedAtMs, sequence};
}

Ticket ticket(const std::string &id, Instant now) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = "w/s";
  it.Deadline = now + seconds(5);
  it.ExpectedCost = milliseconds(25);
  return it;
}

bool startsWork(const GateActions &actions) {
  return std::ranges::any_of(actions, [](const GateAction &it) {
    return std::holds_alternative<StartAction>(it);
  });
}

constexpr EndpointNotice Leaving{std::nullopt, false, true};

} // namespace

TEST_CASE(
    "an endpoint that says it leaves gets no work until it is restarted") {
  Gate gate;
  announce(gate, endpoint(1), at(0));
  CHECK(startsWork(offer(gate, ticket("runs", at(0)), at(0))));
  noteNotice(gate, "e", Leaving, at(10), at(10));
  CHECK_FALSE(startsWork(offer(gate, ticket("1", at(20)), at(20))));
  announce(gate, endpoint(1, 2), at(1'000));
  CHECK_FALSE(startsWork(offer(gate, ticket("2", at(1'000)), at(1'000))));
  // A later answer without the word does not bring the endpoint back.
  noteNotice(gate, "e", {}, at(1'100), at(1'100));
  CHECK_FALSE(startsWork(offer(gate, ticket("3", at(1'100)), at(1'100))));
  CHECK(departedRecords(gate) == std::vector<DepartedRecord>{{"e", 1}});
  announce(gate, endpoint(2), at(1'200));
  CHECK(startsWork(offer(gate, ticket("4", at(1'200)), at(1'200))));
}

TEST_CASE("a leaving endpoint is not taken back after a long silence") {
  Gate gate;
  announce(gate, endpoint(1), at(0));
  noteNotice(gate, "e", Leaving, at(10), at(10));
  tick(gate, at(31'000));
  announce(gate, endpoint(1, 2), at(31'100));
  CHECK_FALSE(startsWork(offer(gate, ticket("1", at(31'100)), at(31'100))));
}
