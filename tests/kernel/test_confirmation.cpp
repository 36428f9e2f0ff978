#include "libhickoryglade/gateconfirmation.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(std::int64_t startedAtMs, std::int64_t sequence) {
  return {"e",   "w/s",       "127.0.0.1:1", 3, std::to_string(startedAtMs),
          false, startedAtMs, sequence};
}

bool isTaken(const Gate &gate) { return gate.Endpoints.contains("e"); }

} // namespace

// Guards against one late announcement, or several that arrive together.
TEST_CASE("an unconfirmed endpoint needs a later announcement after a while") {
  Gate gate;
  beginConfirmation(gate);
  announce(gate, endpoint(1, 4), at(0));
  announce(gate, endpoint(1, 4), at(1'500));
  announce(gate, endpoint(1, 3), at(1'510));
  CHECK_FALSE(isTaken(gate));
  announce(gate, endpoint(1, 5), at(1'600));
  CHECK(isTaken(gate));
}

TEST_CASE("announcements that arrive together do not confirm each other") {
  Gate gate;
  beginConfirmation(gate);
  announce(gate, endpoint(1, 4), at(0));
  announce(gate, endpoint(1, 5), at(10));
  CHECK_FALSE(isTaken(gate));
  announce(gate, endpoint(1, 6), at(1'500));
  CHECK(isTaken(gate));
}

TEST_CASE("another process of an endpoint is confirmed by itself") {
  Gate gate;
  beginConfirmation(gate);
  announce(gate, endpoint(1, 4), at(0));
  announce(gate, endpoint(2, 5), at(1'500));
  CHECK_FALSE(isTaken(gate));
  announce(gate, endpoint(1, 6), at(2'000));
  CHECK_FALSE(isTaken(gate));
  announce(gate, endpoint(2, 6), at(3'000));
  CHECK(isTaken(gate));
}

// Guards against endpoints that wait for their next announcement although the
// departures are known.
TEST_CASE("endpoints that have not left are taken once departures are known") {
  Gate gate;
  beginConfirmation(gate);
  announce(gate, endpoint(1, 4), at(0));
  bool hasLeft = GENERATE(false, true);
  if (hasLeft)
    noteDeparted(gate, {"e", 1}, at(10));
  endConfirmation(gate, at(20));
  CHECK(isTaken(gate) == !hasLeft);
  announce(gate, endpoint(2, 1), at(30));
  CHECK(isTaken(gate));
}

TEST_CASE("an announcement that has become old is not taken afterwards") {
  Gate gate;
  beginConfirmation(gate);
  announce(gate, endpoint(1, 4), at(0));
  endConfirmation(gate, at(0) + gate.AnnouncementLimit + milliseconds(1));
  CHECK_FALSE(isTaken(gate));
}
