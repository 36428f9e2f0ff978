#include "libhickoryglade/gate.h"
#include "libhickoryglade/hash.h"
#include "libhickoryglade/noticeboard.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(const std::string &incarnation = "1") {
  return {"e", "w/s", "127.0.0.1:1", 3, incarnation, false};
}

constexpr EndpointNotice LimitOfTwo{2.0, false, false};
constexpr EndpointNotice Leaving{std::nullopt, false, true};

const GateProcess FirstProcess{"g", 1};

HeardNotice heard(const EndpointNotice &notice, int ms = 0) {
  return {"e", "1", notice, FirstProcess, at(ms)};
}

} // namespace

TEST_CASE("a restarted gate and one that took over an endpoint are told") {
  NoticeBoard board;
  hearNotice(board, "w/s", heard(LimitOfTwo));
  std::vector<std::uint64_t> listed{stableHash("other"), stableHash("e")};
  CHECK(noticesFor(board, "w/s", FirstProcess, listed).empty());
  CHECK(noticesFor(board, "w/s", {"g", 2}, {}) ==
        std::vector{heard(LimitOfTwo)});
  CHECK(noticesFor(board, "w/s", {"h", 1}, listed).size() == 1);
  CHECK(noticesFor(board, "w/s", {"h", 1}, {}).empty());
  CHECK(noticesFor(board, "w/other", {"g", 2}, {}).empty());
}

TEST_CASE("an entry forgets a limit that has ended or is long past") {
  NoticeBoard board;
  hearNotice(board, "w/s", heard(LimitOfTwo));
  hearNotice(board, "w/s", heard({}, 10));
  CHECK(noticesFor(board, "w/s", {"g", 2}, {}).empty());
  hearNotice(board, "w/s", heard(Leaving, 20));
  expireNotices(board, at(20) + minutes(9));
  CHECK(noticesFor(board, "w/s", {"g", 2}, {}).size() == 1);
  expireNotices(board, at(20) + minutes(11));
  CHECK(board.Services.empty());
}

TEST_CASE("a gate applies what entries heard before it knew the endpoint") {
  Gate gate;
  CHECK(noteForeignNotice(gate, "e", "1", LimitOfTwo, at(0), at(10)).empty());
  announce(gate, endpoint(), at(20));
  CHECK(loadOf(gate, "w/s", at(20)).Limit == 2);
  noteForeignNotice(gate, "e", "1", Leaving, at(5), at(30));
  CHECK(loadOf(gate, "w/s", at(30)).Slots == 0);
}

TEST_CASE("a gate believes what it heard itself more than older notices") {
  Gate gate;
  announce(gate, endpoint(), at(0));
  noteNotice(gate, "e", {}, at(100), at(100));
  noteForeignNotice(gate, "e", "1", LimitOfTwo, at(50), at(120));
  CHECK_FALSE(loadOf(gate, "w/s", at(120)).Limit);
}

TEST_CASE("a notice about an earlier process of an endpoint is ignored") {
  Gate gate;
  noteForeignNotice(gate, "e", "1", LimitOfTwo, at(0), at(10));
  announce(gate, endpoint("2"), at(20));
  CHECK_FALSE(loadOf(gate, "w/s", at(20)).Limit);
  noteForeignNotice(gate, "e", "1", Leaving, at(0), at(30));
  CHECK(loadOf(gate, "w/s", at(30)).Slots == 3);
}
