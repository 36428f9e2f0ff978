#include "libhickoryglade/gate.h"
#include "libhickoryglade/registry.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;

// These tests guard against late detection of hangs: requests take a second and
// have targets of three, and a third of the endpoints hangs on most requests
// for some seconds.

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

constexpr int Cost = 800;

/// One of several gates of a service; its endpoint has completed enough
/// requests to count as warm.
Gate warmGate() {
  Gate gate;
  GateService &service = gate.Services["w/s"];
  service.Policy.Health = "completion_odds";
  service.Policy.FailuresForDoubt = 1;
  service.Policy.StallAfter = Millis(500);
  service.Policy.FirstRest = Millis(500);
  service.Policy.TrialIdleTimeout = Millis(3'000);
  service.Gates = 4;
  gate.AnnouncementLimit = std::chrono::seconds(60);
  announce(gate, {"e", "w/s", "127.0.0.1:1", 7, "1", false, 0, 0}, at(0));
  for (int i = 0; i < 3; ++i) {
    Ticket it;
    it.AttemptId = "warm" + std::to_string(i);
    it.Service = "w/s";
    it.Deadline = at(10'000);
    it.ExpectedCost = milliseconds(Cost);
    offer(gate, it, at(0));
    complete(gate, it.AttemptId, AttemptOutcome::Answered, at(0));
  }
  return gate;
}

Ticket ticket(const std::string &id, bool isIdempotent) {
  Ticket it;
  it.AttemptId = id;
  it.Service = "w/s";
  it.Deadline = at(10'000);
  it.Target = at(3'000);
  it.ExpectedCost = milliseconds(Cost);
  it.IsIdempotent = isIdempotent;
  return it;
}

Standing standingOf(const Gate &gate) { return gate.Endpoints.at("e").State; }

/// Time in milliseconds at which the endpoint becomes doubtful; nothing if it
/// does not.
std::optional<int> doubtfulAt(Gate &gate, int from, int until) {
  for (int ms = from; ms <= until; ms += 50) {
    tick(gate, at(ms));
    if (standingOf(gate) != Standing::Healthy)
      return ms;
  }
  return std::nullopt;
}

std::vector<std::string> aborted(const GateActions &actions) {
  std::vector<std::string> all;
  for (const GateAction &it : actions)
    if (const auto *abort = std::get_if<AbortAction>(&it))
      all.push_back(abort->AttemptId);
  return all;
}

} // namespace

TEST_CASE(
    "two hanging requests make an endpoint doubtful before their target") {
  Gate gate = warmGate();
  offer(gate, ticket("a", false), at(100));
  offer(gate, ticket("b", false), at(100));
  auto since = doubtfulAt(gate, 150, 3'000);
  REQUIRE(since);
  CHECK(*since < 100 + 2 * Cost);
  CHECK(*since > 100 + Cost);
}

TEST_CASE("one long request among others that complete is not a hang") {
  Gate gate = warmGate();
  offer(gate, ticket("long", false), at(100));
  for (int i = 0; i < 6; ++i) {
    std::string id = "short" + std::to_string(i);
    int start = 100 + i * 700;
    offer(gate, ticket(id, false), at(start));
    CHECK_FALSE(doubtfulAt(gate, start + 50, start + 650));
    complete(gate, id, AttemptOutcome::Answered, at(start + 700));
    CHECK(standingOf(gate) == Standing::Healthy);
  }
}

TEST_CASE(
    "requests at a healthy endpoint are not aborted at their expected time") {
  Gate gate = warmGate();
  offer(gate, ticket("a", true), at(100));
  offer(gate, ticket("b", true), at(100));
  GateActions actions;
  for (int ms = 150; ms <= 100 + Cost; ms += 50)
    std::ranges::move(tick(gate, at(ms)), std::back_inserter(actions));
  CHECK(aborted(actions).empty());
}

TEST_CASE("hanging idempotent requests are aborted, except for a last try") {
  Gate gate = warmGate();
  Ticket last = ticket("last", true);
  last.IsLastTry = true;
  offer(gate, ticket("a", true), at(100));
  offer(gate, ticket("b", false), at(100));
  offer(gate, last, at(100));
  GateActions actions;
  for (int ms = 150; ms <= 4'000; ms += 50)
    for (const std::string &id : aborted(tick(gate, at(ms)))) {
      CHECK(id == "a");
      if (gate.EndpointByAttempt.contains(id))
        std::ranges::move(complete(gate, id, AttemptOutcome::Failed, at(ms)),
                          std::back_inserter(actions));
    }
  CHECK_FALSE(gate.EndpointByAttempt.contains("a"));
  CHECK(gate.EndpointByAttempt.contains("b"));
  CHECK(gate.EndpointByAttempt.contains("last"));
}

// Lookups take a second and have deadlines of six. When a hang is detected,
// less than twice the run time is left.
TEST_CASE("hanging requests with time for one more run are aborted") {
  Gate gate = warmGate();
  Ticket lookup = ticket("lookup", true);
  lookup.Deadline = at(100 + 7 * Cost / 2);
  offer(gate, lookup, at(100));
  offer(gate, ticket("b", true), at(100));
  std::vector<std::string> abortedIds;
  for (int ms = 150; ms < 100 + 5 * Cost / 2; ms += 50)
    std::ranges::move(aborted(tick(gate, at(ms))),
                      std::back_inserter(abortedIds));
  CHECK(std::ranges::find(abortedIds, "lookup") != abortedIds.end());
}

// Guards against sending orders, which may run only once, to endpoints that
// have just begun to hang.
TEST_CASE("a request that is not idempotent avoids a silent endpoint") {
  Gate gate = warmGate();
  gate.Services["w/s"].Policy.AvoidsSilent = true;
  offer(gate, ticket("a", false), at(100));
  offer(gate, ticket("b", false), at(100));
  auto refusalOf = [&](const Ticket &it, int ms) {
    std::optional<Error> refusal;
    for (const GateAction &action : offer(gate, it, at(ms)))
      if (const auto *refused = std::get_if<RefuseAction>(&action))
        refusal = refused->Reason;
    return refusal;
  };
  CHECK_FALSE(refusalOf(ticket("early", false), 100 + Cost / 2));
  int silent = 100 + 9 * Cost / 8;
  REQUIRE(standingOf(gate) == Standing::Healthy);
  auto refused = refusalOf(ticket("once", false), silent);
  REQUIRE(refused);
  CHECK(refused->Run == RunState::NotRun);
  CHECK(refused->Kind == ErrorKind::EndpointDoubtful);
  CHECK_FALSE(refusalOf(ticket("repeatable", true), silent));
  Ticket last = ticket("elsewhere silent too", false);
  last.AcceptsSilent = true;
  CHECK_FALSE(refusalOf(last, silent));
  complete(gate, "a", AttemptOutcome::Answered, at(silent));
  complete(gate, "early", AttemptOutcome::Answered, at(silent));
  CHECK_FALSE(refusalOf(ticket("after answers", false), silent));
}

// An entry on a node that stops does not retry requests, since the node might
// end before the retry does. A request without time for another run gains
// nothing from an abort.
TEST_CASE("hanging requests are not aborted where a retry cannot help") {
  Gate gate = warmGate();
  Ticket late = ticket("late", true);
  late.Deadline = at(100 + 3 * Cost);
  offer(gate, ticket("kept", true), at(100));
  offer(gate, late, at(100));
  keep(gate, "kept");
  for (int ms = 150; ms <= late.Deadline.time_since_epoch() / milliseconds(1);
       ms += 50)
    for (const GateAction &it : tick(gate, at(ms)))
      if (const auto *abort = std::get_if<AbortAction>(&it))
        CHECK(abort->Reason.Kind == ErrorKind::DeadlineExceeded);
  CHECK(standingOf(gate) != Standing::Healthy);
  CHECK(gate.EndpointByAttempt.contains("kept"));
}

TEST_CASE("an endpoint goes on trial although an older request still hangs") {
  Gate gate = warmGate();
  offer(gate, ticket("a", false), at(100));
  offer(gate, ticket("b", false), at(100));
  auto since = doubtfulAt(gate, 150, 3'000);
  REQUIRE(since);
  for (int ms = *since; ms <= *since + 600; ms += 50)
    tick(gate, at(ms));
  REQUIRE(standingOf(gate) == Standing::Trial);
  Ticket trial = ticket("trial", true);
  trial.AcceptsDoubtful = true;
  offer(gate, trial, at(*since + 650));
  complete(gate, "trial", AttemptOutcome::Answered, at(*since + 650 + Cost));
  CHECK(standingOf(gate) == Standing::Healthy);
  // Requests that started before the trial are no longer evidence.
  tick(gate, at(*since + 700 + Cost));
  CHECK(standingOf(gate) == Standing::Healthy);
  tick(gate, at(9'900));
  CHECK(standingOf(gate) == Standing::Healthy);
  complete(gate, "a", AttemptOutcome::TimedOut, at(10'000));
  CHECK(standingOf(gate) == Standing::Healthy);
}

TEST_CASE("an endpoint on trial refuses requests that are not idempotent") {
  Gate gate = warmGate();
  gate.Endpoints.at("e").State = Standing::Trial;
  gate.Endpoints.at("e").StateSince = at(100);
  Ticket it = ticket("1", false);
  it.AcceptsDoubtful = true;
  for (const GateAction &action : offer(gate, it, at(100))) {
    const auto *refused = std::get_if<RefuseAction>(&action);
    REQUIRE(refused);
    CHECK(refused->Reason.Kind == ErrorKind::EndpointDoubtful);
    CHECK(refused->Reason.Run == RunState::NotRun);
  }
}

TEST_CASE("a last try is not sent to an endpoint on trial") {
  Gate gate = warmGate();
  gate.Endpoints.at("e").State = Standing::Trial;
  gate.Endpoints.at("e").StateSince = at(100);
  Ticket it = ticket("last", true);
  it.AcceptsDoubtful = true;
  it.IsLastTry = true;
  offer(gate, it, at(100));
  CHECK_FALSE(gate.EndpointByAttempt.contains("last"));
  it.AttemptId = "first";
  it.IsLastTry = false;
  offer(gate, it, at(100));
  CHECK(gate.EndpointByAttempt.contains("first"));
}

// Guards against delays of calls by running requests to a service whose slots
// are filled by new requests of the same rank.
TEST_CASE("within a rank, the request with the earliest target goes first") {
  Gate gate = warmGate();
  gate.Services["w/s"].Policy.Order = QueueOrder::Target;
  for (int i = 0; i < 7; ++i)
    offer(gate, ticket("running" + std::to_string(i), false), at(100));
  offer(gate, ticket("new", false), at(700));
  Ticket call = ticket("call", true);
  call.ExpectedCost = milliseconds(190);
  call.Target = at(1'500);
  offer(gate, call, at(710));
  complete(gate, "running0", AttemptOutcome::Answered, at(800));
  CHECK(gate.EndpointByAttempt.contains("call"));
  CHECK_FALSE(gate.EndpointByAttempt.contains("new"));
}

TEST_CASE("the settings set how many sheds make an endpoint doubtful") {
  Gate gate = warmGate();
  gate.Services["w/s"].Policy.ShedsForDoubt = 1;
  offer(gate, ticket("1", false), at(100));
  complete(gate, "1", AttemptOutcome::Shed, at(105));
  CHECK(standingOf(gate) == Standing::Suspect);
}

// With deadlines of ten seconds and targets of three, the maximum wait of half
// a second must not apply to requests that would still meet their target.
TEST_CASE("a request that can still meet its target is not refused") {
  Gate gate = warmGate();
  for (int i = 0; i < 14; ++i)
    offer(gate, ticket("running" + std::to_string(i), false), at(100));
  CHECK(gate.Services["w/s"].Queue.size() == 7);
  // A wait of two rounds of 0.8 s and its own run fit into three seconds.
  for (const GateAction &it : offer(gate, ticket("next", false), at(100)))
    CHECK_FALSE(std::holds_alternative<RefuseAction>(it));
  Ticket near = ticket("near", false);
  near.MaxWait = milliseconds(150);
  bool isRefused = false;
  for (const GateAction &it : offer(gate, near, at(100)))
    isRefused = isRefused || std::holds_alternative<RefuseAction>(it);
  CHECK(isRefused);
}

// Guards against work that is broken off because its entry had begun to stop
// while it waited for a slot.
TEST_CASE("a request that waited when its entry began to stop is not aborted") {
  Gate gate = warmGate();
  for (int i = 0; i < 7; ++i)
    offer(gate, ticket("first" + std::to_string(i), false), at(100));
  offer(gate, ticket("waiting", true), at(100));
  REQUIRE_FALSE(gate.EndpointByAttempt.contains("waiting"));
  keep(gate, "waiting");
  complete(gate, "first0", AttemptOutcome::Answered, at(300));
  REQUIRE(gate.EndpointByAttempt.contains("waiting"));
  for (int ms = 350; ms <= 9'000; ms += 50)
    for (const std::string &id : aborted(tick(gate, at(ms))))
      CHECK(id != "waiting");
}

// Only the entry knows whether it is stopping and has a retry left.
TEST_CASE("a hanging request is aborted only if its entry gives it up") {
  Gate gate = warmGate();
  Ticket lookup = ticket("lookup", true);
  lookup.DecidesRetry = true;
  offer(gate, lookup, at(100));
  std::vector<int> reportedAt;
  for (int ms = 150; ms <= 5'000; ms += 50) {
    GateActions actions = tick(gate, at(ms));
    CHECK(aborted(actions).empty());
    if (std::ranges::find(actions, GateAction(OverdueAction{"lookup"})) !=
        actions.end())
      reportedAt.push_back(ms);
  }
  REQUIRE(reportedAt.size() > 2);
  CHECK(reportedAt[0] < 3 * Cost);
  CHECK(reportedAt[1] - reportedAt[0] >= 200);
  CHECK(aborted(giveUpOverdue(gate, "lookup")) ==
        std::vector<std::string>{"lookup"});
  complete(gate, "lookup", AttemptOutcome::Failed, at(5'000));
  CHECK(giveUpOverdue(gate, "lookup").empty());
}
