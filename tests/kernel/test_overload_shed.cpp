#include "libhickoryglade/gate.h"
#include "libhickoryglade/overload/shedcomparison.h"
#include "libhickoryglade/retry.h"
#include "libhickoryglade/routerpolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <queue>

using namespace hickoryglade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Service = "w/s";

Instant at(int ms) { return Instant(milliseconds(ms)); }

/// A service of many endpoints, each behind its own gate, that entries call
/// with retries as the settings allow. Links take 1 ms.
struct ShedFleet {
  static constexpr int Gates = 58;
  static constexpr int Entries = 95;
  static constexpr int RequestsPerSecond = 600;

  struct Entry {
    /// By gate, the time until which the entry holds the endpoint doubtful.
    std::vector<Instant> DoubtUntil = std::vector<Instant>(Gates);
    ShedAverage Sheds;
    RetryBudget Budget;
  };
  struct Request {
    int Entry = 0;
    int Attempts = 0;
    int Free = 0;
    int Arrivals = 0;
    int BudgetRefusals = 0;
    Instant Deadline;
    std::vector<bool> Tried = std::vector<bool>(Gates);
  };
  struct Event {
    Instant At;
    int Order = 0;
    std::function<void()> Run;
    bool operator<(const Event &it) const {
      return std::pair(At, Order) > std::pair(it.At, it.Order);
    }
  };

  /// Share of arrivals that each endpoint sheds.
  std::vector<double> SheddingAt = std::vector<double>(Gates);
  ServicePolicy Policy;
  std::vector<Gate> All = std::vector<Gate>(Gates);
  std::vector<Entry> AllEntries = std::vector<Entry>(Entries);
  std::map<std::string, std::shared_ptr<Request>> Open;
  std::priority_queue<Event> Events;
  Random Rng;
  Instant Now;
  int Order = 0;
  int Requests = 0;
  int Arrivals = 0;
  int Repeats = 0;
  int Served = 0;
  double HealthySum = 0;
  int Samples = 0;
  std::vector<std::string> Doubts;

  ShedFleet(bool compares, std::uint64_t seed) : Rng(seed) {
    Policy.ComparesSheds = compares;
    Policy.ShedsForDoubt = 1;
    Policy.RetryAllowance = 200;
  }

  void after(Micros wait, std::function<void()> run) {
    Events.push({Now + wait, ++Order, std::move(run)});
  }

  void carryOut(int gate, const GateActions &actions) {
    for (const GateAction &action : actions) {
      if (const auto *start = std::get_if<StartAction>(&action))
        arrive(gate, start->AttemptId);
      else if (const auto *refusal = std::get_if<RefuseAction>(&action))
        after(milliseconds(1), [this, gate, it = *refusal] {
          if (it.Reason.Kind == ErrorKind::EndpointDoubtful)
            entryOf(it.AttemptId).DoubtUntil[std::size_t(gate)] =
                Now + seconds(1);
          fail(gate, it.AttemptId, it.Reason);
        });
      else if (const auto *standing = std::get_if<StandingAction>(&action))
        if (standing->State == Standing::Suspect)
          Doubts.push_back(standing->Endpoint + ": " + standing->Reason);
    }
  }

  Entry &entryOf(const std::string &attempt) {
    return AllEntries[std::size_t(Open.at(attempt)->Entry)];
  }

  void arrive(int gate, const std::string &attempt) {
    Request &request = *Open.at(attempt);
    ++Arrivals;
    Repeats += request.Arrivals++ > 0;
    bool isShed =
        double(uniform(Rng, 1'000)) < SheddingAt[std::size_t(gate)] * 1'000;
    after(milliseconds(isShed ? 1 : 40), [=, this] {
      Gate &it = All[std::size_t(gate)];
      carryOut(gate, complete(it, attempt,
                              isShed ? AttemptOutcome::Shed
                                     : AttemptOutcome::Answered,
                              Now));
      noteResult(entryOf(attempt).Sheds, isShed, Now);
      if (isShed)
        return fail(gate, attempt, makeError(ErrorKind::EndpointShed));
      ++Served;
      Open.erase(attempt);
    });
  }

  void fail(int gate, const std::string &attempt, const Error &error) {
    auto request = Open.extract(attempt).mapped();
    request->Tried[std::size_t(gate)] = true;
    request->BudgetRefusals += error.Kind == ErrorKind::RetriesExhausted;
    if (isFreeRetry(error.Kind, Policy.ComparesSheds)) {
      ++request->Free;
      --request->Attempts;
    }
    RetryContext context{error, false, request->Attempts,
                         request->Deadline - Now, milliseconds(40)};
    context.ComparesSheds = Policy.ComparesSheds;
    context.BudgetRefusals = request->BudgetRefusals;
    RetryDecision answer =
        decideRetry(context, AllEntries[std::size_t(request->Entry)].Budget);
    if (answer.Verdict == RetryVerdict::Retry && request->Free < FreeRetryLimit)
      send(request);
  }

  void send(const std::shared_ptr<Request> &request) {
    Entry &entry = AllEntries[std::size_t(request->Entry)];
    std::vector<Candidate> candidates(Gates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (Now < entry.DoubtUntil[i])
        candidates[i].State = Standing::Suspect;
      candidates[i].WasTried = request->Tried[i];
    }
    RouteRequest question;
    question.IsIdempotent = true;
    auto eligible = eligibleCandidates(candidates, question, Rng);
    std::size_t gate = eligible[uniform(Rng, eligible.size())];
    Ticket ticket;
    ticket.AttemptId = std::to_string(++Order);
    ticket.Service = Service;
    ticket.Deadline = request->Deadline;
    ticket.ExpectedCost = milliseconds(40);
    ticket.IsIdempotent = true;
    ticket.IsRepeat = request->Arrivals > 0;
    ticket.AcceptsDoubtful = Now < entry.DoubtUntil[gate];
    if (Policy.ComparesSheds)
      ticket.ShedPercent = shedPercent(entry.Sheds, Now);
    ++request->Attempts;
    Open[ticket.AttemptId] = request;
    after(milliseconds(1), [this, gate, ticket] {
      carryOut(int(gate), offer(All[gate], ticket, Now));
    });
  }

  void newRequest() {
    auto request = std::make_shared<Request>();
    request->Entry = int(uniform(Rng, Entries));
    request->Deadline = Now + milliseconds(1'000);
    AllEntries[std::size_t(request->Entry)].Budget.noteFresh(
        Policy.RetryBudgetPercent);
    ++Requests;
    send(request);
    after(Micros(2 * uniform(Rng, 1'000'000 / RequestsPerSecond)),
          [this] { newRequest(); });
  }

  /// Ticks the gates; once a second announces the endpoints.
  void tickAll(int n) {
    for (std::size_t i = 0; i < All.size(); ++i) {
      std::string name = "e" + std::to_string(i);
      if (n % 20 == 0)
        carryOut(int(i),
                 announce(All[i], {name, Service, "127.0.0.1:1", 8, "1", false},
                          Now));
      carryOut(int(i), tick(All[i], Now));
      Standing state = All[i].Endpoints.at(name).State;
      HealthySum += state == Standing::Healthy;
      ++Samples;
    }
    after(TickPeriod, [=, this] { tickAll(n + 1); });
  }

  void run(Micros time) {
    for (Gate &it : All) {
      it.Services[Service].Policy = Policy;
      noteGates(it.Services[Service], Gates);
    }
    tickAll(0);
    newRequest();
    while (Events.top().At < Instant(time)) {
      Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Run();
    }
  }

  double healthyShare() const { return HealthySum / Samples; }
  double servedShare() const { return double(Served) / Requests; }
};

} // namespace

// On the heaviest days all endpoints of a service shed 55 of 100 arrivals for
// 8.5 s. Each shed made an endpoint suspect, and the gates refused most tries.
TEST_CASE("endpoints stay in rotation while their whole service sheds",
          "[overload]") {
  std::uint64_t seed = GENERATE(1, 2, 3);
  ShedFleet today(false, seed);
  ShedFleet compared(true, seed);
  for (ShedFleet *it : {&today, &compared}) {
    std::ranges::fill(it->SheddingAt, 0.55);
    it->run(seconds(10));
    CHECK(it->Repeats <= 0.2 * it->Requests + it->Policy.RetryAllowance);
  }
  INFO("in rotation " << today.healthyShare() << " and "
                      << compared.healthyShare() << ", served "
                      << today.servedShare() << " and "
                      << compared.servedShare() << ", requests "
                      << compared.Requests << ", repeats " << today.Repeats
                      << " and " << compared.Repeats << ", doubts "
                      << today.Doubts.size() << " and "
                      << compared.Doubts.size());
  CHECK(today.healthyShare() < 0.5);
  CHECK(compared.healthyShare() > 0.9);
  // With every repeat that the users' limit allows, 45 of 100 arrivals serve
  // 0.45 * (1.2 + 200 / 6,000) = 55.5% of the requests.
  CHECK(compared.servedShare() > 0.52);
  CHECK(compared.servedShare() > today.servedShare() + 0.05);
}

// The comparison must not hide an endpoint that alone sheds: its share among
// the results of the whole service is below the lower bound.
TEST_CASE("an endpoint that alone sheds becomes suspect", "[overload]") {
  std::uint64_t seed = GENERATE(1, 2, 3);
  ShedFleet fleet(true, seed);
  fleet.SheddingAt[5] = 1;
  fleet.run(seconds(10));
  REQUIRE_FALSE(fleet.Doubts.empty());
  CHECK(fleet.Doubts.front().starts_with("e5: sheds with slots free"));
  CHECK(std::ranges::all_of(fleet.Doubts, [](const std::string &it) {
    return it.starts_with("e5:");
  }));
  CHECK(fleet.All[5].Endpoints.at("e5").State != Standing::Healthy);
  CHECK(fleet.servedShare() > 0.99);
}

TEST_CASE("the run of sheds that is rare depends on the service's share",
          "[overload]") {
  CHECK(rareShedRun(std::nullopt, 3) == 3);
  CHECK(rareShedRun(0.0, 1) == 1);
  CHECK(rareShedRun(0.04, 1) == 1);
  CHECK(rareShedRun(0.1, 1) == 2);
  CHECK(rareShedRun(0.1, 3) == 3);
  // 0.55^6 = 0.028 and 0.55^7 = 0.015.
  CHECK(rareShedRun(0.55, 1) == 7);
  CHECK(rareShedRun(0.9, 1) == rareShedRun(1.0, 1));
}

TEST_CASE("an entry reports a share of sheds only while it is recent",
          "[overload]") {
  ShedAverage average;
  for (int i = 0; i < 3; ++i)
    noteResult(average, true, at(i));
  CHECK(shedPercent(average, at(3)) == std::nullopt);
  noteResult(average, false, at(3));
  CHECK(shedPercent(average, at(4)) == 75);
  CHECK(shedPercent(average, at(3'004)) == std::nullopt);
  noteResult(average, false, at(3'004));
  CHECK(average.Share == 0);
}

TEST_CASE("a gate averages the latest reports of sheds", "[overload]") {
  ShedReports reports;
  noteReport(reports, std::nullopt, at(0));
  CHECK(shedShare(reports, at(0)) == std::nullopt);
  noteReport(reports, 100, at(0));
  noteReport(reports, 0, at(1'000));
  CHECK(shedShare(reports, at(1'000)) == 0.5);
  CHECK(shedShare(reports, at(3'500)) == 0.0);
  CHECK(shedShare(reports, at(5'000)) == std::nullopt);
  for (int i = 0; i < 8; ++i)
    noteReport(reports, 60, at(5'000 + i));
  CHECK(shedShare(reports, at(5'008)) == Approx(0.6));
}

// Without the setting nothing that a ticket tells may change a decision.
TEST_CASE("without the comparison a single shed decides as before",
          "[overload]") {
  for (bool compares : {false, true}) {
    Gate gate;
    gate.Services[Service].Policy.ShedsForDoubt = 1;
    gate.Services[Service].Policy.ComparesSheds = compares;
    noteGates(gate.Services[Service], 2);
    announce(gate, {"e", Service, "127.0.0.1:1", 8, "1", false}, at(0));
    Ticket ticket;
    ticket.AttemptId = "r/1";
    ticket.Service = Service;
    ticket.Deadline = at(1'000);
    ticket.ShedPercent = 60;
    offer(gate, ticket, at(0));
    complete(gate, "r/1", AttemptOutcome::Shed, at(1));
    CHECK((gate.Endpoints.at("e").State == Standing::Suspect) == !compares);
  }
}

// A gate hears of a rising share after its endpoint's first sheds, and an
// endpoint that stayed suspect until its trial would lose a second each time.
TEST_CASE("the doubt ends once tickets show that the whole service sheds",
          "[overload]") {
  Gate gate;
  gate.Services[Service].Policy.ShedsForDoubt = 1;
  gate.Services[Service].Policy.ComparesSheds = true;
  noteGates(gate.Services[Service], 2);
  announce(gate, {"e", Service, "127.0.0.1:1", 8, "1", false}, at(0));
  Ticket ticket;
  ticket.AttemptId = "r/1";
  ticket.Service = Service;
  ticket.Deadline = at(1'000);
  offer(gate, ticket, at(0));
  complete(gate, "r/1", AttemptOutcome::Shed, at(1));
  REQUIRE(gate.Endpoints.at("e").State == Standing::Suspect);
  ticket.AttemptId = "r/2";
  ticket.ShedPercent = 60;
  GateActions actions = offer(gate, ticket, at(2));
  CHECK(gate.Endpoints.at("e").State == Standing::Healthy);
  CHECK(gate.Endpoints.at("e").Relapses == 0);
  CHECK(std::ranges::any_of(actions, [](const GateAction &it) {
    return std::holds_alternative<StartAction>(it);
  }));
}

TEST_CASE("the comparison of sheds leaves retries of sheds to the gates",
          "[overload]") {
  RetryBudget empty(0, 1);
  RetryContext question{makeError(ErrorKind::EndpointShed), false, 1,
                        milliseconds(500), milliseconds(10)};
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::GiveUp);
  question.ComparesSheds = true;
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::Retry);
  question.TimeLeft = milliseconds(10);
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::GiveUp);
}

TEST_CASE("a request tries two more gates when retry budgets are used up",
          "[overload]") {
  RetryBudget empty(0, 1);
  RetryContext question{makeError(ErrorKind::RetriesExhausted), false, 1,
                        milliseconds(500), milliseconds(10)};
  question.BudgetRefusals = 1;
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::GiveUp);
  question.ComparesSheds = true;
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::Retry);
  question.BudgetRefusals = 2;
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::Retry);
  question.BudgetRefusals = 3;
  CHECK(decideRetry(question, empty).Verdict == RetryVerdict::GiveUp);
}
