#include "libhickoryglade/gate.h"
#include "libhickoryglade/retry.h"
#include "libhickoryglade/routerpolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(const std::string &name, std::int64_t startedAtMs = 0,
                      std::int64_t sequence = 0) {
  return {name,  "w/s",       "127.0.0.1:1", 3, std::to_string(startedAtMs),
          false, startedAtMs, sequence};
}

Ticket ticket(const std::string &id, bool isIdempotent = true) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = "w/s";
  it.Deadline = at(10'000);
  it.ExpectedCost = milliseconds(25);
  it.IsIdempotent = isIdempotent;
  return it;
}

/// A gate that is one of several of its service and doubts after one failure.
Gate strictGate() {
  Gate gate;
  gate.Services["w/s"].Policy.FailuresForDoubt = 1;
  gate.Services["w/s"].Policy.FirstRest = Millis(500);
  gate.Services["w/s"].Policy.MostRest = Millis(1'500);
  gate.Services["w/s"].Policy.TrialIdleTimeout = Millis(3'000);
  gate.Services["w/s"].Gates = 4;
  announce(gate, endpoint("e"), at(0));
  return gate;
}

bool isStarted(const GateActions &actions) {
  return std::ranges::any_of(actions, [](const GateAction &it) {
    return std::holds_alternative<StartAction>(it);
  });
}

/// Reason of the first refusal; nothing if there is none.
std::optional<ErrorKind> refusal(const GateActions &actions) {
  for (const GateAction &it : actions)
    if (const auto *refused = std::get_if<RefuseAction>(&it))
      return refused->Reason.Kind;
  return std::nullopt;
}

Standing standingOf(const Gate &gate) { return gate.Endpoints.at("e").State; }

void failOnce(Gate &gate, int ms) {
  std::string id = "failing-" + std::to_string(ms);
  Ticket it = ticket(id);
  it.AcceptsDoubtful = true;
  REQUIRE(isStarted(offer(gate, it, at(ms))));
  complete(gate, id, AttemptOutcome::Broken, at(ms));
}

} // namespace

TEST_CASE("one failure turns work away before it is sent") {
  Gate gate = strictGate();
  failOnce(gate, 10);
  CHECK(standingOf(gate) == Standing::Suspect);
  auto refused = offer(gate, ticket("1", false), at(20));
  CHECK(refusal(refused) == ErrorKind::EndpointDoubtful);
  CHECK(isFreeRetry(ErrorKind::EndpointDoubtful));
}

TEST_CASE("an entry without another choice is served by a doubtful endpoint") {
  Gate gate = strictGate();
  failOnce(gate, 10);
  Ticket last = ticket("1", false);
  last.AcceptsDoubtful = true;
  CHECK(isStarted(offer(gate, last, at(20))));
}

TEST_CASE("waiting work goes elsewhere when its endpoint becomes doubtful") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"})
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
  CHECK_FALSE(refusal(offer(gate, ticket("4"), at(1))));
  auto actions = complete(gate, "1", AttemptOutcome::Broken, at(2));
  CHECK(refusal(actions) == ErrorKind::EndpointDoubtful);
}

TEST_CASE("work spills to an endpoint that answers, not to one that fails") {
  Gate gate = strictGate();
  failOnce(gate, 10);
  Ticket spill = ticket("1");
  spill.AcceptsDoubtful = true;
  spill.IsSpill = true;
  REQUIRE(isStarted(offer(gate, spill, at(20))));
  complete(gate, "1", AttemptOutcome::Broken, at(30));
  spill.AttemptId = "2";
  CHECK(refusal(offer(gate, spill, at(40))) == ErrorKind::EndpointDoubtful);
  Ticket last = ticket("3");
  last.AcceptsDoubtful = true;
  CHECK(isStarted(offer(gate, last, at(50))));
}

TEST_CASE("one answer among failures does not clear an endpoint") {
  Gate gate = strictGate();
  for (int ms : {10, 15, 20, 25, 30})
    failOnce(gate, ms);
  Ticket it = ticket("1");
  it.AcceptsDoubtful = true;
  REQUIRE(isStarted(offer(gate, it, at(40))));
  complete(gate, "1", AttemptOutcome::Answered, at(50));
  CHECK(standingOf(gate) == Standing::Suspect);
  Gate other = strictGate();
  failOnce(other, 10);
  REQUIRE(isStarted(offer(other, it, at(40))));
  complete(other, "1", AttemptOutcome::Answered, at(50));
  CHECK(standingOf(other) == Standing::Healthy);
}

TEST_CASE("after a rest, idempotent work tries a doubtful endpoint") {
  Gate gate = strictGate();
  failOnce(gate, 0);
  tick(gate, at(400));
  CHECK(standingOf(gate) == Standing::Suspect);
  tick(gate, at(500));
  REQUIRE(standingOf(gate) == Standing::Trial);
  Ticket trial = ticket("trial");
  trial.AcceptsDoubtful = true;
  REQUIRE(isStarted(offer(gate, trial, at(510))));
  complete(gate, "trial", AttemptOutcome::Answered, at(540));
  CHECK(standingOf(gate) == Standing::Healthy);
}

TEST_CASE("rests stay short enough for an endpoint that recovers") {
  ServicePolicy policy;
  policy.FirstRest = Millis(500);
  policy.MostRest = Millis(1'500);
  CHECK(restBeforeTrial(policy, 0) == Millis(500));
  CHECK(restBeforeTrial(policy, 1) == Millis(1'000));
  CHECK(restBeforeTrial(policy, 50) == Millis(1'500));
}

TEST_CASE("an endpoint that nobody tries is taken for healthy") {
  Gate gate = strictGate();
  failOnce(gate, 0);
  tick(gate, at(500));
  REQUIRE(standingOf(gate) == Standing::Trial);
  tick(gate, at(3'400));
  CHECK(standingOf(gate) == Standing::Trial);
  tick(gate, at(3'600));
  CHECK(standingOf(gate) == Standing::Healthy);
}

TEST_CASE("a relapse asks for more than one good answer") {
  Gate gate = strictGate();
  failOnce(gate, 0);
  tick(gate, at(500));
  failOnce(gate, 510);
  tick(gate, at(1'600));
  REQUIRE(standingOf(gate) == Standing::Trial);
  for (const char *id : {"a", "b"}) {
    CHECK(standingOf(gate) == Standing::Trial);
    Ticket trial = ticket(id);
    trial.AcceptsDoubtful = true;
    REQUIRE(isStarted(offer(gate, trial, at(1'700))));
    complete(gate, id, AttemptOutcome::Answered, at(1'720));
  }
  CHECK(standingOf(gate) == Standing::Healthy);
}

TEST_CASE("an endpoint that sheds again and again with room left is doubtful") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"}) {
    CHECK(standingOf(gate) == Standing::Healthy);
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
    complete(gate, id, AttemptOutcome::Shed, at(5));
  }
  CHECK(standingOf(gate) == Standing::Suspect);
}

// The load that this answers: most endpoints of a service look ill at once, and
// the few others cannot take all of its work.
TEST_CASE(
    "idempotent work uses doubtful endpoints when no healthy one is free") {
  auto candidate = [](const std::string &node, Standing state, int freeSlots) {
    Candidate it;
    it.Node = node;
    it.State = state;
    it.Slots = 3;
    it.FreeSlots = freeSlots;
    return it;
  };
  std::vector<Candidate> all = {candidate("a", Standing::Healthy, 0),
                                candidate("b", Standing::Suspect, 3),
                                candidate("c", Standing::Trial, 0)};
  RouteRequest question;
  question.MaySpill = true;
  question.TrialOdds = 1'000'000'000;
  Random rng(1);
  CHECK(eligibleCandidates(all, question, rng) == std::vector<std::size_t>{1});
  question.IsIdempotent = false;
  CHECK(eligibleCandidates(all, question, rng) == std::vector<std::size_t>{0});
  question.IsIdempotent = true;
  all[0].FreeSlots = 1;
  for (int i = 0; i < 20; ++i)
    CHECK(eligibleCandidates(all, question, rng) !=
          std::vector<std::size_t>{1});
}

TEST_CASE("a gate keeps to its part of the fleet's retries") {
  Gate gate = strictGate();
  gate.Services["w/s"].Policy.RetryBudgetPercent = 20;
  gate.Services["w/s"].Policy.RetryAllowance = 8;
  int started = 0;
  auto send = [&](const std::string &id, bool isRepeat, int ms) {
    Ticket it = ticket(id);
    it.Deadline = at(ms + 1'000);
    it.IsRepeat = isRepeat;
    auto actions = offer(gate, it, at(ms));
    complete(gate, id, AttemptOutcome::Answered, at(ms));
    return isStarted(actions);
  };
  announce(gate, endpoint("e"), at(1'000));
  for (int i = 0; i < 10; ++i)
    CHECK(send("first-" + std::to_string(i), false, 1'000));
  for (int i = 0; i < 10; ++i)
    started += send("again-" + std::to_string(i), true, 1'010);
  // A fifth of ten, and a quarter of eight.
  CHECK(started == 4);
  announce(gate, endpoint("e"), at(12'000));
  CHECK(send("later", true, 12'000));
}

TEST_CASE("a gate that is cut off does not take a larger part of the retries") {
  Gate gate = strictGate();
  GateService &service = gate.Services["w/s"];
  service.Policy.RetryBudgetPercent = 0;
  service.Policy.RetryAllowance = 8;
  noteGates(service, 1);
  CHECK(service.Gates == 4);
  int started = 0;
  for (int i = 0; i < 8; ++i) {
    Ticket it = ticket("again-" + std::to_string(i));
    it.IsRepeat = true;
    started += isStarted(offer(gate, it, at(0)));
    complete(gate, it.AttemptId, AttemptOutcome::Answered, at(0));
  }
  CHECK(started == 2);
}

// The load that this answers: a service fails because another one that it calls
// sheds; each retry would make all the calls again.
TEST_CASE("few reports of an error are tried again") {
  RetryBudget errors = makeErrorBudget();
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    errors.noteFresh(ErrorRetryPercent);
    retries += errors.tryTake();
  }
  CHECK(retries <= 4);
  CHECK(retries >= 3);
}

TEST_CASE("a copy under way when its content becomes suspect is turned away") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"})
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
  Ticket waiting = ticket("waiting");
  waiting.Fingerprint = 99;
  REQUIRE_FALSE(refusal(offer(gate, waiting, at(1))));
  CrashRecord elsewhere{{{"other", 1}}, at(60'000)};
  REQUIRE(mergeCrash(gate.Crashes, 99, elsewhere));
  // Past the time in which news of other copies settles.
  tick(gate, at(50));
  tick(gate, at(250));
  auto actions = complete(gate, "1", AttemptOutcome::Answered, at(300));
  CHECK_FALSE(isStarted(actions));
  CHECK(refusal(actions) == ErrorKind::ContentSuspect);
}

TEST_CASE("late announcements do not bring an endpoint back") {
  Gate gate;
  announce(gate, endpoint("e", 100, 5), at(0));
  Announcement draining = endpoint("e", 100, 7);
  draining.IsDraining = true;
  announce(gate, draining, at(10));
  announce(gate, endpoint("e", 100, 6), at(20));
  CHECK(standingOf(gate) == Standing::Draining);
  withdraw(gate, "e", at(30));
  announce(gate, endpoint("e", 100, 6), at(40));
  CHECK(gate.Endpoints.empty());
  announce(gate, endpoint("e", 200, 1), at(50));
  CHECK(standingOf(gate) == Standing::Healthy);
}

// The gate's process starts again between an endpoint's leaving and a late
// announcement of it; other members remember what it said of itself.
TEST_CASE("after a restart an endpoint that had left stays away") {
  Gate before;
  announce(before, endpoint("e", 100, 5), at(0));
  withdraw(before, "e", at(10));
  REQUIRE(departedRecords(before) == std::vector<DepartedRecord>{{"e", 100}});
  Gate after;
  for (const DepartedRecord &it : departedRecords(before))
    noteDeparted(after, it, at(1'000));
  announce(after, endpoint("e", 100, 4), at(1'010));
  CHECK(after.Endpoints.empty());
  announce(after, endpoint("e", 200, 1), at(1'020));
  CHECK(standingOf(after) == Standing::Healthy);
  // The announcement may come before the others' word.
  Gate late;
  announce(late, endpoint("e", 100, 4), at(1'000));
  noteDeparted(late, {"e", 100}, at(1'050));
  CHECK(late.Endpoints.empty());
}

TEST_CASE("the newer of two endpoints at one address is the one there") {
  Gate gate;
  announce(gate, endpoint("old", 100, 9), at(0));
  announce(gate, endpoint("new", 200, 1), at(10));
  CHECK_FALSE(gate.Endpoints.contains("old"));
  announce(gate, endpoint("old", 100, 10), at(20));
  CHECK_FALSE(gate.Endpoints.contains("old"));
  CHECK(gate.Endpoints.contains("new"));
}

TEST_CASE("a status promises that nothing has run only if that is so") {
  for (ErrorKind kind :
       {ErrorKind::NoEndpoint, ErrorKind::Overloaded, ErrorKind::EndpointShed,
        ErrorKind::RetriesExhausted, ErrorKind::DeadlineExceeded,
        ErrorKind::GateLost, ErrorKind::EndpointFailed}) {
    CHECK(statusOf({kind, RunState::NotRun, {}, {}}) == 503);
    int unknown = statusOf({kind, RunState::Unknown, {}, {}});
    CHECK((unknown == 502 || unknown == 504));
  }
}

TEST_CASE("endpoints that may have run a request count towards its limit") {
  RetryBudget budget;
  RetryContext question{makeError(ErrorKind::EndpointFailed), true, 2,
                        milliseconds(500), milliseconds(10)};
  question.Runs = 1;
  question.MaxRuns = 2;
  CHECK(decideRetry(question, budget).Verdict == RetryVerdict::Retry);
  question.Runs = 2;
  CHECK(decideRetry(question, budget).Verdict == RetryVerdict::GiveUp);
}
