#include "libhickoryglade/gate.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(const std::string &name,
                      const std::string &incarnation = "1") {
  return {name, "w/s", "127.0.0.1:1", 3, incarnation, false};
}

Ticket ticket(const std::string &id, int deadlineMs = 10'000) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = "w/s";
  it.Deadline = at(deadlineMs);
  it.ExpectedCost = milliseconds(25);
  it.IsIdempotent = true;
  it.Fingerprint = 7;
  return it;
}

template <typename Action> int count(const GateActions &actions) {
  return int(std::ranges::count_if(actions, [](const GateAction &it) {
    return std::holds_alternative<Action>(it);
  }));
}

template <typename Action> const Action &first(const GateActions &actions) {
  auto it = std::ranges::find_if(actions, [](const GateAction &a) {
    return std::holds_alternative<Action>(a);
  });
  REQUIRE(it != actions.end());
  return std::get<Action>(*it);
}

Gate gateWith(const std::string &name) {
  Gate gate;
  announce(gate, endpoint(name), at(0));
  return gate;
}

/// Ticks every 50 ms and announces the endpoint every second, until a time.
GateActions advance(Gate &gate, const std::string &name, int fromMs, int toMs) {
  GateActions all;
  for (int t = fromMs; t <= toMs; t += 50) {
    if (t % 1000 == 0)
      announce(gate, endpoint(name), at(t));
    std::ranges::move(tick(gate, at(t)), std::back_inserter(all));
  }
  return all;
}

} // namespace

TEST_CASE("slots are counted exactly and waiting requests start in order") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 3; ++i)
    CHECK(count<StartAction>(offer(gate, ticket(std::to_string(i)), at(1))) ==
          1);
  CHECK(count<StartAction>(offer(gate, ticket("3"), at(1))) == 0);
  GateActions next = complete(gate, "0", AttemptOutcome::Answered, at(20));
  CHECK(first<StartAction>(next).AttemptId == "3");
}

TEST_CASE("a granted slot is held for the body and released without it") {
  Gate gate = gateWith("e");
  Ticket it = ticket("1");
  it.AwaitsClaim = true;
  CHECK(count<GrantAction>(offer(gate, it, at(0))) == 1);
  CHECK(count<RefuseAction>(tick(gate, at(300))) == 1);
  GateActions late = claim(gate, "1", at(301));
  CHECK(first<RefuseAction>(late).Reason.Run == RunState::NotRun);
  CHECK(count<StartAction>(late) == 0);
}

TEST_CASE("a fenced attempt never starts, a started one is never fenced") {
  Gate gate = gateWith("e");
  GateActions actions;
  CHECK(revoke(gate, "1", at(60'000), at(0), actions) == StartState::Fenced);
  GateActions late = offer(gate, ticket("1"), at(10));
  CHECK(count<StartAction>(late) == 0);
  CHECK(first<RefuseAction>(late).Reason.Run == RunState::NotRun);
  offer(gate, ticket("2"), at(20));
  CHECK(revoke(gate, "2", at(60'000), at(21), actions) == StartState::Started);
}

TEST_CASE("an attempt that arrives twice runs once") {
  Gate gate = gateWith("e");
  CHECK(count<StartAction>(offer(gate, ticket("1"), at(0))) == 1);
  complete(gate, "1", AttemptOutcome::Answered, at(5));
  CHECK(count<StartAction>(offer(gate, ticket("1"), at(6))) == 0);
}

TEST_CASE("a draining or unannounced endpoint gets no new requests") {
  Gate gate = gateWith("e");
  Announcement leaving = endpoint("e");
  leaving.IsDraining = true;
  announce(gate, leaving, at(100));
  CHECK(count<StartAction>(offer(gate, ticket("1"), at(101))) == 0);
  Gate silent = gateWith("e");
  CHECK(count<StartAction>(offer(silent, ticket("1"), at(2'000))) == 0);
}

TEST_CASE("a stall is detected within two seconds and its requests aborted") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 3; ++i) {
    offer(gate, ticket("w" + std::to_string(i)), at(0));
    complete(gate, "w" + std::to_string(i), AttemptOutcome::Answered, at(25));
  }
  offer(gate, ticket("a"), at(50));
  offer(gate, ticket("b"), at(60));
  GateActions actions = advance(gate, "e", 100, 2'050);
  CHECK(first<StandingAction>(actions).State == Standing::Suspect);
  CHECK(count<AbortAction>(actions) >= 2);
  CHECK(first<EjectionAction>(actions).IsWanted);
}

TEST_CASE("a long request does not count as a stall") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 3; ++i) {
    offer(gate, ticket("w" + std::to_string(i)), at(0));
    complete(gate, "w" + std::to_string(i), AttemptOutcome::Answered, at(25));
  }
  Ticket it = ticket("long");
  it.IsLong = true;
  it.ExpectedCost = milliseconds(750);
  offer(gate, it, at(50));
  GateActions actions = advance(gate, "e", 100, 4'000);
  CHECK(count<StandingAction>(actions) == 0);
}

TEST_CASE("the rest before a trial doubles with each relapse, up to a bound") {
  CHECK(restBeforeTrial(ServicePolicy{}, 1) ==
        2 * restBeforeTrial(ServicePolicy{}, 0));
  CHECK(restBeforeTrial(ServicePolicy{}, 4) ==
        16 * restBeforeTrial(ServicePolicy{}, 0));
  CHECK(restBeforeTrial(ServicePolicy{}, 100) ==
        restBeforeTrial(ServicePolicy{}, 6));
}

TEST_CASE("an ejection ends when its lease expires") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 6; ++i) {
    offer(gate, ticket(std::to_string(i)), at(i));
    complete(gate, std::to_string(i), AttemptOutcome::Failed, at(i));
  }
  REQUIRE(gate.Endpoints.at("e").State == Standing::Suspect);
  setEjection(gate, "e", at(500), at(10));
  CHECK(count<StartAction>(offer(gate, ticket("x"), at(20))) == 0);
  GateActions actions = tick(gate, at(501));
  CHECK(first<StandingAction>(actions).State == Standing::Suspect);
}

TEST_CASE("a content that has crashed two endpoints is refused") {
  Gate gate = gateWith("e");
  offer(gate, ticket("1"), at(0));
  CHECK(count<CrashAction>(
            complete(gate, "1", AttemptOutcome::Crashed, at(1))) == 1);
  announce(gate, endpoint("e", "2"), at(100));
  CHECK(count<StartAction>(offer(gate, ticket("2"), at(101))) == 0);
  CHECK(count<StartAction>(offer(gate, ticket("3"), at(102))) == 0);
  CHECK(count<StartAction>(tick(gate, at(202))) == 1);
  GateActions crash = complete(gate, "2", AttemptOutcome::Crashed, at(203));
  CHECK(first<RefuseAction>(crash).Reason.Kind == ErrorKind::Quarantined);
  announce(gate, endpoint("e", "3"), at(300));
  GateActions refused = offer(gate, ticket("4"), at(301));
  CHECK(first<RefuseAction>(refused).Reason.Kind == ErrorKind::Quarantined);
  gate.Crashes.Released.push_back(7);
  CHECK(count<StartAction>(offer(gate, ticket("5"), at(302))) == 1);
}

TEST_CASE("a request whose deadline passes in the queue is refused, not run") {
  Gate gate = gateWith("e");
  gate.Services["w/s"].Policy.Admission = "queue_limit";
  for (int i = 0; i < 3; ++i)
    offer(gate, ticket(std::to_string(i)), at(0));
  offer(gate, ticket("late", 100), at(0));
  GateActions actions = tick(gate, at(100));
  CHECK(first<RefuseAction>(actions).Reason.Run == RunState::NotRun);
  CHECK(count<StartAction>(
            complete(gate, "0", AttemptOutcome::Answered, at(110))) == 0);
}

TEST_CASE("a request that would wait past its deadline is refused at once") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 40; ++i)
    offer(gate, ticket(std::to_string(i)), at(0));
  GateActions actions = offer(gate, ticket("x", 100), at(0));
  const Error &reason = first<RefuseAction>(actions).Reason;
  CHECK(reason.Kind == ErrorKind::Overloaded);
  CHECK(reason.RetryAfter.count() > 0);
}

TEST_CASE("one workspace cannot starve another") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 30; ++i)
    offer(gate, ticket("greedy" + std::to_string(i)), at(0));
  Ticket other = ticket("other");
  other.Workspace = "v";
  offer(gate, other, at(1));
  complete(gate, "greedy0", AttemptOutcome::Answered, at(25));
  GateActions next =
      complete(gate, "greedy1", AttemptOutcome::Answered, at(25));
  CHECK(gate.EndpointByAttempt.contains("other"));
}

TEST_CASE("long requests leave slots to short ones") {
  Gate gate = gateWith("e");
  for (int i = 0; i < 3; ++i) {
    Ticket it = ticket("long" + std::to_string(i));
    it.IsLong = true;
    it.ExpectedCost = milliseconds(750);
    offer(gate, it, at(0));
  }
  CHECK(gate.EndpointByAttempt.size() == 2);
  CHECK(count<StartAction>(offer(gate, ticket("short"), at(1))) == 1);
}

TEST_CASE(
    "after a pause, a gate waits for crash records before it starts work") {
  Gate gate = gateWith("e");
  tick(gate, at(0));
  announce(gate, endpoint("e"), at(3'000));
  CHECK(count<StartAction>(offer(gate, ticket("1"), at(3'000))) == 0);
  CrashRecord record{{{"a 1", at(3'010)}, {"b 1", at(3'020)}}, {}, at(100'000)};
  mergeCrash(gate.Crashes, 7, record);
  GateActions actions = tick(gate, at(3'150));
  CHECK(count<StartAction>(actions) == 0);
  CHECK(first<RefuseAction>(tick(gate, at(3'300))).Reason.Kind ==
        ErrorKind::Quarantined);
}

TEST_CASE("an endpoint that does not listen is avoided at once") {
  Gate gate = gateWith("e");
  announce(gate, endpoint("f"), at(0));
  offer(gate, ticket("1"), at(0));
  std::string dead = gate.EndpointByAttempt.at("1");
  complete(gate, "1", AttemptOutcome::Unreachable, at(1));
  CHECK(gate.Endpoints.at(dead).State == Standing::Suspect);
  offer(gate, ticket("2"), at(2));
  CHECK(gate.EndpointByAttempt.at("2") != dead);
}
