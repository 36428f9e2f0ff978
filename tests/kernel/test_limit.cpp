#include "libhickoryglade/costmodel.h"
#include "libhickoryglade/gate.h"
#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Announcement endpoint(const std::string &name, int slots = 3,
                      const std::string &incarnation = "1") {
  return {name, "w/s", "127.0.0.1:1", slots, incarnation, false};
}

Ticket ticket(const std::string &id, Instant now) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = "w/s";
  it.Deadline = now + seconds(5);
  it.ExpectedCost = milliseconds(25);
  it.IsIdempotent = true;
  return it;
}

template <typename Action> std::vector<Action> all(const GateActions &actions) {
  std::vector<Action> found;
  for (const GateAction &it : actions)
    if (const auto *action = std::get_if<Action>(&it))
      found.push_back(*action);
  return found;
}

EndpointNotice limitOfRate(double rate) { return {rate, false, false}; }

/// A gate whose endpoint named a limit at the given time.
Gate limitedGate(double rate, int slots = 3, int ms = 0) {
  Gate gate;
  announce(gate, endpoint("e", slots), at(0));
  noteNotice(gate, "e", limitOfRate(rate), at(ms), at(ms));
  return gate;
}

/// Offers a request every few milliseconds; each completes at once. Returns the
/// times at which requests started.
std::vector<int> play(Gate &gate, int fromMs, int toMs, int everyMs) {
  std::vector<int> starts;
  auto take = [&](const GateActions &actions, int ms) {
    auto next = all<StartAction>(actions);
    while (!next.empty()) {
      StartAction it = next.back();
      next.pop_back();
      starts.push_back(ms);
      GateActions done =
          complete(gate, it.AttemptId, AttemptOutcome::Answered, at(ms));
      std::ranges::move(all<StartAction>(done), std::back_inserter(next));
    }
  };
  for (int ms = fromMs; ms < toMs; ++ms) {
    if (ms % 1'000 == 0)
      take(announce(gate, endpoint("e"), at(ms)), ms);
    if (ms % everyMs == 0)
      take(offer(gate, ticket("r" + std::to_string(ms), at(ms)), at(ms)), ms);
    if (ms % 50 == 0)
      take(tick(gate, at(ms)), ms);
  }
  return starts;
}

/// The most starts within any window of four seconds.
int mostInWindow(const std::vector<int> &starts) {
  constexpr int windowMs = 4'000;
  int most = 0;
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    auto end = std::ranges::lower_bound(starts, *first + windowMs);
    most = std::max(most, int(end - first));
  }
  return most;
}

/// Requests that the users allow in four seconds.
int allowed(double rate) { return int(1.5 * rate * 4) + 5; }

} // namespace

TEST_CASE("an endpoint gets no more requests than its limit") {
  for (double rate : {0.0, 0.3, 1.0, 2.5, 10.0}) {
    Gate gate = limitedGate(rate);
    std::vector<int> starts = play(gate, 0, 20'000, 10);
    INFO("limit " << rate);
    CHECK(mostInWindow(starts) <= allowed(rate));
    CHECK(int(starts.size()) >= int(rate * 19));
  }
}

TEST_CASE("a limit beyond any rate leaves all slots open") {
  Gate gate = limitedGate(1e32);
  CHECK(loadOf(gate, "w/s", at(1)).FreeSlots == 3);
  CHECK(loadOf(gate, "w/s", at(1)).LimitWait == Micros{0});
}

TEST_CASE("requests go on at a limit of 0 so that its end is noticed") {
  Gate gate = limitedGate(0);
  CHECK(play(gate, 0, 5'000, 100).size() == 2);
  auto actions = noteNotice(gate, "e", {}, at(5'000), at(5'000));
  CHECK(all<LimitAction>(actions).front().After == std::nullopt);
  CHECK(play(gate, 5'001, 6'000, 100).size() == 9);
}

TEST_CASE("an idle time allows no burst beyond the limit") {
  Gate gate = limitedGate(2);
  CHECK(play(gate, 0, 10'000, 20'000).size() <= 1);
  CHECK(mostInWindow(play(gate, 10'000, 16'000, 10)) <= allowed(2));
}

TEST_CASE("a limit applies to requests that wait, hold a slot or run") {
  Gate gate;
  announce(gate, endpoint("e", 2), at(0));
  offer(gate, ticket("runs", at(0)), at(0));
  Ticket granted = ticket("granted", at(0));
  granted.AwaitsClaim = true;
  offer(gate, granted, at(0));
  Ticket patient = ticket("patient", at(0));
  patient.Target = at(3'000);
  CHECK(all<RefuseAction>(offer(gate, patient, at(0))).empty());
  for (int i = 0; i < 5; ++i)
    CHECK(
        all<RefuseAction>(offer(gate, ticket(std::to_string(i), at(0)), at(0)))
            .empty());

  auto refused =
      all<RefuseAction>(noteNotice(gate, "e", limitOfRate(1), at(10), at(10)));
  REQUIRE(refused.size() == 5);
  CHECK(refused.front().Reason.Kind == ErrorKind::EndpointLimited);
  CHECK(refused.front().Reason.Run == RunState::NotRun);
  CHECK(all<StartAction>(claim(gate, "granted", at(20))).size() == 1);
  // The claimed request used the first token.
  complete(gate, "runs", AttemptOutcome::Answered, at(30));
  int startedAt = 0;
  for (int ms = 50; startedAt == 0 && ms <= 3'000; ms += 50) {
    if (!all<StartAction>(tick(gate, at(ms))).empty())
      startedAt = ms;
    announce(gate, endpoint("e", 2), at(ms));
  }
  CHECK(startedAt == 2'050);
}

TEST_CASE("a request that a limit lets start too late is refused at once") {
  Gate gate = limitedGate(1);
  Ticket first = ticket("first", at(10));
  first.Target = at(1'500);
  auto held = all<HoldAction>(offer(gate, first, at(10)));
  REQUIRE(held.size() == 1);
  CHECK(toMillis(held.front().ExpectedWait).count() == 990);
  auto refused = all<RefuseAction>(offer(gate, ticket("next", at(20)), at(20)));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().Reason.Kind == ErrorKind::EndpointLimited);
  CHECK(refused.front().Reason.RetryAfter >= milliseconds(1'000));
}

TEST_CASE("the most urgent requests get what a limit leaves") {
  Gate gate = limitedGate(1);
  for (const char *id : {"low", "high"}) {
    Ticket it = ticket(id, at(10));
    it.Target = at(4'000);
    it.Priority = id == std::string("high") ? 0 : 2;
    CHECK(all<RefuseAction>(offer(gate, it, at(10))).empty());
  }
  auto started = all<StartAction>(tick(gate, at(1'050)));
  REQUIRE(started.size() == 1);
  CHECK(started.front().AttemptId == "high");
}

TEST_CASE("answers out of order do not bring back an earlier limit") {
  Gate gate = limitedGate(2, 3, 100);
  noteNotice(gate, "e", limitOfRate(3), at(200), at(210));
  auto late = noteNotice(gate, "e", limitOfRate(1), at(150), at(220));
  CHECK(late.empty());
  CHECK(loadOf(gate, "w/s", at(220)).Limit == 3);
  noteNotice(gate, "e", {}, at(300), at(300));
  noteNotice(gate, "e", limitOfRate(3), at(250), at(310));
  CHECK_FALSE(loadOf(gate, "w/s", at(310)).Limit);
}

TEST_CASE("an answer that says nothing of the limit leaves it as it is") {
  Gate gate = limitedGate(2);
  CHECK(noteNotice(gate, "e", {std::nullopt, true, false}, at(10), at(10))
            .empty());
  CHECK(loadOf(gate, "w/s", at(10)).Limit == 2);
}

TEST_CASE("a restarted endpoint has no limit") {
  Gate gate = limitedGate(2);
  announce(gate, endpoint("e", 3, "2"), at(100));
  CHECK_FALSE(loadOf(gate, "w/s", at(100)).Limit);
  CHECK(loadOf(gate, "w/s", at(100)).FreeSlots == 3);
}

TEST_CASE("load reports show what a limit leaves") {
  Gate gate = limitedGate(2);
  GateLoad load = loadOf(gate, "w/s", at(0));
  CHECK(load.FreeSlots == 0);
  CHECK(load.Limit == 2);
  CHECK(load.LimitWait == milliseconds(500));
  CHECK(loadOf(gate, "w/s", at(600)).FreeSlots == 1);
  announce(gate, endpoint("e"), at(5'000));
  CHECK(loadOf(gate, "w/s", at(5'000)).FreeSlots == 2);
  announce(gate, endpoint("unlimited"), at(5'000));
  CHECK(loadOf(gate, "w/s", at(5'000)).LimitWait == Micros{0});
}

TEST_CASE("waiting for a limit is no evidence against an endpoint") {
  Gate gate = limitedGate(0.5);
  std::vector<int> starts = play(gate, 0, 10'000, 100);
  GateActions actions = tick(gate, at(10'000));
  CHECK(all<StandingAction>(actions).empty());
  CHECK(loadOf(gate, "w/s", at(10'000)).Best == Standing::Healthy);
}

TEST_CASE("requests shed from before a limit are no evidence of ill health") {
  Gate gate;
  gate.Services["w/s"].Policy.ShedsForDoubt = 1;
  announce(gate, endpoint("e"), at(0));
  offer(gate, ticket("early", at(0)), at(0));
  noteNotice(gate, "e", limitOfRate(1), at(10), at(10));
  complete(gate, "early", AttemptOutcome::Shed, at(20));
  CHECK(loadOf(gate, "w/s", at(20)).Best == Standing::Healthy);
  offer(gate, ticket("later", at(1'100)), at(1'100));
  complete(gate, "later", AttemptOutcome::Shed, at(1'120));
  CHECK(loadOf(gate, "w/s", at(1'120)).Best == Standing::Suspect);
}

namespace {

Candidate candidate(const std::string &node, double limitLoad, bool isLimited) {
  Candidate it;
  it.Node = node;
  it.Slots = 3;
  it.FreeSlots = 1;
  it.LimitLoad = limitLoad;
  it.IsLimited = isLimited;
  return it;
}

using Indexes = std::vector<std::size_t>;

} // namespace

TEST_CASE("requests avoid gates whose limits let them start too late") {
  std::vector<Candidate> all{candidate("a", 3, true), candidate("b", 0, true),
                             candidate("c", 0, false)};
  RouteRequest request;
  request.MaxLimitLoad = 2;
  CHECK(withoutLimited(all, {0, 1, 2}, request) == Indexes{1, 2});
  CHECK(withoutLimited(all, {0}, request) == Indexes{0});
}

TEST_CASE("short requests leave limits to longer ones until others refuse") {
  std::vector<Candidate> all{candidate("a", 0, true), candidate("b", 0, false)};
  RouteRequest request;
  request.IsShort = true;
  CHECK(withoutLimited(all, {0, 1}, request) == Indexes{1});
  CHECK(withoutLimited(all, {0}, request) == Indexes{0});
  request.CapacityRefusals = 2;
  CHECK(withoutLimited(all, {0, 1}, request) == Indexes{0, 1});
  MeanCost mean;
  for (int i = 0; i < 200; ++i)
    mean.add(milliseconds(i % 2 ? 2 : 300));
  CHECK(mean.isMuchAbove(milliseconds(2)));
  CHECK_FALSE(mean.isMuchAbove(milliseconds(300)));
}

TEST_CASE("gates that would be late do not bound the wait at the others") {
  std::vector<Candidate> all{candidate("a", 9, true), candidate("b", 0, false)};
  all[1].FreeSlots = 0;
  all[0].IsNear = all[1].IsNear = true;
  RouteRequest request;
  request.MaxLimitLoad = 2;
  Random rng(1);
  for (const char *router : {"nearest", "tickets"}) {
    const auto *policy = Registry<RouterPolicy>::instance().find(router);
    RoutePlan plan = policy->Plan(all, request, rng);
    CHECK(plan.Targets == Indexes{1});
    CHECK_FALSE(plan.IsWaitBounded);
    RouteRequest shortRequest = request;
    shortRequest.IsShort = true;
    CHECK(policy->Plan(all, shortRequest, rng).IsWaitBounded);
  }
}

TEST_CASE("a limited request is refused once no other gate has room") {
  std::vector<Candidate> all{candidate("a", 0, true), candidate("b", 5, true),
                             candidate("c", 0, false)};
  all[0].WasTried = true;
  CHECK(hasRoomElsewhere(all, false, 2));
  all[2].State = Standing::Suspect;
  CHECK_FALSE(hasRoomElsewhere(all, false, 2));
  CHECK(hasRoomElsewhere(all, true, 2));
  all[2].WasTried = true;
  CHECK_FALSE(hasRoomElsewhere(all, true, 2));
}
