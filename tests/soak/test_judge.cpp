#include "soak/judge.h"
#include "soak/workplan.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using namespace hickoryglade::soak;

namespace {

constexpr std::int64_t StopMs = 100'000;

/// A lookup with 2.5 s of time that got a 502 of the fleet's own.
Request ownAnswer(std::int64_t sentMs, std::int64_t endMs) {
  return {.Id = "a",
          .Node = "n1",
          .Route = "look",
          .SentMs = sentMs,
          .TimeMs = 2'500,
          .MaxAttempts = 2,
          .EndMs = endMs,
          .Status = 502,
          .IsOwn = true};
}

Run runOf(std::int64_t beginMs, std::int64_t endMs, RunEnd end,
          const std::string &server = "s1") {
  return {"a", server, beginMs, endMs, end};
}

Verdict judgeOne(const Request &request, std::vector<Run> runs,
                 std::vector<NodeEvent> starts = {}) {
  return judge(
      {{request}, std::move(runs), std::move(starts), {{"n1", StopMs}}});
}

} // namespace

TEST_CASE("a run cut by the next process on a stopped node is lost", "[soak]") {
  std::int64_t sent = StopMs + 5'100;
  Verdict it = judgeOne(ownAnswer(sent, sent + 705),
                        {runOf(sent + 2, sent + 703, RunEnd::Cut)},
                        {{"n1", StopMs - 50'000}, {"n1", StopMs + 4'200}});
  REQUIRE(it.Cases.size() == 1);
  CHECK(it.Cases[0].Kind == FaultKind::BrokenOff);
  CHECK(it.Cases[0].AfterStopMs == 5'805);
  CHECK(it.Cases[0].ProcessAgeMs == 1'605);
  CHECK(it.faults() == 1);
}

TEST_CASE("the window of a stop ends a second after the grace period",
          "[soak]") {
  auto faultsAt = [](std::int64_t endMs, const std::string &node) {
    Request request = ownAnswer(endMs - 700, endMs);
    request.Node = node;
    return judgeOne(request, {runOf(endMs - 690, endMs - 1, RunEnd::Cut)})
        .faults();
  };
  CHECK(faultsAt(StopMs - 1, "n1") == 0);
  CHECK(faultsAt(StopMs, "n1") == 1);
  CHECK(faultsAt(StopMs + 7'000, "n1") == 1);
  CHECK(faultsAt(StopMs + 7'001, "n1") == 0);
  CHECK(faultsAt(StopMs + 1'000, "n2") == 0);
}

TEST_CASE("a break outside of all windows is counted, but no fault", "[soak]") {
  Verdict it = judgeOne(ownAnswer(StopMs + 8'000, StopMs + 8'700),
                        {runOf(StopMs + 8'002, StopMs + 8'699, RunEnd::Cut)});
  CHECK(it.count(FaultKind::BrokenOff, false) == 1);
  CHECK(it.faults() == 0);
}

TEST_CASE("a server that breaks off by itself loses nothing", "[soak]") {
  Request request = ownAnswer(StopMs + 100, StopMs + 600);
  std::vector<Run> runs = {
      runOf(StopMs + 110, StopMs + 300, RunEnd::BrokenOff),
      runOf(StopMs + 310, StopMs + 599, RunEnd::BrokenOff, "s2")};
  CHECK(judgeOne(request, runs).Cases.empty());
  request.Status = 0;
  request.IsOwn = false;
  CHECK(judgeOne(request, runs).Cases.empty());
}

TEST_CASE("a cut run is lost although the server of its retry breaks off",
          "[soak]") {
  Verdict it =
      judgeOne(ownAnswer(StopMs + 100, StopMs + 900),
               {runOf(StopMs + 110, StopMs + 600, RunEnd::Cut),
                runOf(StopMs + 610, StopMs + 899, RunEnd::BrokenOff, "s2")});
  CHECK(it.faults() == 1);
}

TEST_CASE("an answer of the fleet's own beside a server at work is lost",
          "[soak]") {
  Verdict it = judgeOne(ownAnswer(StopMs + 100, StopMs + 600),
                        {runOf(StopMs + 110, StopMs + 900, RunEnd::Answered)});
  CHECK(it.faults() == 1);
}

TEST_CASE("an answer of the fleet's own before any run is not lost", "[soak]") {
  CHECK(judgeOne(ownAnswer(StopMs + 100, StopMs + 600), {}).Cases.empty());
}

TEST_CASE("a request that has used its time is not lost", "[soak]") {
  Request request = ownAnswer(StopMs + 100, StopMs + 2'590);
  Verdict it =
      judgeOne(request, {runOf(StopMs + 110, StopMs + 2'589, RunEnd::Cut)});
  CHECK(it.Cases.empty());
  CHECK(it.LateAfterCut == 0);
  it = judgeOne(request, {runOf(StopMs + 110, StopMs + 1'000, RunEnd::Cut)});
  CHECK(it.Cases.empty());
  CHECK(it.LateAfterCut == 1);
}

TEST_CASE("a node may cut early requests at the end of its grace period",
          "[soak]") {
  auto casesFor = [](std::int64_t sentMs, std::int64_t cutMs) {
    Request request = ownAnswer(sentMs, cutMs + 1);
    request.TimeMs = 10'000;
    return judgeOne(request, {runOf(sentMs + 1, cutMs, RunEnd::Cut)})
        .Cases.size();
  };
  CHECK(casesFor(StopMs + 3'000, StopMs + 5'000) == 0);
  CHECK(casesFor(StopMs + 3'001, StopMs + 5'000) == 1);
  CHECK(casesFor(StopMs + 3'000, StopMs + 4'999) == 1);
}

TEST_CASE("a request without an answer is lost once it was read", "[soak]") {
  Request request = ownAnswer(StopMs + 100, StopMs + 250);
  request.Status = 0;
  request.IsOwn = false;
  CHECK(judgeOne(request, {}).Cases.empty());
  Run run = runOf(StopMs + 110, StopMs + 249, RunEnd::Cut);
  CHECK(judgeOne(request, {run}).count(FaultKind::Unanswered, true) == 1);
  run.End = RunEnd::Answered;
  CHECK(judgeOne(request, {run}).count(FaultKind::Unanswered, true) == 1);
  request.EndMs = StopMs + 400;
  CHECK(judgeOne(request, {}).count(FaultKind::Unanswered, true) == 1);
  request.HasClientLeft = true;
  CHECK(judgeOne(request, {}).Cases.empty());
}

TEST_CASE("an order runs once at most, and not if it was refused", "[soak]") {
  Request order = ownAnswer(StopMs + 8'000, StopMs + 8'700);
  order.IsIdempotent = false;
  Run first = runOf(StopMs + 8'010, StopMs + 8'100, RunEnd::BrokenOff);
  Run second = runOf(StopMs + 8'110, StopMs + 8'200, RunEnd::BrokenOff);
  CHECK(judgeOne(order, {first}).faults() == 0);
  CHECK(judgeOne(order, {first, second}).count(FaultKind::Twice, false) == 1);
  order.Status = 503;
  CHECK(judgeOne(order, {}).faults() == 0);
  CHECK(judgeOne(order, {first}).count(FaultKind::Refused, false) == 1);
  order.IsOwn = false;
  CHECK(judgeOne(order, {first}).faults() == 0);
}

TEST_CASE("servers beyond the limit of attempts are counted", "[soak]") {
  Request request = ownAnswer(StopMs + 8'000, StopMs + 8'700);
  auto run = [](const std::string &server) {
    return runOf(StopMs + 8'010, StopMs + 8'100, RunEnd::BrokenOff, server);
  };
  CHECK(judgeOne(request, {run("s1"), run("s1"), run("s2")}).Cases.empty());
  CHECK(judgeOne(request, {run("s1"), run("s2"), run("s3")})
            .count(FaultKind::OverBudget, false) == 1);
}

TEST_CASE("a server's work depends on the seed and the request only",
          "[soak]") {
  FaultPhases phases{.Seed = 7, .EpochMs = StopMs, .Odds = 1};
  int faulty = 0;
  for (std::int64_t ms = 0; ms < phases.PeriodMs; ms += 10)
    faulty += isFaulty(phases, "s1", StopMs + phases.PeriodMs + ms);
  CHECK(faulty == 270);
  std::int64_t at = StopMs + phases.PeriodMs;
  while (!isFaulty(phases, "s1", at))
    ++at;
  std::string target = "/look/x?work=300&calls=2";
  WorkPlan plan = planOf(phases, "s1", "a", target, at);
  CHECK(plan.Work == Millis(300));
  CHECK(plan.Calls == 2);
  REQUIRE(plan.BreakAfter);
  CHECK(*plan.BreakAfter < Millis(300));
  CHECK(plan == planOf(phases, "s1", "a", target, at));
  CHECK(plan != planOf(phases, "s2", "a", target, at));
}

namespace {

constexpr std::int64_t GateStopMs = 300'000;

/// What was seen of a lookup of entry n1 whose run at the gate n2 was cut; n3
/// is another gate of its service.
struct GateScene {
  Request Of = {.Id = "a",
                .Node = "n1",
                .Route = "archive",
                .Service = "gamma",
                .SentMs = GateStopMs - 1'000,
                .TimeMs = 9'500,
                .MaxAttempts = 2,
                .Status = 502,
                .IsOwn = true};
  Run First = {.Id = "a",
               .Server = "s2",
               .BeginMs = GateStopMs - 998,
               .End = RunEnd::Cut,
               .Gate = "n2",
               .WorkMs = 7'500};
  std::vector<Run> Others = {};
  std::vector<NodeEvent> Stops = {{"n2", GateStopMs}};
  std::vector<NodeEvent> Ends = {};

  explicit GateScene(std::int64_t cutMs) {
    First.EndMs = GateStopMs + cutMs;
    Of.EndMs = First.EndMs + 2;
    Ends = {{"n2", First.EndMs + 120}};
  }

  Verdict judged() const {
    Record record{.Requests = {Of},
                  .Runs = Others,
                  .Starts = {{"n1", 0}, {"n2", 0}, {"n3", 0}},
                  .Stops = Stops,
                  .Ends = Ends,
                  .Servers = {{"n2", "gamma"}, {"n3", "gamma"}}};
    record.Runs.push_back(First);
    return judge(record);
  }
  GateCuts cuts() const { return judged().Gates; }
};

Run answeredElsewhere(const GateScene &scene, std::int64_t endMs) {
  return {.Id = "a",
          .Server = "s3",
          .BeginMs = scene.First.EndMs - 500,
          .EndMs = endMs,
          .Gate = "n3",
          .WorkMs = 7'500};
}

} // namespace

TEST_CASE("a gate may cut runs of other entries at its end only", "[soak]") {
  GateCuts early = GateScene(5'599).cuts();
  REQUIRE(early.Early.size() == 1);
  CHECK(early.Early[0].Kind == FaultKind::CutByGate);
  CHECK(early.Early[0].AfterGateStopMs == 5'599);
  CHECK(early.EarlyAnswered == 0);
  CHECK(early.Outlasting == 0);
  GateCuts late = GateScene(5'600).cuts();
  CHECK(late.Early.empty());
  CHECK(late.Outlasting == 1);
  CHECK(late.OutlastingAnswered == 0);
  CHECK(late.OutlastingInGrace == 0);
  GateScene due(5'600);
  due.First.WorkMs = 6'997;
  CHECK(due.cuts().OutlastingInGrace == 1);
  due.First.WorkMs = 6'998;
  CHECK(due.cuts().OutlastingInGrace == 0);
}

TEST_CASE("a run that its gate cuts is a case beside the rules", "[soak]") {
  Verdict it = GateScene(5'300).judged();
  CHECK(it.Gates.Early.size() == 1);
  CHECK(it.faults() == 0);
  REQUIRE(it.count(FaultKind::BrokenOff, false) == 1);
  CHECK(it.Cases[0].AfterGateStopMs == 5'300);
}

TEST_CASE("a run that outlasts its gate is lost beside a stop of its entry",
          "[soak]") {
  auto lost = [](std::int64_t cutMs) {
    GateScene scene(cutMs);
    scene.Stops.push_back({"n1", GateStopMs + 2'000});
    return scene.judged();
  };
  CHECK(lost(5'599).faults() == 1);
  CHECK(lost(5'599).countOutlasting() == 0);
  CHECK(lost(5'600).faults() == 1);
  CHECK(lost(5'600).countOutlasting() == 1);
}

TEST_CASE("an entry that gives up a run is not told from its gate's cut",
          "[soak]") {
  GateScene scene(5'300);
  scene.First.End = RunEnd::Answered;
  scene.First.EndMs = scene.Of.EndMs + 400;
  CHECK(scene.cuts().Early.size() == 1);
}

TEST_CASE("a run is cut by its gate only if the gate ends", "[soak]") {
  GateScene scene(5'300);
  scene.Ends[0].AtMs = scene.First.EndMs + 501;
  CHECK(scene.cuts() == GateCuts{});
  scene.Ends[0].AtMs = scene.First.EndMs - 101;
  CHECK(scene.cuts() == GateCuts{});
  scene.Ends[0] = {"n3", scene.First.EndMs};
  CHECK(scene.cuts() == GateCuts{});
  scene = GateScene(5'300);
  scene.Stops.clear();
  CHECK(scene.cuts() == GateCuts{});
}

TEST_CASE("a run that is no longer needed is not cut by its gate", "[soak]") {
  GateScene own(5'300);
  own.First.Gate = "n1";
  own.Ends[0].Node = "n1";
  own.Stops[0].Node = "n1";
  CHECK(own.cuts() == GateCuts{});
  GateScene left(5'300);
  left.Of.HasClientLeft = true;
  CHECK(left.cuts() == GateCuts{});
  GateScene late(5'300);
  late.Of.TimeMs = 6'350;
  CHECK(late.cuts() == GateCuts{});
  late.Of.TimeMs = 6'351;
  CHECK(late.cuts().Early.size() == 1);
  GateScene replaced(5'300);
  replaced.Of.Status = 200;
  replaced.Of.IsOwn = false;
  replaced.Of.EndMs = replaced.First.EndMs + 100;
  replaced.Others = {answeredElsewhere(replaced, replaced.First.EndMs)};
  CHECK(replaced.cuts() == GateCuts{});
  replaced.Of.EndMs = replaced.First.EndMs + 101;
  CHECK(replaced.cuts().Early.size() == 1);
  CHECK(replaced.cuts().EarlyAnswered == 1);
}

TEST_CASE("a cut at the end of the entry's own stop is counted apart",
          "[soak]") {
  GateScene scene(5'300);
  scene.Stops.push_back({"n1", GateStopMs + 300});
  CHECK(scene.cuts().WithEntryEnding == 1);
  CHECK(scene.cuts().Early.empty());
  scene.Stops.back().AtMs = GateStopMs + 301;
  CHECK(scene.cuts().WithEntryEnding == 0);
  CHECK(scene.cuts().Early.size() == 1);
}

TEST_CASE("a run is replaceable with a gate, an attempt and time", "[soak]") {
  GateScene scene(5'600);
  CHECK(scene.cuts().Replaceable == 1);
  GateScene order = scene;
  order.Of.IsIdempotent = false;
  CHECK(order.cuts().Replaceable == 0);
  GateScene single = scene;
  single.Of.MaxAttempts = 1;
  CHECK(single.cuts().Replaceable == 0);
  GateScene slow = scene;
  slow.First.WorkMs = 8'300;
  CHECK(slow.cuts().Replaceable == 0);
  GateScene alone = scene;
  alone.Stops.push_back({"n3", GateStopMs - 3'000});
  CHECK(alone.cuts().Replaceable == 0);
  GateScene answered = scene;
  answered.Of.Status = 200;
  answered.Of.IsOwn = false;
  answered.Of.EndMs = scene.First.EndMs + 2'000;
  answered.Others = {answeredElsewhere(scene, answered.Of.EndMs - 1)};
  CHECK(answered.cuts().Outlasting == 1);
  CHECK(answered.cuts().OutlastingAnswered == 1);
  CHECK(answered.cuts().Replaceable == 1);
  CHECK(answered.cuts().ReplaceableAnswered == 1);
}
