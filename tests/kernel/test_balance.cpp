#include "libhickoryglade/balance/comparison.h"
#include "libhickoryglade/balance/loadestimate.h"
#include "libhickoryglade/registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <sstream>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Comparison of gates: entries whose reports of the gates' loads are old spread
// requests evenly, and lost or late replies cost little.

namespace {

constexpr int Slots = 8;

std::vector<Candidate> makeGates(int n) {
  std::vector<Candidate> all;
  for (int i = 0; i < n; ++i) {
    Candidate it;
    it.Node = "n" + std::to_string(i);
    it.DataCentre = "dc";
    it.Slots = Slots;
    it.FreeSlots = Slots;
    it.IsNear = true;
    all.push_back(it);
  }
  return all;
}

void report(Candidate &it, int free, Micros age) {
  it.ReportedFree = free;
  it.ReportAge = age;
}

RoutePlan plan(const std::vector<Candidate> &all, int compared, Random &rng,
               int refusals = 0) {
  RouteRequest request;
  request.CapacityRefusals = refusals;
  request.IsIdempotent = false;
  request.CompareGates = compared;
  return Registry<RouterPolicy>::instance().find("nearest")->Plan(all, request,
                                                                  rng);
}

GrantLoad loadOf(int busy) { return {Slots, Slots - busy, 0}; }

double shareOf(const std::vector<Candidate> &all, std::size_t gate) {
  constexpr int draws = 4'000;
  Random rng(1);
  int chosen = 0;
  for (int i = 0; i < draws; ++i)
    chosen += int(std::ranges::count(plan(all, 2, rng).Targets, gate));
  return double(chosen) / draws;
}

} // namespace

// Guards against herding: entries that share one old report all choose the gate
// that it shows as free.
TEST_CASE("an old report of a free gate does not attract all entries",
          "[balance]") {
  auto all = makeGates(58);
  auto reportAll = [&](Micros age) {
    for (Candidate &it : all)
      report(it, 1, age);
    report(all[0], Slots, age);
  };
  reportAll(seconds(10));
  CHECK(shareOf(all, 0) < 1.3 * 2 / 58);
  reportAll(milliseconds(100));
  CHECK(shareOf(all, 0) > 3.0 * 2 / 58);
  CHECK(shareOf(all, 0) < 0.5);
}

// Guards against the opposite: an old report of a full gate keeps requests
// away, so that no reply ever replaces it.
TEST_CASE("an old report of a full gate does not keep requests away",
          "[balance]") {
  auto all = makeGates(10);
  for (Candidate &it : all)
    report(it, 6, seconds(10));
  report(all[0], 0, seconds(10));
  CHECK(shareOf(all, 0) > 0.8 * 2 / 10);
  report(all[0], 0, milliseconds(600));
  CHECK(shareOf(all, 0) < 0.7 * 2 / 10);
  for (Candidate &it : all)
    report(it, 0, seconds(60));
  CHECK(shareOf(all, 0) == Approx(0.2).margin(0.03));
}

// Guards against two defects of the estimate: an entry that forgets its own
// requests, and gates that are never heard of weighing as idle ones.
TEST_CASE("the expected load follows the mean and the entry's own requests",
          "[balance]") {
  auto all = makeGates(4);
  CHECK(meanBusyShare(all) == 0);
  report(all[0], 2, milliseconds(0));
  report(all[1], 6, milliseconds(0));
  double mean = meanBusyShare(all);
  CHECK(mean == Approx(0.5));
  CHECK(expectedBusyShare(all[0], mean) == Approx(0.75));
  CHECK(expectedBusyShare(all[2], mean) == Approx(0.5));
  all[2].Outstanding = 7;
  CHECK(expectedBusyShare(all[2], mean) == Approx(7.0 / 8));
  report(all[0], 2, seconds(1));
  CHECK(expectedBusyShare(all[0], mean) == Approx(0.5 + 0.25 * std::exp(-1.0)));
  report(all[0], 2, seconds(60));
  CHECK(expectedBusyShare(all[0], mean) == Approx(mean).margin(1e-6));
}

// Guards against comparisons where they would only cost time or mislead: one
// free gate, limits, doubtful endpoints, requests whose content is suspect.
TEST_CASE("gates are compared only if two healthy ones may be free",
          "[balance]") {
  Random rng(1);
  auto all = makeGates(3);
  RoutePlan it = plan(all, 2, rng);
  CHECK(it.IsComparison);
  CHECK(it.OnlyIfFree);
  CHECK(it.AwaitsGrant);
  CHECK(it.Targets.size() == 2);
  CHECK(it.Targets[0] != it.Targets[1]);
  CHECK(plan(all, 4, rng).Targets.size() == 3);
  CHECK_FALSE(plan(all, 2, rng, 1).IsComparison);
  SECTION("one gate") {
    all.resize(1);
    CHECK(plan(all, 2, rng) == plan(all, 0, rng));
  }
  SECTION("one free gate") {
    all[0].FreeSlots = all[2].FreeSlots = 0;
    it = plan(all, 2, rng);
    CHECK_FALSE(it.IsComparison);
    CHECK(it.Targets == std::vector<std::size_t>{1});
  }
  SECTION("limits") {
    for (Candidate &gate : all)
      gate.IsLimited = true;
    CHECK_FALSE(plan(all, 2, rng).IsComparison);
  }
  SECTION("doubtful endpoints") {
    for (Candidate &gate : all)
      gate.State = Standing::Suspect;
    CHECK_FALSE(plan(all, 2, rng).IsComparison);
  }
  SECTION("no free gate") {
    for (Candidate &gate : all)
      gate.FreeSlots = 0;
    it = plan(all, 2, rng);
    CHECK_FALSE(it.IsComparison);
    CHECK_FALSE(it.OnlyIfFree);
    CHECK(it.AwaitsGrant);
  }
  SECTION("suspect content") {
    RouteRequest request;
    request.CompareGates = 2;
    request.IsSerialized = true;
    const auto *router = Registry<RouterPolicy>::instance().find("nearest");
    CHECK_FALSE(router->Plan(all, request, rng).IsComparison);
  }
}

// Guards against decisions that change for services which do not use
// comparisons, through the new fields or through other random numbers.
TEST_CASE("without comparisons, reports of any age change nothing",
          "[balance]") {
  auto all = makeGates(20);
  auto known = all;
  for (std::size_t i = 0; i < known.size(); ++i)
    report(known[i], int(i) % 9, seconds(i));
  for (int refusals : {0, 1, 3}) {
    Random rng(5);
    Random other(5);
    CHECK(plan(all, 0, rng, refusals) == plan(known, 0, other, refusals));
    CHECK(rng == other);
  }
}

// Guards against a lost message, a slow gate or a lost link that delays a
// request or has it sent to a gate that holds no slot.
TEST_CASE("a comparison waits 10 ms for other replies than the first grant",
          "[balance]") {
  Random rng(1);
  Instant start(seconds(1));
  Instant limit = start + seconds(10);
  Comparison it = beginComparison(2, start, limit);
  CHECK(it.Until == start + milliseconds(100));
  CHECK_FALSE(isDecided(it));
  CHECK_FALSE(chooseGrant(it, rng));
  Instant replied = start + milliseconds(2);
  noteGrant(it, {0, loadOf(5)}, replied);
  CHECK_FALSE(isDecided(it));
  CHECK(it.Until == replied + milliseconds(10));
  SECTION("the other reply is lost") { CHECK(chooseGrant(it, rng) == 0); }
  SECTION("the other gate is less loaded") {
    noteGrant(it, {1, loadOf(3)}, replied + milliseconds(3));
    CHECK(it.Until == replied + milliseconds(10));
    CHECK(isDecided(it));
    CHECK(it.Grants[chooseGrant(it, rng).value()].Target == 1);
  }
  SECTION("the other gate refuses") {
    noteRefusal(it, 1);
    CHECK(isDecided(it));
    CHECK(chooseGrant(it, rng) == 0);
  }
  SECTION("the gate that granted is lost") {
    noteRefusal(it, 0);
    CHECK_FALSE(isDecided(it));
    CHECK_FALSE(chooseGrant(it, rng));
    noteRefusal(it, 1);
    CHECK(isDecided(it));
  }
  SECTION("the other gate is of an earlier release") {
    noteGrant(it, {1, std::nullopt}, replied);
    CHECK(it.Grants[chooseGrant(it, rng).value()].Target == 0);
  }
  SECTION("a gate without other work") {
    it = beginComparison(3, start, limit);
    noteGrant(it, {2, loadOf(1)}, replied);
    CHECK(isDecided(it));
  }
  SECTION("the request's deadline is near") {
    it = beginComparison(2, start, start + milliseconds(4));
    noteGrant(it, {0, loadOf(5)}, replied);
    CHECK(it.Until == start + milliseconds(4));
  }
}

// Guards against a preference for the gate that replies first, which is the one
// of the entry's own node whenever it takes part.
TEST_CASE("among equally loaded gates the choice is random", "[balance]") {
  Random rng(3);
  std::vector<std::optional<GrantLoad>> grants = {loadOf(2), loadOf(2),
                                                  loadOf(5)};
  std::vector<int> chosen(3);
  for (int i = 0; i < 1'000; ++i)
    ++chosen[leastLoaded(grants, rng)];
  CHECK(chosen[0] > 400);
  CHECK(chosen[1] > 400);
  CHECK(chosen[2] == 0);
  // A large gate is less loaded with the same number of free slots.
  grants = {GrantLoad{4, 2, 0}, GrantLoad{40, 30, 0}};
  CHECK(leastLoaded(grants, rng) == 1);
  grants = {GrantLoad{8, 2, 0}, GrantLoad{8, 2, 3}};
  CHECK(leastLoaded(grants, rng) == 0);
}

namespace {

struct ModelSetup {
  int Compared = 0;
  double PerEntry = 4;
  /// Factor of run times of 0.1 to 1.8 s.
  int Stretch = 1;
  /// Share of the replies to tickets that never arrive.
  double Lost = 0;
};

struct ModelFigures {
  /// Busy slots of the busiest gate over the mean, averaged over samples.
  double Spread = 0;
  /// The same of the gates' means over all samples.
  double MeanSpread = 0;
  /// Share of tries that met no free slot.
  double Refused = 0;
  double MeanWaitMs = 0;
  double Wait99Ms = 0;
  double MessagesPerRequest = 0;
  double MeanReportAgeS = 0;
  int Served = 0;
  /// Slots that are still held when all requests have ended.
  int Held = 0;
};

std::string show(const ModelFigures &it) {
  std::ostringstream out;
  out << "spread " << it.Spread << ", of means " << it.MeanSpread
      << ", refused " << it.Refused << ", mean wait " << it.MeanWaitMs
      << " ms, p99 " << it.Wait99Ms << " ms, messages " << it.MessagesPerRequest
      << ", report age " << it.MeanReportAgeS << " s, served " << it.Served;
  return out.str();
}

/// Entries and gates in three data centres on virtual time. A quarter of the
/// gates is twice as fast, and all slow down when nearly full.
class Model {
public:
  explicit Model(const ModelSetup &setup) : Setup(setup) {
    for (Node &it : Entries)
      it.Known.resize(Gates.size());
  }

  ModelFigures run() {
    arrive();
    sample();
    while (!Events.empty()) {
      auto next = Events.extract(Events.begin());
      Now = next.key();
      next.mapped()();
    }
    return measure();
  }

private:
  static constexpr int DataCentres = 3;
  static constexpr Micros Latency = std::chrono::microseconds(500);
  static constexpr Micros ReportMaxAge = milliseconds(500);
  static constexpr Instant WarmUpEnd{seconds(10)};
  static constexpr Instant End{seconds(60)};

  struct Request {
    std::size_t Entry = 0;
    Instant Start;
    Micros Work{0};
    int Refusals = 0;
    bool IsStarted = false;
    /// Gates at which it waits for a slot.
    std::vector<std::size_t> Queued;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Gate {
    int Busy = 0;
    double SampledBusy = 0;
    std::deque<RequestPtr> Queue;
  };
  struct Knowledge {
    int Free = Slots;
    int Queued = 0;
    int Outstanding = 0;
    std::optional<Instant> At;
  };
  struct Node {
    std::vector<Knowledge> Known;
  };

  void after(Micros time, std::function<void()> action) {
    Events.emplace(Now + time, std::move(action));
  }

  void arrive() {
    double perMicro = Setup.PerEntry * double(Entries.size()) / 1e6;
    std::exponential_distribution<double> gap(perMicro);
    after(Micros(std::int64_t(gap(Arrivals))), [this] {
      if (Now >= End)
        return;
      arrive();
      auto it = std::make_shared<Request>();
      it->Entry = uniform(Arrivals, Entries.size());
      it->Start = Now;
      it->Work = milliseconds(100 + uniform(Arrivals, 1'700)) * Setup.Stretch;
      Requests.push_back(it);
      tryOnce(it);
    });
  }

  void sample() {
    after(milliseconds(100), [this] {
      if (Now >= End)
        return;
      sample();
      if (Now < WarmUpEnd)
        return;
      int sum = 0;
      int most = 0;
      for (Gate &it : Gates) {
        it.SampledBusy += it.Busy;
        sum += it.Busy;
        most = std::max(most, it.Busy);
      }
      Spreads.push_back(double(most) * double(Gates.size()) / sum);
    });
  }

  std::vector<Candidate> candidates(const Request &request) {
    std::vector<Candidate> all = makeGates(int(Gates.size()));
    for (std::size_t i = 0; i < all.size(); ++i) {
      Candidate &it = all[i];
      const Knowledge &known = Entries[request.Entry].Known[i];
      it.DataCentre = "dc" + std::to_string(i % DataCentres);
      it.IsNear = i % DataCentres == request.Entry % DataCentres;
      it.Outstanding = known.Outstanding;
      bool isFresh = known.At && Now - *known.At < ReportMaxAge;
      it.FreeSlots =
          isFresh ? known.Free : std::max(Slots - known.Outstanding, 0);
      it.Queued = isFresh ? known.Queued : 0;
      if (!known.At)
        continue;
      report(it, known.Queued > 0 ? 0 : known.Free, Now - *known.At);
      if (it.IsNear)
        Ages.push_back(it.ReportAge);
    }
    return all;
  }

  void tryOnce(const RequestPtr &request) {
    auto all = candidates(*request);
    RouteRequest question;
    question.IsIdempotent = false;
    question.CapacityRefusals = request->Refusals;
    question.CompareGates = Setup.Compared;
    const auto *router = Registry<RouterPolicy>::instance().find("nearest");
    RoutePlan plan = router->Plan(all, question, Rng);
    ++Tries;
    for (std::size_t i : plan.Targets)
      ++Entries[request->Entry].Known[i].Outstanding;
    if (plan.IsComparison)
      return compare(request, plan.Targets);
    // Tickets are followed by a grant, a claim and cancellations.
    int n = int(plan.Targets.size());
    Messages += plan.OnlyIfFree ? 1 : 2 * n + 1;
    after(Latency, [this, request, plan] {
      std::size_t first = plan.Targets.front();
      if (plan.OnlyIfFree && isFull(first)) {
        ++Messages;
        return after(Latency,
                     [this, request, first] { refuse(request, {first}); });
      }
      request->Queued = plan.Targets;
      for (std::size_t i : plan.Targets) {
        Gates[i].Queue.push_back(request);
        dispatch(i);
      }
    });
  }

  bool isFull(std::size_t gate) const {
    return Gates[gate].Busy >= Slots || !Gates[gate].Queue.empty();
  }

  /// Sends tickets to the gates; their replies arrive after two latencies.
  void compare(const RequestPtr &request,
               const std::vector<std::size_t> &targets) {
    auto comparison = std::make_shared<Comparison>(
        beginComparison(targets.size(), Now, Now + seconds(10)));
    auto isOver = std::make_shared<bool>(false);
    auto conclude = [this, request, targets, comparison, isOver] {
      if (*isOver)
        return;
      *isOver = true;
      end(request, targets, *comparison);
    };
    for (std::size_t i = 0; i < targets.size(); ++i) {
      Messages += 2;
      std::size_t gate = targets[i];
      std::bernoulli_distribution lose(Setup.Lost);
      bool isLost = lose(Rng);
      after(Latency, [=, this] {
        bool isGranted = !isFull(gate);
        Gates[gate].Busy += isGranted;
        GrantLoad load{Slots, Slots - Gates[gate].Busy,
                       int(Gates[gate].Queue.size())};
        after(Latency, [=, this] {
          if (*isOver || isLost) {
            // A cancellation follows a lost reply when the comparison ends.
            Micros wait = isLost ? milliseconds(10) : Micros{0};
            if (isGranted)
              after(wait + Latency, [=, this] { release(gate); });
            return;
          }
          note(*request, gate, load);
          if (isGranted)
            noteGrant(*comparison, {i, load}, Now);
          else
            noteRefusal(*comparison, i);
          if (isDecided(*comparison))
            return conclude();
          after(comparison->Until - Now, conclude);
        });
      });
    }
    after(comparison->Until - Now, conclude);
  }

  void end(const RequestPtr &request, const std::vector<std::size_t> &targets,
           const Comparison &comparison) {
    auto chosen = chooseGrant(comparison, Rng);
    if (!chosen)
      return refuse(request, targets);
    std::size_t target = comparison.Grants[*chosen].Target;
    for (std::size_t i = 0; i < targets.size(); ++i)
      if (i != target)
        --Entries[request->Entry].Known[targets[i]].Outstanding;
    for (const ComparedGrant &it : comparison.Grants) {
      std::size_t gate = targets[it.Target];
      ++Messages;
      if (it.Target == target) {
        after(Latency, [this, request, gate] { start(request, gate); });
        continue;
      }
      ++Entries[request->Entry].Known[gate].Free;
      after(Latency, [this, gate] { release(gate); });
    }
  }

  void refuse(const RequestPtr &request,
              const std::vector<std::size_t> &targets) {
    ++Refusals;
    ++request->Refusals;
    for (std::size_t gate : targets) {
      --Entries[request->Entry].Known[gate].Outstanding;
      if (targets.size() == 1)
        note(*request, gate,
             {Slots, Slots - Gates[gate].Busy, int(Gates[gate].Queue.size())});
    }
    tryOnce(request);
  }

  void note(const Request &request, std::size_t gate, const GrantLoad &load) {
    Knowledge &known = Entries[request.Entry].Known[gate];
    known.Free = load.FreeSlots;
    known.Queued = load.Queued;
    known.At = Now;
  }

  void release(std::size_t gate) {
    --Gates[gate].Busy;
    dispatch(gate);
  }

  void dispatch(std::size_t gate) {
    Gate &it = Gates[gate];
    std::erase_if(it.Queue, [](const auto &r) { return r->IsStarted; });
    while (it.Busy < Slots && !it.Queue.empty()) {
      RequestPtr request = it.Queue.front();
      it.Queue.pop_front();
      ++it.Busy;
      start(request, gate);
    }
  }

  /// Starts a request whose slot is counted already.
  void start(const RequestPtr &request, std::size_t gate) {
    request->IsStarted = true;
    for (std::size_t i : request->Queued)
      if (i != gate)
        --Entries[request->Entry].Known[i].Outstanding;
    Waits.push_back(Now - request->Start);
    bool isFast = gate % 4 == 0;
    Micros work = isFast ? request->Work / 2 : request->Work;
    if (Gates[gate].Busy >= Slots - 1)
      work += work / 4;
    after(work, [this, request, gate] {
      release(gate);
      ++Served;
      GrantLoad load{Slots, Slots - Gates[gate].Busy,
                     int(Gates[gate].Queue.size())};
      after(Latency, [this, request, gate, load] {
        --Entries[request->Entry].Known[gate].Outstanding;
        note(*request, gate, load);
      });
    });
  }

  ModelFigures measure() {
    ModelFigures all;
    auto mean = [](const auto &values) {
      return std::accumulate(values.begin(), values.end(), 0.0) /
             double(values.size());
    };
    auto counts = [](const std::vector<Micros> &times) {
      std::vector<double> ms;
      for (Micros it : times)
        ms.push_back(double(it.count()) / 1'000);
      return ms;
    };
    std::vector<double> waits = counts(Waits);
    std::ranges::sort(waits);
    all.Spread = mean(Spreads);
    std::vector<double> busy;
    std::ranges::transform(Gates, std::back_inserter(busy), &Gate::SampledBusy);
    all.MeanSpread = std::ranges::max(busy) / mean(busy);
    all.Refused = double(Refusals) / Tries;
    all.MeanWaitMs = mean(waits);
    all.Wait99Ms = waits[waits.size() * 99 / 100];
    all.MessagesPerRequest = double(Messages) / double(Requests.size());
    all.MeanReportAgeS = mean(counts(Ages)) / 1'000;
    all.Served = Served;
    all.Held =
        std::accumulate(Gates.begin(), Gates.end(), 0,
                        [](int sum, const Gate &it) { return sum + it.Busy; });
    return all;
  }

  ModelSetup Setup;
  Random Rng{7};
  /// Apart from Rng, so that all setups see the same requests.
  Random Arrivals{11};
  Instant Now;
  std::multimap<Instant, std::function<void()>> Events;
  std::vector<Gate> Gates{58};
  std::vector<Node> Entries{95};
  std::vector<RequestPtr> Requests;
  std::vector<double> Spreads;
  std::vector<Micros> Waits;
  std::vector<Micros> Ages;
  int Tries = 0;
  int Refusals = 0;
  int Messages = 0;
  int Served = 0;
};

} // namespace

// Guards against uneven load: an entry that hears of a gate every few seconds
// sends requests to gates that are nearly full while others are idle.
TEST_CASE("comparison spreads the load of entries with old reports",
          "[balance]") {
  auto [perEntry, stretch] =
      GENERATE(table<double, int>({{1.1, 2}, {2.0, 1}, {2.5, 1}, {3.0, 1}}));
  ModelSetup setup{0, perEntry, stretch};
  ModelFigures without = Model(setup).run();
  setup.Compared = 2;
  ModelFigures with = Model(setup).run();
  INFO(perEntry << " a second, not compared: " << show(without));
  INFO(perEntry << " a second, compared: " << show(with));
  CHECK(without.MeanReportAgeS > (stretch > 1 ? 10 : 4));
  CHECK(with.Spread < 0.9 * without.Spread);
  CHECK(with.MeanSpread < without.MeanSpread - 0.05);
  CHECK(with.Refused < 0.1 * without.Refused);
  CHECK(with.MeanWaitMs < without.MeanWaitMs + 1.1);
  CHECK(with.MessagesPerRequest < 6.1);
  CHECK(with.Served == without.Served);
  CHECK(with.Held == 0);
}

// Guards against replies that get lost or come late: they must not delay a
// request by more than 10 ms, nor hold a slot for good.
TEST_CASE("lost replies cost at most 10 ms and no slot", "[balance]") {
  ModelSetup setup{0, 2.5};
  ModelFigures without = Model(setup).run();
  setup.Compared = 2;
  setup.Lost = 0.05;
  ModelFigures with = Model(setup).run();
  INFO("not compared: " << show(without));
  INFO("compared: " << show(with));
  CHECK(with.Wait99Ms < 12);
  CHECK(with.Spread < 0.9 * without.Spread);
  CHECK(with.Served == without.Served);
  CHECK(with.Held == 0);
}

// Guards against comparisons that take capacity while nearly all gates are
// full: granted slots that are not claimed are soon free again.
TEST_CASE("comparison does not cost capacity when all gates are full",
          "[balance]") {
  ModelSetup setup{0, 4.5};
  ModelFigures without = Model(setup).run();
  setup.Compared = 2;
  ModelFigures with = Model(setup).run();
  INFO("not compared: " << show(without));
  INFO("compared: " << show(with));
  CHECK(with.Refused < without.Refused + 0.01);
  CHECK(with.MeanWaitMs < 1.05 * without.MeanWaitMs);
  CHECK(with.Served == without.Served);
  CHECK(with.Held == 0);
}
