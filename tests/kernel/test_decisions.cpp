#include "libhickoryglade/costmodel.h"
#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/registry.h"
#include "libhickoryglade/retry.h"
#include "libhickoryglade/routerpolicy.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

Candidate candidate(const std::string &node, int free) {
  Candidate it;
  it.Node = node;
  it.Slots = 3;
  it.FreeSlots = free;
  it.Outstanding = 3 - free;
  return it;
}

RoutePlan plan(const char *router, const std::vector<Candidate> &all,
               RouteRequest question = {}) {
  Random rng(1);
  return Registry<RouterPolicy>::instance().find(router)->Plan(all, question,
                                                               rng);
}

RetryDecision retry(ErrorKind kind, RunState run, bool isIdempotent,
                    RetryBudget &budget) {
  return decideRetry({{kind, run, {}, {}},
                      isIdempotent,
                      1,
                      milliseconds(500),
                      milliseconds(25)},
                     budget);
}

} // namespace

TEST_CASE("the error table has a row for every error kind") {
  for (int i = 0; i <= int(ErrorKind::SlotTaken); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    CHECK(errorInfo(kind).Kind == kind);
    CHECK(errorInfo(kind).Status >= 400);
  }
  CHECK(errorKindFromWire(999) == ErrorKind::Internal);
  CHECK(errorKindFromWire(-1) == ErrorKind::Internal);
}

TEST_CASE("a request that may have run is retried only if it is idempotent") {
  RetryBudget budget;
  CHECK(retry(ErrorKind::GateLost, RunState::Unknown, false, budget).Verdict ==
        RetryVerdict::GiveUp);
  CHECK(retry(ErrorKind::GateLost, RunState::Unknown, true, budget).Verdict ==
        RetryVerdict::Retry);
  CHECK(retry(ErrorKind::GateLost, RunState::NotRun, false, budget).Verdict ==
        RetryVerdict::Retry);
}

TEST_CASE("retries stay within their budget") {
  RetryBudget budget;
  for (int i = 0; i < 1'000; ++i)
    budget.noteFresh(10);
  int n = 0;
  while (budget.tryTake())
    ++n;
  CHECK(n == 100);
}

TEST_CASE("routers skip unreachable gates and suspect endpoints") {
  std::vector<Candidate> all{candidate("a", 3), candidate("b", 3),
                             candidate("c", 1)};
  all[0].IsPathUp = false;
  all[1].State = Standing::Suspect;
  for (const char *router : {"two_choices", "tickets"}) {
    RoutePlan it = plan(router, all);
    REQUIRE(it.Targets.size() == 1);
    CHECK(it.Targets[0] == 2);
  }
}

TEST_CASE("suspect endpoints are used if no healthy one exists") {
  std::vector<Candidate> all{candidate("a", 3)};
  all[0].State = Standing::Suspect;
  CHECK(plan("two_choices", all).Targets.size() == 1);
  all[0].State = Standing::Ejected;
  CHECK(plan("two_choices", all).Targets.empty());
}

TEST_CASE("all copies of a serialized request are routed to one gate") {
  std::vector<Candidate> all{candidate("a", 3), candidate("b", 3),
                             candidate("c", 3)};
  RouteRequest question;
  question.IsSerialized = true;
  question.Fingerprint = 99;
  auto first = plan("two_choices", all, question).Targets;
  std::swap(all[0], all[2]);
  auto second = plan("tickets", all, question).Targets;
  REQUIRE(first.size() == 1);
  CHECK(first[0] == 2 - second[0]);
}

TEST_CASE("tickets are sent only if no free slot is known") {
  std::vector<Candidate> all{candidate("a", 0), candidate("b", 1),
                             candidate("c", 0)};
  CHECK(!plan("tickets", all).AwaitsGrant);
  all[1] = candidate("b", 0);
  RoutePlan it = plan("tickets", all);
  CHECK(it.AwaitsGrant);
  CHECK(it.Targets.size() == 3);
}

TEST_CASE(
    "costs are learned by route and size, for a bounded number of classes") {
  CostModel model(2);
  CostClass small{"/w/s/r", "GET", 10};
  CostClass large{"/w/s/r", "GET", 1'000'000};
  for (int i = 0; i < 50; ++i) {
    model.observe(small, milliseconds(20));
    model.observe(large, milliseconds(900));
  }
  CHECK(!model.estimate(small, milliseconds(400)).IsLong);
  CHECK(model.estimate(large, milliseconds(400)).IsLong);
  model.observe({"/x", "GET", 0}, milliseconds(1));
  CHECK(model.size() == 2);
}
