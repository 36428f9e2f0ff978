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

/// One of several gates of a service; an endpoint becomes suspect after one
/// failure.
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

/// Error kind of the first refusal; nothing if there is none.
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

TEST_CASE("after one failure, requests are refused before they are sent") {
  Gate gate = strictGate();
  failOnce(gate, 10);
  CHECK(standingOf(gate) == Standing::Suspect);
  auto refused = offer(gate, ticket("1", false), at(20));
  CHECK(refusal(refused) == ErrorKind::EndpointDoubtful);
  CHECK(isFreeRetry(ErrorKind::EndpointDoubtful));
}

TEST_CASE("a doubtful endpoint serves an entry that accepts doubtful ones") {
  Gate gate = strictGate();
  failOnce(gate, 10);
  Ticket last = ticket("1", false);
  last.AcceptsDoubtful = true;
  CHECK(isStarted(offer(gate, last, at(20))));
}

TEST_CASE("waiting requests are refused when their endpoint becomes doubtful") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"})
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
  CHECK_FALSE(refusal(offer(gate, ticket("4"), at(1))));
  auto actions = complete(gate, "1", AttemptOutcome::Broken, at(2));
  CHECK(refusal(actions) == ErrorKind::EndpointDoubtful);
}

TEST_CASE(
    "requests spill over to a doubtful endpoint unless it keeps failing") {
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

TEST_CASE("one answer after many failures does not make an endpoint healthy") {
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

TEST_CASE("after its rest, a doubtful endpoint is tried with idempotent work") {
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

TEST_CASE("the rest before a trial is bounded by the settings") {
  ServicePolicy policy;
  policy.FirstRest = Millis(500);
  policy.MostRest = Millis(1'500);
  CHECK(restBeforeTrial(policy, 0) == Millis(500));
  CHECK(restBeforeTrial(policy, 1) == Millis(1'000));
  CHECK(restBeforeTrial(policy, 50) == Millis(1'500));
}

TEST_CASE("an endpoint on trial that gets no request becomes healthy") {
  Gate gate = strictGate();
  failOnce(gate, 0);
  tick(gate, at(500));
  REQUIRE(standingOf(gate) == Standing::Trial);
  tick(gate, at(3'400));
  CHECK(standingOf(gate) == Standing::Trial);
  tick(gate, at(3'600));
  CHECK(standingOf(gate) == Standing::Healthy);
}

TEST_CASE("after a relapse, a trial needs more than one successful answer") {
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

TEST_CASE("an endpoint that sheds repeatedly with free slots is doubtful") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"}) {
    CHECK(standingOf(gate) == Standing::Healthy);
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
    complete(gate, id, AttemptOutcome::Shed, at(5));
  }
  CHECK(standingOf(gate) == Standing::Suspect);
}

// Guards against overload of the healthy endpoints when most endpoints of a
// service are doubtful at once, so that the others cannot take all requests.
TEST_CASE(
    "idempotent requests use doubtful endpoints if no healthy one is free") {
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

TEST_CASE("a gate enforces its part of the fleet's retry budget") {
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
  // 20 % of ten first attempts, plus a quarter of the allowance of eight, as
  // there are four gates.
  CHECK(started == 4);
  announce(gate, endpoint("e"), at(12'000));
  CHECK(send("later", true, 12'000));
}

TEST_CASE(
    "a partitioned gate does not take a larger part of the retry budget") {
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

// Guards against retry amplification: a service fails since another one that it
// calls sheds load, and each retry would repeat all of its calls.
TEST_CASE("only few answers that report an error are retried") {
  RetryBudget errors = makeErrorBudget();
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    errors.noteFresh(ErrorRetryPercent);
    retries += errors.tryTake();
  }
  CHECK(retries <= 4);
  CHECK(retries >= 3);
}

TEST_CASE("a waiting copy is refused when its content becomes suspect") {
  Gate gate = strictGate();
  for (const char *id : {"1", "2", "3"})
    REQUIRE(isStarted(offer(gate, ticket(id), at(0))));
  Ticket waiting = ticket("waiting");
  waiting.Fingerprint = 99;
  REQUIRE_FALSE(refusal(offer(gate, waiting, at(1))));
  CrashRecord elsewhere{{{"other 1", at(1)}}, {}, at(60'000)};
  REQUIRE(mergeCrash(gate.Crashes, 99, elsewhere));
  // The settle delay for crash reports of other copies has elapsed.
  tick(gate, at(50));
  tick(gate, at(250));
  auto actions = complete(gate, "1", AttemptOutcome::Answered, at(300));
  CHECK_FALSE(isStarted(actions));
  CHECK(refusal(actions) == ErrorKind::ContentSuspect);
}

TEST_CASE("late announcements do not restore an endpoint that has left") {
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

// The gate's process restarts between the departure of an endpoint and a late
// announcement of it. The restarted gate gets its departed records back from
// other members.
TEST_CASE("a restarted gate does not restore an endpoint that has left") {
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
  // The late announcement may arrive before the departed records.
  Gate late;
  announce(late, endpoint("e", 100, 4), at(1'000));
  noteDeparted(late, {"e", 100}, at(1'050));
  CHECK(late.Endpoints.empty());
}

TEST_CASE("of two endpoints at one address, the newer one replaces the older") {
  Gate gate;
  announce(gate, endpoint("old", 100, 9), at(0));
  announce(gate, endpoint("new", 200, 1), at(10));
  CHECK_FALSE(gate.Endpoints.contains("old"));
  announce(gate, endpoint("old", 100, 10), at(20));
  CHECK_FALSE(gate.Endpoints.contains("old"));
  CHECK(gate.Endpoints.contains("new"));
}

TEST_CASE("status 503 is used only if the request has not run") {
  for (ErrorKind kind :
       {ErrorKind::NoEndpoint, ErrorKind::Overloaded, ErrorKind::EndpointShed,
        ErrorKind::RetriesExhausted, ErrorKind::DeadlineExceeded,
        ErrorKind::GateLost, ErrorKind::EndpointFailed}) {
    CHECK(statusOf({kind, RunState::NotRun, {}, {}}) == 503);
    int unknown = statusOf({kind, RunState::Unknown, {}, {}});
    CHECK((unknown == 502 || unknown == 504));
  }
}

TEST_CASE("attempts that may have run count towards the limit of runs") {
  RetryBudget budget;
  RetryContext question{makeError(ErrorKind::EndpointFailed), true, 2,
                        milliseconds(500), milliseconds(10)};
  question.Runs = 1;
  question.MaxRuns = 2;
  CHECK(decideRetry(question, budget).Verdict == RetryVerdict::Retry);
  question.Runs = 2;
  CHECK(decideRetry(question, budget).Verdict == RetryVerdict::GiveUp);
}
