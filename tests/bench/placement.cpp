#include "world/world.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

/// Compares placement and admission policies on virtual time, with the same
/// arrivals from one seed for each policy. Prints a table and JSON.
///   placement [SEED] [SECONDS]

namespace {

using namespace hickoryglade;
using namespace hickoryglade::world;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Endpoints = 8;
constexpr int Slots = 3;
constexpr int ShortMs = 25;
constexpr int LongFactor = 30;

struct Setup {
  std::string Name;
  std::string Router = "tickets";
  std::string Admission = "deadline";
  int LongSlotsPercent = 34;
  /// Puts all endpoints behind one gate: the upper bound for any placement.
  bool IsShared = false;
};

struct LoadProfile {
  std::string Name;
  double Load = 0.7;
  int LongPercent = 2;
  double PeakLoad = 0;
  int TimeoutMs = 2'000;
};

struct Figures {
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
  double LongStart99 = 0;
  double Goodput = 0;
  double Refused = 0;
  double RefusalMs99 = 0;
  double MessagesPerRequest = 0;
};

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  auto at = std::size_t(q * double(values.size() - 1));
  return values[at];
}

double msOf(Micros time) { return double(time.count()) / 1'000; }

class PlacementRun {
public:
  PlacementRun(const Setup &setup, const LoadProfile &profile,
               std::uint64_t seed, int lasting)
      : Config(setup), Profile(profile), Sim(seed), Begin(Sim.now()),
        WarmUpEnd(Begin + seconds(3)), End(Begin + seconds(3 + lasting)) {
    for (int i = 0; i < Endpoints; ++i)
      Sim.addNode("n" + std::to_string(i));
    for (int i = 0; i < Endpoints; ++i)
      Sim.addEndpoint("e" + std::to_string(i),
                      "n" + std::to_string(setup.IsShared ? 0 : i), Slots);
    ServicePolicy policy;
    policy.Router = setup.Router;
    policy.Admission = setup.Admission;
    policy.LongSlotsPercent = setup.LongSlotsPercent;
    Sim.setPolicy(policy);
  }

  Figures run() {
    Sim.runUntil(Begin + seconds(1));
    scheduleArrivals();
    Sim.runUntil(End + seconds(8));
    return measure();
  }

private:
  /// Mean run time of a request, in milliseconds.
  double meanWork() const {
    return ShortMs * (1 + Profile.LongPercent / 100.0 * (LongFactor - 1));
  }

  /// Arrivals per microsecond. The peak lasts 20 s and ramps up within 2 s.
  double rate() const {
    double capacity = Endpoints * Slots / meanWork() / 1'000;
    double load = Profile.Load;
    Instant peakBegin = WarmUpEnd + seconds(5);
    if (Profile.PeakLoad > 0 && Sim.now() > peakBegin &&
        Sim.now() < peakBegin + seconds(20)) {
      double rise = std::min(1.0, msOf(Sim.now() - peakBegin) / 2'000);
      load += (Profile.PeakLoad - load) * rise;
    }
    return load * capacity;
  }

  void scheduleArrivals() {
    if (Sim.now() >= End)
      return;
    std::exponential_distribution<double> gap(rate());
    Micros wait(1 + std::int64_t(gap(Sim.rng())));
    Sim.at(Sim.now() + wait, [this] { scheduleArrivals(); });
    Call call;
    call.Id = std::to_string(++Count);
    call.Entry = "n" + std::to_string(uniform(Sim.rng(), Endpoints));
    call.IsLong = int(uniform(Sim.rng(), 100)) < Profile.LongPercent;
    call.Fingerprint = std::uint64_t(Count);
    std::uint64_t spread = 50 + uniform(Sim.rng(), 101);
    call.Work =
        Micros(ShortMs * 10 * int(spread)) * (call.IsLong ? LongFactor : 1);
    call.Deadline =
        Sim.now() + milliseconds(Profile.TimeoutMs * (call.IsLong ? 5 : 1));
    Sim.call(call);
  }

  Figures measure() const {
    std::vector<double> shorts;
    std::vector<double> longStarts;
    std::vector<double> refusals;
    double servedWork = 0;
    std::size_t counted = 0;
    Instant from = Profile.PeakLoad > 0 ? WarmUpEnd + seconds(7) : WarmUpEnd;
    Instant to = Profile.PeakLoad > 0 ? WarmUpEnd + seconds(25) : End;
    for (const auto &call : Sim.calls()) {
      bool isAnswered = call->Outcome == CallOutcome::Answered;
      if (isAnswered && call->End >= from && call->End < to)
        servedWork += msOf(call->Work);
      if (call->Start < from || call->Start >= to)
        continue;
      ++counted;
      if (isAnswered && !call->IsLong)
        shorts.push_back(msOf(call->End - call->Start));
      if (call->IsLong && call->Runs > 0)
        longStarts.push_back(msOf(call->FirstRun - call->Start) /
                             msOf(call->Work));
      if (!isAnswered)
        refusals.push_back(msOf(call->End - call->Start));
    }
    double slotTime = msOf(to - from) * Endpoints * Slots;
    return {quantile(shorts, 0.5),
            quantile(shorts, 0.99),
            quantile(shorts, 0.999),
            quantile(longStarts, 0.99),
            servedWork / slotTime,
            double(refusals.size()) / double(std::max<std::size_t>(counted, 1)),
            quantile(refusals, 0.99),
            double(Sim.messages()) / double(std::max(Count, 1))};
  }

  Setup Config;
  LoadProfile Profile;
  World Sim;
  Instant Begin;
  Instant WarmUpEnd;
  Instant End;
  int Count = 0;
};

} // namespace

int main(int argc, char **argv) {
  std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  int lasting = argc > 2 ? std::atoi(argv[2]) : 60;
  const std::vector<LoadProfile> profiles = {
      {"70% no long", 0.7, 0, 0, 2'000},  {"70% 2% long", 0.7, 2, 0, 2'000},
      {"85% no long", 0.85, 0, 0, 2'000}, {"85% 2% long", 0.85, 2, 0, 2'000},
      {"crest x5", 0.6, 2, 3.0, 2'000},
  };
  const std::vector<Setup> setups = {
      {"shared queue", "two_choices", "deadline", 34, true},
      {"two choices", "two_choices", "deadline", 34, false},
      {"tickets", "tickets", "deadline", 34, false},
      {"tickets, no long cap", "tickets", "deadline", 100, false},
      {"tickets, queue limit", "tickets", "queue_limit", 34, false},
  };
  nlohmann::json all = nlohmann::json::array();
  std::printf("%-12s %-21s %7s %7s %7s %9s %8s %8s %9s %8s\n", "load", "policy",
              "p50", "p99", "p99.9", "longstart", "goodput", "refused",
              "refusal99", "msg/req");
  for (const LoadProfile &profile : profiles)
    for (const Setup &setup : setups) {
      Figures f = PlacementRun(setup, profile, seed, lasting).run();
      std::printf(
          "%-12s %-21s %7.1f %7.1f %7.1f %9.2f %8.3f %8.3f %9.1f %8.2f\n",
          profile.Name.c_str(), setup.Name.c_str(), f.P50, f.P99, f.P999,
          f.LongStart99, f.Goodput, f.Refused, f.RefusalMs99,
          f.MessagesPerRequest);
      all.push_back({{"load", profile.Name},
                     {"policy", setup.Name},
                     {"p50_ms", f.P50},
                     {"p99_ms", f.P99},
                     {"p999_ms", f.P999},
                     {"long_start_p99", f.LongStart99},
                     {"goodput", f.Goodput},
                     {"refused", f.Refused},
                     {"refusal_p99_ms", f.RefusalMs99},
                     {"messages_per_request", f.MessagesPerRequest}});
    }
  std::cout << all.dump() << "\n";
  return 0;
}
