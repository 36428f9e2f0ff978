#include "libhickoryglade/gate.h"

#include <catch2/catch.hpp>

#include <algorithm>

/// Evidence of crashes. Each test guards against equal requests that are
/// refused although their content crashes nothing, or against a content that
/// crashes endpoints and is not stopped.

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Content = 7;

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(const std::string &name,
                      const std::string &incarnation = "1") {
  return {name, "w/s", "127.0.0.1:" + name, 7, incarnation, false};
}

Ticket ticket(const std::string &id, std::uint64_t fingerprint = Content) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = "w/s";
  it.Deadline = at(1'000'000);
  it.ExpectedCost = milliseconds(25);
  it.IsIdempotent = true;
  it.Fingerprint = fingerprint;
  return it;
}

template <typename Action> int count(const GateActions &actions) {
  return int(std::ranges::count_if(actions, [](const GateAction &it) {
    return std::holds_alternative<Action>(it);
  }));
}

Gate gateWith(const std::string &name) {
  Gate gate;
  announce(gate, endpoint(name), at(0));
  return gate;
}

/// Runs copies of a content at an endpoint until it crashes.
GateActions crashWhileRunning(Gate &gate, const std::string &prefix, int copies,
                              int ms) {
  std::vector<std::string> ids;
  for (int i = 0; i < copies; ++i)
    ids.push_back(prefix + std::to_string(i));
  for (const std::string &id : ids)
    REQUIRE(count<StartAction>(offer(gate, ticket(id), at(ms))) == 1);
  GateActions all;
  for (const std::string &id : ids)
    std::ranges::move(complete(gate, id, AttemptOutcome::Crashed, at(ms + 1)),
                      std::back_inserter(all));
  return all;
}

QuarantineRule ruleAt(const Gate &gate, int ms, int known = 0) {
  return ruleFor(gate.Crashes, Content, at(ms), known);
}

void complete(Gate &gate, const std::string &id, int ms) {
  REQUIRE(count<StartAction>(offer(gate, ticket(id), at(ms))) == 1);
  complete(gate, id, AttemptOutcome::Answered, at(ms + 1));
}

} // namespace

TEST_CASE("one crash counts once for all copies that ran there") {
  Gate gate = gateWith("e");
  GateActions actions = crashWhileRunning(gate, "a", 5, 10);
  CHECK(count<CrashAction>(actions) == 1);
  CHECK(ruleAt(gate, 12) == QuarantineRule::Serialized);
}

TEST_CASE("one crash that several nodes and a later gate notice counts once") {
  Gate noticed = gateWith("e");
  crashWhileRunning(noticed, "a", 2, 10);
  // A connection to the same incarnation broke at another gate, which learns
  // of the restart later.
  Gate successor = gateWith("e");
  offer(successor, ticket("b"), at(5));
  complete(successor, "b", AttemptOutcome::Broken, at(11));
  GateActions late = announce(successor, endpoint("e", "2"), at(4'000));
  CHECK(count<CrashAction>(late) == 1);
  noteForeignCrash(noticed, Content, successor.Crashes.Records.at(Content));
  CHECK(ruleAt(noticed, 4'001) == QuarantineRule::Serialized);
  CHECK(noticed.Crashes.Records.at(Content).unexplained() == 1);
}

TEST_CASE("a content that completes after a crash is cleared everywhere") {
  Gate gate = gateWith("e");
  crashWhileRunning(gate, "a", 1, 10);
  REQUIRE(ruleAt(gate, 12) == QuarantineRule::Serialized);
  Gate other = gateWith("f");
  offer(other, ticket("running"), at(5));
  noteForeignCrash(other, Content, gate.Crashes.Records.at(Content));
  REQUIRE(ruleAt(other, 12) == QuarantineRule::Serialized);
  // It ran through the time of the crash.
  GateActions actions =
      complete(other, "running", AttemptOutcome::Answered, at(50));
  CHECK(count<ContentClearedAction>(actions) == 1);
  CHECK(ruleAt(other, 51) == QuarantineRule::Free);
  noteForeignCrash(gate, Content, other.Crashes.Records.at(Content));
  CHECK(ruleAt(gate, 60) == QuarantineRule::Free);
  // The crash that an attempt of the request itself has seen is explained too.
  CHECK(ruleAt(gate, 60, 1) == QuarantineRule::Free);
  CHECK(ruleAt(gate, 60, 2) != QuarantineRule::Refused);
}

TEST_CASE("a content that has been completed is not held up by one crash") {
  Gate gate = gateWith("e");
  complete(gate, "before", 1);
  GateActions actions = crashWhileRunning(gate, "a", 3, 10);
  CHECK(count<CrashAction>(actions) == 1);
  CHECK(ruleAt(gate, 12) == QuarantineRule::Free);
}

TEST_CASE("a gate that has completed a content answers a crash record") {
  Gate gate = gateWith("e");
  crashWhileRunning(gate, "a", 1, 10);
  Gate other = gateWith("f");
  complete(other, "before", 1);
  GateActions actions =
      noteForeignCrash(other, Content, gate.Crashes.Records.at(Content));
  CHECK(count<ContentClearedAction>(actions) == 1);
  CHECK(ruleAt(other, 12) == QuarantineRule::Free);
  // The record that comes back says nothing new.
  CrashRecord back = other.Crashes.Records.at(Content);
  CHECK(noteForeignCrash(other, Content, back).empty());
}

TEST_CASE("many endpoints that end at once do not refuse a page they ran") {
  Gate gate = gateWith("e");
  complete(gate, "before", 1);
  for (int i = 0; i < 6; ++i)
    noteCrash(gate.Crashes, Content, "e" + std::to_string(i) + " 1",
              at(100 + 50 * i), at(600'000));
  CHECK(ruleAt(gate, 500) == QuarantineRule::Free);
}

TEST_CASE("a content that crashes endpoints is refused after two crashes, and "
          "after three if it had completed before") {
  bool hasCompleted = GENERATE(false, true);
  Gate gate = gateWith("e");
  if (hasCompleted)
    complete(gate, "before", 1);
  int crashes = 0;
  for (int i = 0; i < 10; ++i) {
    int ms = 5'000 * (i + 1);
    // A sound endpoint takes the place of the one that crashed.
    for (const std::string &name : {std::string("e"), "e" + std::to_string(i)})
      withdraw(gate, name, at(ms));
    announce(gate, endpoint("e" + std::to_string(i + 1)), at(ms));
    std::string id = "poison" + std::to_string(i);
    tick(gate, at(ms));
    GateActions actions = offer(gate, ticket(id), at(ms + 1));
    for (int later = 50; later < 400; later += 50)
      std::ranges::move(tick(gate, at(ms + later)),
                        std::back_inserter(actions));
    if (count<StartAction>(actions) == 0)
      continue;
    ++crashes;
    complete(gate, id, AttemptOutcome::Crashed, at(ms + 400));
  }
  CHECK(crashes == (hasCompleted ? 3 : 2));
}

TEST_CASE("copies of a content that crash endpoints at once are refused") {
  std::vector<Gate> gates;
  for (const char *name : {"e", "f", "g"})
    gates.push_back(gateWith(name));
  for (Gate &it : gates)
    REQUIRE(count<StartAction>(offer(it, ticket("p"), at(10))) == 1);
  for (Gate &it : gates)
    complete(it, "p", AttemptOutcome::Crashed, at(20));
  for (Gate &it : gates)
    noteForeignCrash(gates[0], Content, it.Crashes.Records.at(Content));
  CHECK(ruleAt(gates[0], 30) == QuarantineRule::Refused);
}

TEST_CASE("a content is not cleared by what completed before its crash") {
  Gate gate = gateWith("e");
  noteCrash(gate.Crashes, Content, "e 1", at(100), at(600'000));
  noteCrash(gate.Crashes, Content, "f 1", at(2'000), at(600'000));
  CrashRecord record;
  record.CompletedAt = at(1'000);
  record.Expiry = at(600'000);
  mergeCrash(gate.Crashes, Content, record);
  CHECK(gate.Crashes.Records.at(Content).unexplained() == 1);
}

TEST_CASE("records of crashes and completions stay bounded") {
  Quarantine quarantine;
  for (int i = 0; i < 100; ++i)
    noteCrash(quarantine, Content, std::to_string(i), at(i), at(600'000));
  CHECK(quarantine.Records.at(Content).Crashes.size() <= 8);
  CHECK(quarantine.Records.at(Content).Crashes.contains("99"));
  for (int i = 0; i < 10'000; ++i)
    noteContentCompleted(quarantine, std::uint64_t(i), at(i));
  CHECK(quarantine.Completions.size() <= 2'048);
  CHECK(quarantine.Completions.contains(9'999));
}
