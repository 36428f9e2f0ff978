#include "world/overload.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Nodes = 8;
constexpr int Slots = 3;
constexpr seconds SettleTime{1};
constexpr seconds WarmUpTime{4};
constexpr seconds PeakTime{20};
constexpr seconds CoolDownTime{5};

double msOf(Micros time) { return double(time.count()) / 1'000; }

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  return values[std::size_t(q * double(values.size() - 1))];
}

class OverloadRun {
public:
  OverloadRun(const Overload &overload, std::uint64_t seed)
      : Profile(overload), Sim(seed), Begin(Sim.now() + SettleTime),
        PeakBegin(Begin + WarmUpTime), PeakEnd(PeakBegin + PeakTime),
        End(PeakEnd + CoolDownTime) {
    for (int i = 0; i < Nodes; ++i) {
      std::string number = std::to_string(i);
      Sim.addNode("n" + number);
      Sim.addEndpoint("e" + number, "n" + number, Slots);
    }
    Sim.setPolicy(overload.Policy);
    for (const RequestKind &kind : overload.Kinds)
      TotalWeight += kind.Weight;
    for (const RequestKind &kind : overload.Kinds)
      MeanWorkMs += double(kind.WorkMs) * kind.Weight / TotalWeight;
  }

  std::vector<OverloadFigures> run() {
    Sim.runUntil(Begin);
    scheduleArrivals();
    Sim.runUntil(End + seconds(5));
    std::vector<OverloadFigures> all;
    std::ranges::transform(
        Profile.Kinds, std::back_inserter(all),
        [this](const RequestKind &it) { return measure(it); });
    return all;
  }

private:
  void scheduleArrivals() {
    if (Sim.now() >= End)
      return;
    bool isPeak = Sim.now() >= PeakBegin && Sim.now() < PeakEnd;
    double load = isPeak ? Profile.PeakLoad : Profile.Load;
    double perMicro = load * Nodes * Slots / MeanWorkMs / 1'000;
    std::exponential_distribution<double> gap(perMicro);
    Micros wait(1 + std::int64_t(gap(Sim.rng())));
    Sim.at(Sim.now() + wait, [this] { scheduleArrivals(); });
    Call call;
    const RequestKind &kind = pickKind();
    call.Id = std::to_string(++Count);
    call.Entry = "n" + std::to_string(uniform(Sim.rng(), Nodes));
    call.Class = kind.Name;
    call.Priority = kind.Priority;
    call.Fingerprint = std::uint64_t(Count);
    auto percent = std::int64_t(50 + uniform(Sim.rng(), 101));
    call.Work = Micros(percent * kind.WorkMs * 10);
    call.Deadline = Sim.now() + milliseconds(kind.TimeoutMs);
    Sim.call(call);
  }

  const RequestKind &pickKind() {
    auto left = int(uniform(Sim.rng(), std::uint64_t(TotalWeight)));
    for (const RequestKind &kind : Profile.Kinds) {
      left -= kind.Weight;
      if (left < 0)
        return kind;
    }
    return Profile.Kinds.back();
  }

  OverloadFigures measure(const RequestKind &kind) const {
    OverloadFigures out;
    out.Kind = kind.Name;
    std::vector<double> refusals;
    for (const auto &call : Sim.calls()) {
      bool isCounted = call->Class == kind.Name && call->Start >= PeakBegin &&
                       call->Start < PeakEnd;
      if (!isCounted)
        continue;
      ++out.Requests;
      Micros took = call->End - call->Start;
      bool isAnswered = call->Outcome == CallOutcome::Answered;
      out.Answered += isAnswered;
      out.InTarget += isAnswered && took <= milliseconds(kind.TargetMs);
      out.Wasted += !isAnswered && call->Runs > 0;
      if (call->Outcome != CallOutcome::NotRun)
        continue;
      refusals.push_back(msOf(took));
      bool isEarly = call->RetryAfter > Millis(0) &&
                     call->RetryAfter < Millis(kind.TimeoutMs);
      out.UsefulRetryAfter += isEarly;
    }
    double n = std::max(out.Requests, 1);
    double refused = std::max<double>(double(refusals.size()), 1);
    out.UsefulRetryAfter /= refused;
    out.Answered /= n;
    out.InTarget /= n;
    out.Wasted /= n;
    out.Refused = double(refusals.size()) / n;
    out.RefusalMs50 = quantile(refusals, 0.5);
    out.RefusalMs99 = quantile(refusals, 0.99);
    return out;
  }

  const Overload &Profile;
  World Sim;
  Instant Begin;
  Instant PeakBegin;
  Instant PeakEnd;
  Instant End;
  int TotalWeight = 0;
  double MeanWorkMs = 0;
  int Count = 0;
};

} // namespace

std::vector<OverloadFigures> runOverload(const Overload &overload,
                                         std::uint64_t seed) {
  return OverloadRun(overload, seed).run();
}

std::vector<RequestKind> defaultKinds() {
  return {{"order", 0, 500, 1'200, 130, 2},
          {"charge", 1, 800, 2'000, 190, 5},
          {"view", 2, 800, 1'500, 250, 2}};
}

} // namespace hickoryglade::world
