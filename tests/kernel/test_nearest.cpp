#include "libhickoryglade/membership.h"
#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"
#include "libhickoryglade/standingboard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace hickoryglade;
using std::chrono::milliseconds;

// The router "nearest" is made for services with some dozen gates in each of
// six data centres, where traffic between data centres is expensive.

namespace {

constexpr int GatesPerDataCentre = 5;

std::vector<Candidate> sixDataCentres() {
  std::vector<Candidate> all;
  for (int dc = 0; dc < 6; ++dc)
    for (int i = 0; i < GatesPerDataCentre; ++i) {
      Candidate it;
      it.Node = "n" + std::to_string(dc) + std::to_string(i);
      it.DataCentre = "dc" + std::to_string(dc);
      it.Slots = 4;
      it.FreeSlots = 4;
      it.IsNear = dc == 0;
      all.push_back(it);
    }
  return all;
}

void fill(std::vector<Candidate> &all, const std::string &dataCentre) {
  for (Candidate &it : all)
    if (it.DataCentre == dataCentre) {
      it.FreeSlots = 0;
      it.Queued = 2;
    }
}

RoutePlan plan(const std::vector<Candidate> &all, int refusals, Random &rng) {
  RouteRequest request;
  request.CapacityRefusals = refusals;
  request.IsIdempotent = false;
  return Registry<RouterPolicy>::instance().find("nearest")->Plan(all, request,
                                                                  rng);
}

std::set<std::string> dataCentresOf(const std::vector<Candidate> &all,
                                    const RoutePlan &it) {
  std::set<std::string> dataCentres;
  for (std::size_t i : it.Targets)
    dataCentres.insert(all[i].DataCentre);
  return dataCentres;
}

} // namespace

TEST_CASE("requests go to gates in the entry's data centre first") {
  Random rng(1);
  auto all = sixDataCentres();
  RoutePlan direct = plan(all, 0, rng);
  CHECK(direct.OnlyIfFree);
  CHECK(dataCentresOf(all, direct) == std::set<std::string>{"dc0"});
  RoutePlan tickets = plan(all, 1, rng);
  CHECK(tickets.AwaitsGrant);
  CHECK(tickets.IsWaitBounded);
  CHECK(tickets.Targets.size() == 4);
  CHECK(dataCentresOf(all, tickets) == std::set<std::string>{"dc0"});
}

TEST_CASE("without free slots near, a request goes to one other data centre") {
  Random rng(1);
  auto all = sixDataCentres();
  fill(all, "dc0");
  RoutePlan far = plan(all, 2, rng);
  CHECK(far.OnlyIfFree);
  CHECK(dataCentresOf(all, far).size() == 1);
  CHECK_FALSE(dataCentresOf(all, far).contains("dc0"));
  RoutePlan last = plan(all, 3, rng);
  CHECK(last.AwaitsGrant);
  CHECK_FALSE(last.IsWaitBounded);
  CHECK(dataCentresOf(all, last).size() == 2);
}

TEST_CASE("overflow spreads over the data centres with free slots") {
  Random rng(1);
  auto all = sixDataCentres();
  for (const char *dataCentre : {"dc0", "dc1", "dc2"})
    fill(all, dataCentre);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 1'000; ++i)
    for (const std::string &dataCentre : dataCentresOf(all, plan(all, 2, rng)))
      ++chosen[dataCentre];
  // Two draws among five data centres both hit one of the two full ones in 4 of
  // 25 cases.
  CHECK(chosen["dc1"] + chosen["dc2"] < 220);
  for (const char *dataCentre : {"dc3", "dc4", "dc5"})
    CHECK(chosen[dataCentre] > 200);
}

// Guards against requests that may run only once failing at doubtful endpoints.
// This comes about when gates of unresponsive endpoints refuse them while other
// endpoints of the service fail.
TEST_CASE("a request that may run only once prefers a tried gate to a doubtful "
          "endpoint") {
  Random rng(7);
  std::vector<Candidate> all = sixDataCentres();
  all.resize(3);
  all[0].WasTried = true;
  all[1].State = Standing::Suspect;
  all[2].State = Standing::Trial;
  RouteRequest request;
  request.TrialOdds = 1'000'000;
  request.IsIdempotent = false;
  CHECK(eligibleCandidates(all, request, rng) == std::vector<std::size_t>{0});
  request.IsIdempotent = true;
  CHECK(eligibleCandidates(all, request, rng) == std::vector<std::size_t>{1});
  all[0].WasTried = false;
  CHECK(eligibleCandidates(all, request, rng) == std::vector<std::size_t>{0});
}

TEST_CASE("without gates near, requests go to another data centre at once") {
  Random rng(1);
  auto all = sixDataCentres();
  std::erase_if(all, [](const Candidate &it) { return it.IsNear; });
  RoutePlan far = plan(all, 0, rng);
  CHECK(far.Targets.size() == 1);
  CHECK(far.OnlyIfFree);
}

TEST_CASE("with gates in one data centre only, the wait is not bounded") {
  Random rng(1);
  auto all = sixDataCentres();
  std::erase_if(all, [](const Candidate &it) { return !it.IsNear; });
  CHECK_FALSE(plan(all, 1, rng).IsWaitBounded);
  CHECK(plan(all, 5, rng).AwaitsGrant);
}

TEST_CASE("reports of standings replace older ones and expire") {
  StandingBoard board;
  Instant start(milliseconds(0));
  StandingReport first{"n", 7, 1, {{"e", Standing::Suspect}}};
  CHECK(applyReport(board, first, start));
  CHECK(transientStanding(board, "n", 7, "e") == Standing::Suspect);
  CHECK_FALSE(transientStanding(board, "n", 8, "e"));
  CHECK_FALSE(transientStanding(board, "n", 7, "other"));
  StandingReport recovered{"n", 7, 2, {}};
  CHECK(applyReport(board, recovered, start));
  // A late copy of the first.
  CHECK_FALSE(applyReport(board, first, start));
  CHECK_FALSE(transientStanding(board, "n", 7, "e"));
  StandingReport third{"n", 7, 3, {{"e", Standing::Trial}}};
  CHECK(applyReport(board, third, start));
  CHECK_FALSE(expireReports(board, start + StandingLifetime));
  CHECK(expireReports(board, start + StandingLifetime + milliseconds(1)));
  CHECK_FALSE(transientStanding(board, "n", 7, "e"));
}

TEST_CASE("members of a data centre have distinct ranks") {
  Instant start(milliseconds(0));
  std::vector<Membership> all;
  for (const char *node : {"a", "b", "c", "far"}) {
    MemberRecord record;
    record.Node = node;
    record.FleetAddress = node;
    record.DataCentre = std::string(node) == "far" ? "y" : "x";
    all.push_back(makeMembership(record, {}, 1, start));
  }
  for (Membership &to : all)
    for (const Membership &from : all) {
      MemberUpdate update{from.Members.at(from.Self).Record,
                          MemberState::Alive};
      receive(to, {GossipKind::Updates, from.Self, from.Self, 0, {}, {update}},
              start);
    }
  std::set<std::size_t> ranks;
  for (std::size_t i = 0; i < 3; ++i)
    ranks.insert(rankInDataCentre(all[i]));
  CHECK(ranks == std::set<std::size_t>{0, 1, 2});
  CHECK(rankInDataCentre(all[3]) == 0);
  CHECK(nearPeers(all[0]).size() == 2);
}
