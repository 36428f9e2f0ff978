#include "libhickoryglade/fairqueue.h"
#include "libhickoryglade/gate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(int ms) { return Instant(milliseconds(ms)); }

Ticket ticket(const std::string &id, const std::string &workspace, int priority,
              int targetMs = 1'000, int costMs = 100) {
  Ticket it;
  it.AttemptId = id;
  it.Workspace = workspace;
  it.Service = "w/s";
  it.Priority = priority;
  it.Deadline = at(60'000);
  it.Target = at(targetMs);
  it.ExpectedCost = milliseconds(costMs);
  return it;
}

void push(FairQueue &queue, Ticket it, int waitsSinceMs = 0) {
  it.WaitingSince = at(waitsSinceMs);
  queue.push(std::move(it), 1, QueueOrder::Workspace);
}

std::string popId(FairQueue &queue, int ms = 1) {
  auto next = queue.popRanked([](const Ticket &) { return true; }, at(ms));
  return next ? next->AttemptId : "";
}

std::vector<std::string> popAll(FairQueue &queue) {
  std::vector<std::string> all;
  while (queue.size() > 0)
    all.push_back(popId(queue));
  return all;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE(
    "the order workspace ranks priorities across workspaces, then targets",
    "[overload]") {
  FairQueue queue;
  push(queue, ticket("low", "a", 101 * 101));
  push(queue, ticket("later", "b", 5, 900));
  push(queue, ticket("sooner", "b", 5, 300));
  push(queue, ticket("urgent", "c", 1, 2'000));
  CHECK(popAll(queue) == Ids{"urgent", "sooner", "later", "low"});
}

// With per-workspace order a workspace's flood would delay the others of its
// priority by its whole queue.
TEST_CASE("a workspace with six times its usual load gets what others leave",
          "[overload]") {
  FairQueue queue;
  std::map<std::string, int> offered;
  std::map<std::string, int> starts;
  // One start every 100 ms; "b" and "c" need 60% of them, "a" six times its
  // usual 30%.
  for (int ms = 0; ms < 20'000; ms += 100) {
    auto arrive = [&](const std::string &workspace, double perStart) {
      int past = ms / 100 + 1;
      while (offered[workspace] < perStart * past)
        push(queue,
             ticket(workspace + std::to_string(++offered[workspace]), workspace,
                    3, ms + 400),
             ms);
    };
    arrive("a", 1.8);
    arrive("b", 0.3);
    arrive("c", 0.3);
    ++starts[popId(queue, ms).substr(0, 1)];
  }
  // The turns of the longest-waiting ticket, an eighth, go to "a", which has
  // the longest queue. Each of the others has at most two tickets left over.
  CHECK(starts["b"] >= offered["b"] - 2);
  CHECK(starts["c"] >= offered["c"] - 2);
  CHECK(starts["a"] >= 75);
}

TEST_CASE("shares divide the slot time of one priority", "[overload]") {
  FairQueue queue;
  for (int i = 0; i < 60; ++i) {
    queue.push(ticket("a" + std::to_string(i), "a", 3), 2,
               QueueOrder::Workspace);
    queue.push(ticket("b" + std::to_string(i), "b", 3), 1,
               QueueOrder::Workspace);
  }
  int fromA = 0;
  for (int i = 0; i < 60; ++i)
    fromA += popId(queue).starts_with("a");
  CHECK(fromA == 40);
}

// Under a lasting overload of urgent requests the lowest priority got nothing.
TEST_CASE("one start in eight goes to the longest-waiting ticket",
          "[overload]") {
  FairQueue queue;
  for (int i = 0; i < 4; ++i)
    push(queue, ticket("low" + std::to_string(i), "a", 100), i);
  Ids lows;
  std::vector<int> places;
  for (int i = 0; i < 40; ++i) {
    push(queue, ticket("u" + std::to_string(i), "b", 0), 100 + i);
    std::string id = popId(queue, 200 + i);
    if (!id.starts_with("low"))
      continue;
    lows.push_back(id);
    places.push_back(i);
  }
  CHECK(lows == Ids{"low0", "low1", "low2", "low3"});
  CHECK(places == std::vector<int>{7, 15, 23, 31});
}

TEST_CASE("a ticket that cannot meet its deadline gets no turn", "[overload]") {
  FairQueue queue;
  Ticket late = ticket("late", "a", 100);
  late.Deadline = at(250);
  push(queue, late, 0);
  push(queue, ticket("low", "a", 100), 1);
  Ids started;
  for (int i = 0; i < 8; ++i) {
    push(queue, ticket("u" + std::to_string(i), "b", 0), 100 + i);
    started.push_back(popId(queue, 200 + i));
  }
  CHECK(started.back() == "low");
  CHECK(std::ranges::find(started, "late") == started.end());
}

// Admission refused urgent requests for the queue of less urgent ones, and
// admitted these although more urgent ones of other workspaces went before.
TEST_CASE("the expected wait follows the order workspace", "[overload]") {
  FairQueue queue;
  for (int i = 0; i < 10; ++i) {
    push(queue, ticket("low" + std::to_string(i), "a", 9));
    push(queue, ticket("mid" + std::to_string(i), "b", 5));
  }
  push(queue, ticket("own", "c", 5, 500));
  auto ahead = [&](const Ticket &it) {
    return std::pair(queue.costAhead(it, 1, QueueOrder::Workspace),
                     queue.countAhead(it, 1, QueueOrder::Workspace));
  };
  using Ahead = std::pair<Micros, std::size_t>;
  CHECK(ahead(ticket("x", "d", 0)) == Ahead(0, 0));
  // All of "b" and "c" and, of its equals, none before its own target.
  CHECK(ahead(ticket("x", "a", 9, 400)) == Ahead(milliseconds(1'100), 11));
  CHECK(ahead(ticket("x", "a", 9, 2'000)) == Ahead(milliseconds(2'100), 21));
  // Its own ticket, and as much of the other workspace of its priority.
  CHECK(ahead(ticket("x", "c", 5, 2'000)) == Ahead(milliseconds(201), 3));
}

TEST_CASE("an urgent request that must not wait passes those that do",
          "[overload]") {
  for (bool isRanked : {false, true}) {
    Gate gate;
    ServicePolicy &policy = gate.Services["w/s"].Policy;
    policy.Order = isRanked ? QueueOrder::Workspace : QueueOrder::Target;
    policy.LongSlotsPercent = 50;
    announce(gate, {"e", "w/s", "127.0.0.1:1", 2, "1", false}, at(0));
    for (const char *id : {"long1", "long2"}) {
      Ticket it = ticket(id, "a", 9);
      it.IsLong = true;
      it.MaxWait = seconds(10);
      offer(gate, it, at(0));
    }
    REQUIRE(loadOf(gate, "w/s", at(0)).Queued == 1);
    Ticket urgent = ticket("urgent", "b", 0);
    urgent.OnlyIfFree = true;
    GateActions actions = offer(gate, urgent, at(1));
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<StartAction>(actions[0]) == isRanked);
    CHECK(loadOf(gate, "w/s", at(1)).Queued == 1);
  }
}
