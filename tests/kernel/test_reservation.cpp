#include "libhickoryglade/gate.h"
#include "libhickoryglade/overload/prioritiesinuse.h"
#include "libhickoryglade/overload/slotreservation.h"
#include "libhickoryglade/repeatbudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Service = "w/s";

Instant at(int ms) { return Instant(milliseconds(ms)); }

Ticket ticket(const std::string &id, int priority, Instant now,
              int targetMs = 400, int costMs = 120) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = "w";
  it.Service = Service;
  it.Priority = priority;
  it.Deadline = now + milliseconds(targetMs);
  it.Target = it.Deadline;
  it.ExpectedCost = milliseconds(costMs);
  it.IsLong = costMs > 400;
  it.IsIdempotent = true;
  return it;
}

Gate makeGate(int slots, int percent) {
  Gate gate;
  ServicePolicy &policy = gate.Services[Service].Policy;
  policy.ReservedSlotsPercent = percent;
  policy.LongSlotsPercent = 100;
  policy.Order = QueueOrder::Workspace;
  announce(gate, {"e", Service, "127.0.0.1:1", slots, "1", false}, at(0));
  return gate;
}

int holders(const Gate &gate) {
  return int(gate.Endpoints.at("e").Holders.size());
}

std::vector<std::string> started(const GateActions &actions) {
  std::vector<std::string> all;
  for (const GateAction &it : actions)
    if (const auto *start = std::get_if<StartAction>(&it))
      all.push_back(start->AttemptId);
  return all;
}

/// An endpoint under bursts of long requests of low priority, one every 20 ms,
/// beside regular urgent short ones. Counts by the first letter of their ids.
struct Burst {
  Gate State;
  std::map<char, int> Offered;
  std::map<char, int> Answered;
  std::multimap<int, std::string> Ends;

  explicit Burst(int percent) : State(makeGate(8, percent)) {}

  void take(const GateActions &actions, int ms) {
    for (const std::string &id : started(actions))
      Ends.emplace(ms + (id[0] == 'l' ? 1'800 : 120), id);
  }

  void run(int urgentEveryMs, int longEveryMs, int longForMs) {
    for (int ms = 0; ms < 10'000; ms += 10) {
      while (!Ends.empty() && Ends.begin()->first <= ms) {
        std::string id = Ends.extract(Ends.begin()).mapped();
        ++Answered[id[0]];
        take(complete(State, id, AttemptOutcome::Answered, at(ms)), ms);
      }
      if (ms % 1'000 == 0)
        announce(State, {"e", Service, "127.0.0.1:1", 8, "1", false}, at(ms));
      if (ms % 50 == 0)
        take(tick(State, at(ms)), ms);
      auto arrive = [&](char kind, int priority, int targetMs, int costMs) {
        std::string id = kind + std::to_string(++Offered[kind]);
        take(offer(State, ticket(id, priority, at(ms), targetMs, costMs),
                   at(ms)),
             ms);
      };
      if (ms % urgentEveryMs == 0)
        arrive('u', 0, 400, 120);
      if (ms % longEveryMs < longForMs && ms % 20 == 0)
        arrive('l', 9, 8'000, 1'800);
    }
  }

  double share(char kind) { return Answered[kind] / double(Offered[kind]); }
};

} // namespace

TEST_CASE("reserved slots depend on the number of more urgent priorities",
          "[overload]") {
  CHECK(reservedSlots(8, 0, 2) == 0);
  CHECK(reservedSlots(8, 20, 0) == 0);
  CHECK(reservedSlots(8, 10, 1) == 1);
  CHECK(reservedSlots(8, 20, 1) == 2);
  CHECK(reservedSlots(8, 20, 2) == 4);
  CHECK(reservedSlots(8, 20, 7) == 4);
  CHECK(reservedSlots(8, 100, 2) == 7);
  CHECK(reservedSlots(1, 50, 2) == 0);
}

TEST_CASE("a priority is in use for five seconds", "[overload]") {
  PrioritiesInUse priorities;
  notePriority(priorities, 3, at(0));
  notePriority(priorities, 101 * 101, at(1'000));
  notePriority(priorities, 7, at(2'000));
  CHECK(countMoreUrgent(priorities, 3, 5, at(2'000)) == 0);
  CHECK(countMoreUrgent(priorities, 20'000, 5, at(2'000)) == 3);
  CHECK(countMoreUrgent(priorities, 20'000, 2, at(2'000)) == 2);
  CHECK(countMoreUrgent(priorities, 20'000, 5, at(5'500)) == 2);
  notePriority(priorities, 7, at(20'000));
  CHECK(priorities.SeenAt.size() == 1);
}

// Long requests of low priority filled all slots of a service, so that urgent
// calls of 120 ms with a target of 400 ms were refused.
TEST_CASE("reserved slots keep urgent calls going beside a burst of long ones",
          "[overload]") {
  Burst without(0);
  Burst with(25);
  for (Burst *it : {&without, &with})
    it->run(60, 2'000, 400);
  INFO("urgent " << without.share('u') << " and " << with.share('u')
                 << ", long " << without.Answered['l'] << " and "
                 << with.Answered['l']);
  CHECK(without.share('u') < 0.85);
  CHECK(with.share('u') > 0.97);
  // The urgent calls use two of the eight slots at a time.
  CHECK(with.Answered['l'] >= 0.6 * without.Answered['l']);
}

// The urgent calls alone would fill the endpoint. The lowest priority still
// gets its turns, also of the reserved slots.
TEST_CASE("the lowest priority is served beside an overload of urgent calls",
          "[overload]") {
  Burst burst(10);
  burst.run(10, 1'000, 20);
  INFO("urgent " << burst.share('u') << " long " << burst.share('l'));
  CHECK(burst.Answered['l'] >= 5);
  CHECK(burst.share('u') > 0.2);
}

TEST_CASE("a request always starts at an idle endpoint", "[overload]") {
  for (int slots : {1, 2, 3, 8})
    for (int percent : {1, 50, 100}) {
      Gate gate = makeGate(slots, percent);
      for (int priority : {0, 1, 2}) {
        std::string id = std::to_string(priority);
        offer(gate, ticket(id, priority, at(0)), at(0));
        cancel(gate, id, at(0));
        complete(gate, id, AttemptOutcome::Cancelled, at(0));
      }
      REQUIRE(holders(gate) == 0);
      auto now = ticket("low", 50, at(1));
      CHECK(started(offer(gate, now, at(1))) ==
            std::vector<std::string>{"low"});
    }
}

// A held request must start without any further message once the more urgent
// priority is no longer in use.
TEST_CASE("a request waits for a reserved slot until the priority is unused",
          "[overload]") {
  Gate gate = makeGate(2, 10);
  offer(gate, ticket("u", 0, at(0)), at(0));
  Ticket low = ticket("low", 9, at(0), 8'000);
  Ticket impatient = low;
  impatient.AttemptId = "impatient";
  impatient.OnlyIfFree = true;
  GateActions refused = offer(gate, impatient, at(0));
  REQUIRE(refused.size() == 1);
  CHECK(std::get<RefuseAction>(refused[0]).Reason.Kind == ErrorKind::SlotTaken);
  GateActions held = offer(gate, low, at(0));
  REQUIRE(held.size() == 1);
  CHECK(std::get<HoldAction>(held[0]).Reason == HoldReason::Reserved);
  for (int ms = 0; ms <= 5'000; ms += 1'000)
    announce(gate, {"e", Service, "127.0.0.1:1", 2, "1", false}, at(ms));
  CHECK(started(tick(gate, at(5'000))).empty());
  CHECK(started(tick(gate, at(5'050))) == std::vector<std::string>{"low"});
}

TEST_CASE("an endpoint on trial takes a request of low priority",
          "[overload]") {
  Gate gate = makeGate(3, 100);
  offer(gate, ticket("u", 0, at(0), 9'000), at(0));
  GateEndpoint &endpoint = gate.Endpoints.at("e");
  endpoint.State = Standing::Trial;
  endpoint.StateSince = at(1);
  CHECK(started(offer(gate, ticket("low", 9, at(1)), at(1))) ==
        std::vector<std::string>{"low"});
}

// Retries of less urgent requests used up a gate's part of the budget, so that
// the most urgent ones got none.
TEST_CASE("a part of the retry budget is kept for the most urgent requests",
          "[overload]") {
  for (int reserve : {0, 50}) {
    Gate gate = makeGate(100, 0);
    ServicePolicy &policy = gate.Services[Service].Policy;
    policy.RepeatReservePercent = reserve;
    policy.RetryBudgetPercent = 0;
    policy.RetryAllowance = 10;
    auto repeat = [&](int n, int priority) {
      Ticket it = ticket(std::to_string(priority) + "/" + std::to_string(n),
                         priority, at(n));
      it.IsRepeat = true;
      return started(offer(gate, it, at(n))).size();
    };
    offer(gate, ticket("first", 0, at(0)), at(0));
    std::size_t less = 0;
    std::size_t most = 0;
    for (int n = 0; n < 10; ++n)
      less += repeat(n, 4);
    for (int n = 0; n < 10; ++n)
      most += repeat(n, 0);
    CHECK(less == (reserve == 0 ? 10 : 5));
    CHECK(most == (reserve == 0 ? 0 : 5));
  }
}
