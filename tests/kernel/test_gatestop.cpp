#include "libhickoryglade/gate.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

constexpr int EndMs = 5'000;
constexpr int Cost = 800;

Instant at(int ms) { return Instant(milliseconds(ms)); }

Ticket ticket(const std::string &id, bool isIdempotent, bool decidesRetry) {
  Ticket it;
  it.AttemptId = id;
  it.Service = "w/s";
  it.Deadline = at(20'000);
  it.ExpectedCost = milliseconds(Cost);
  it.IsIdempotent = isIdempotent;
  it.DecidesRetry = decidesRetry;
  return it;
}

/// A gate that begins to stop at 100 ms with one run of the ticket.
Gate stoppingGate(const Ticket &running) {
  Gate gate;
  gate.AnnouncementLimit = std::chrono::seconds(60);
  announce(gate, {"e", "w/s", "127.0.0.1:1", 7, "1", false, 0, 0}, at(0));
  offer(gate, running, at(50));
  drain(gate, at(EndMs), at(100));
  return gate;
}

struct Seen {
  /// Times of the reports, and the time until the end that each one named.
  std::vector<int> ReportedAt;
  std::vector<int> EndsIn;
  std::vector<int> AbortedAt;
  std::optional<Error> Reason;
};

Seen runUntil(Gate &gate, int untilMs) {
  Seen seen;
  for (int ms = 150; ms <= untilMs; ms += 50)
    for (const GateAction &it : tick(gate, at(ms))) {
      const auto *overdue = std::get_if<OverdueAction>(&it);
      if (overdue && overdue->EndsIn) {
        seen.ReportedAt.push_back(ms);
        seen.EndsIn.push_back(int(toMillis(*overdue->EndsIn).count()));
      }
      if (const auto *abort = std::get_if<AbortAction>(&it)) {
        seen.AbortedAt.push_back(ms);
        seen.Reason = abort->Reason;
      }
    }
  return seen;
}

} // namespace

TEST_CASE("a stopping gate reports a run while another attempt has time") {
  bool isLastTry = GENERATE(false, true);
  Ticket running = ticket("lookup", true, true);
  running.IsLastTry = isLastTry;
  Gate gate = stoppingGate(running);
  Seen seen = runUntil(gate, EndMs - 50);
  REQUIRE(seen.ReportedAt.size() > 2);
  // An entry that stops together with the gate ends 0.45 s earlier, and starts
  // no attempt that may not end by then.
  CHECK(seen.ReportedAt[0] < EndMs - 450 - 2 * Cost);
  CHECK(seen.ReportedAt[0] > EndMs - 1'000 - 2 * Cost);
  CHECK(seen.EndsIn[0] == EndMs - seen.ReportedAt[0]);
  CHECK(seen.ReportedAt[1] - seen.ReportedAt[0] >= 200);
  CHECK(seen.AbortedAt.empty());
}

TEST_CASE("a stopping gate reports no run that must not be replaced") {
  bool isIdempotent = GENERATE(false, true);
  Gate gate = stoppingGate(ticket("run", isIdempotent, !isIdempotent));
  CHECK(runUntil(gate, EndMs - 50).ReportedAt.empty());
}

TEST_CASE(
    "a stopping gate says of the runs that it aborts that they have run") {
  bool isIdempotent = GENERATE(false, true);
  Gate gate = stoppingGate(ticket("run", isIdempotent, true));
  Seen seen = runUntil(gate, EndMs);
  CHECK(seen.AbortedAt == std::vector<int>{EndMs});
  REQUIRE(seen.Reason);
  CHECK(seen.Reason->Kind == ErrorKind::GateLost);
  CHECK(seen.Reason->Run == RunState::Unknown);
}
