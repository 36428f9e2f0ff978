#include "world/scenario.h"

#include "libhickoryglade/settingsschema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace hickoryglade::world {

namespace {

using std::chrono::milliseconds;
using Words = std::vector<std::string>;

const std::map<std::string, Mechanism> Mechanisms = {
    {"leases", Mechanism::Leases},
    {"lease-term", Mechanism::LeaseTerm},
    {"fence", Mechanism::Fence},
    {"quarantine", Mechanism::Quarantine},
    {"retry-rule", Mechanism::Retry}};

const std::map<std::string, Told> Outcomes = {{"answered", Told::Answered},
                                              {"not_run", Told::NotRun},
                                              {"unknown", Told::Unknown}};

bool contains(const Words &words, const std::string &word) {
  return std::ranges::find(words, word) != words.end();
}

/// The number after a word, or a default.
int numberAfter(const Words &words, const std::string &word, int fallback) {
  auto it = std::ranges::find(words, word);
  if (it == words.end() || it + 1 == words.end())
    return fallback;
  return std::stoi(*(it + 1));
}

/// Reads a scenario line by line into a world.
class Runner {
public:
  explicit Runner(const Words &leftOut) : LeftOut(leftOut) {}

  ScenarioResult run(const std::string &text) {
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
      ++LineNumber;
      line = line.substr(0, line.find('#'));
      std::istringstream split(line);
      Words words{std::istream_iterator<std::string>(split), {}};
      if (!words.empty())
        take(words);
    }
    return {Failures, It ? It->session() : Words{}};
  }

private:
  World &world() {
    if (!It) {
      It = std::make_unique<World>(Seed);
      Begin = It->now();
      for (const std::string &name : LeftOut)
        It->leaveOut(Mechanisms.at(name));
    }
    return *It;
  }

  void take(const Words &words) {
    const std::string &first = words[0];
    if (first == "seed")
      Seed = std::stoull(words.at(1));
    else if (first == "node")
      std::for_each(words.begin() + 1, words.end(),
                    [&](const std::string &it) { addNode(it); });
    else if (first == "endpoint")
      world().addEndpoint(words.at(1), words.at(3),
                          numberAfter(words, "slots", 3));
    else if (first == "policy")
      setPolicy(words);
    else if (first == "at")
      schedule(words);
    else if (first == "run")
      world().runUntil(Begin + milliseconds(std::stoi(words.at(1))));
    else if (first == "expect")
      check(words);
    else
      throw std::invalid_argument("line " + std::to_string(LineNumber) +
                                  ": unknown word " + first);
  }

  void addNode(const std::string &name) {
    world().addNode(name);
    NodeNames.push_back(name);
    world().setPolicy(Policy);
  }

  void setPolicy(const Words &words) {
    auto value = nlohmann::json::parse(words.at(2), nullptr, false);
    if (value.is_discarded())
      value = words.at(2);
    Policy = applySettings(Policy, {{words.at(1), value}});
    world().setPolicy(Policy);
  }

  void schedule(const Words &words) {
    Instant time = Begin + milliseconds(std::stoi(words.at(1)));
    Words action(words.begin() + 2, words.end());
    world().at(time, [this, action] { act(action); });
  }

  void act(const Words &words) {
    World &w = world();
    const std::string &first = words[0];
    if (first == "load")
      return load(words);
    if (first == "request")
      return request(words);
    std::string line;
    for (const std::string &it : words)
      line += (line.empty() ? "" : " ") + it;
    w.note("-- " + line);
    if (first == "cut" || first == "heal")
      w.cut(words.at(1), words.at(2), first == "cut");
    else if (first == "pause" || first == "resume")
      w.pause(words.at(1), first == "pause");
    else if (first == "stall" || first == "recover")
      w.stall(words.at(1), first == "stall");
    else if (first == "leave")
      w.leave(words.at(1));
    else if (first == "log")
      w.setLog(words.at(1) == "away");
    else if (first == "publish")
      w.publish(words.at(2), {words.at(1), words.at(3), std::stoll(words.at(4)),
                              nlohmann::json::parse(words.at(5)), "", 0});
    else
      throw std::invalid_argument("unknown action " + first);
  }

  void request(const Words &words) {
    Call call;
    call.Id = words.at(1);
    call.Entry = words.at(3);
    call.Work = milliseconds(numberAfter(words, "work", 25));
    call.IsIdempotent = !contains(words, "post");
    call.IsPoison = contains(words, "poison");
    call.Fingerprint = call.IsPoison ? 666 : ++NextFingerprint;
    call.Deadline =
        world().now() + milliseconds(numberAfter(words, "timeout", 3'000));
    ById[call.Id] = world().call(call);
  }

  /// Poisson arrivals at random entries.
  void load(const Words &words) {
    int rate = std::stoi(words.at(1));
    Instant end = world().now() + milliseconds(numberAfter(words, "for", 0));
    int longPercent = numberAfter(words, "long", 0);
    int work = numberAfter(words, "work", 25);
    bool isPost = contains(words, "post");
    arrive(rate, end, longPercent, work, isPost);
  }

  void arrive(int rate, Instant end, int longPercent, int work, bool isPost) {
    World &w = world();
    if (w.now() >= end)
      return;
    std::exponential_distribution<double> gap(rate / 1e6);
    w.at(w.now() + Micros(1 + std::int64_t(gap(w.rng()))),
         [=, this] { arrive(rate, end, longPercent, work, isPost); });
    Call call;
    call.Id = "load" + std::to_string(++NextLoad);
    call.Entry = NodeNames[uniform(w.rng(), NodeNames.size())];
    call.IsLong = int(uniform(w.rng(), 100)) < longPercent;
    call.IsIdempotent = !isPost;
    call.Fingerprint = ++NextFingerprint;
    std::uint64_t spread = 50 + uniform(w.rng(), 101);
    call.Work = milliseconds(work) * (call.IsLong ? 30 : 1) * int(spread) / 100;
    call.Deadline = w.now() + milliseconds(call.IsLong ? 6'000 : 2'000);
    w.call(call);
  }

  void expect(bool holds, const std::string &what) {
    if (!holds)
      Failures.push_back("line " + std::to_string(LineNumber) + ": " + what);
  }

  void check(const Words &words) {
    World &w = world();
    const std::string &first = words.at(1);
    if (first == "ejected")
      expect(w.mostEjected() <= std::stoi(words.back()),
             "ejected at once: " + std::to_string(w.mostEjected()));
    else if (first == "honest")
      checkHonest();
    else if (first == "crashes")
      checkCrashes(std::stoi(words.back()));
    else if (first == "left")
      for (const auto &[name, it] : w.endpoints())
        expect(it.StartsAfterLeaving == 0, name + " got work after leaving");
    else if (first == "settings") {
      expect(w.settingsAgree(), "settings differ between nodes");
      expect(w.settingsWentBack() == 0, "settings went back");
    } else if (first == "served")
      checkServed(std::stoi(words.back()));
    else if (words.at(2) == "told")
      expect(ById.at(first)->Outcome == Outcomes.at(words.at(3)),
             first + " was told " +
                 std::to_string(int(ById.at(first)->Outcome)));
    else
      expect(toString(w.standingOf(words.at(2))) == first,
             words.at(2) + " is " +
                 std::string(toString(w.standingOf(words.at(2)))));
  }

  /// Each caller has one answer, in time; what it says of the run is true;
  /// non-idempotent work has run once at the most.
  void checkHonest() {
    for (const auto &call : world().calls()) {
      if (call->Deadline + milliseconds(50) > world().now())
        continue;
      expect(call->Outcome != Told::Nothing, call->Id + " has no answer");
      expect(call->Outcome != Told::NotRun || call->Runs == 0,
             call->Id + " was told not_run but ran");
      expect(call->IsIdempotent || call->Runs <= 1,
             call->Id + " ran " + std::to_string(call->Runs) + " times");
      expect(call->End <= call->Deadline + milliseconds(50),
             call->Id + " was answered late");
    }
  }

  void checkCrashes(int most) {
    int crashes = 0;
    for (const auto &[name, it] : world().endpoints())
      crashes += it.Crashes;
    expect(crashes <= most, "crashes: " + std::to_string(crashes));
  }

  void checkServed(int percent) {
    std::size_t served = 0;
    std::size_t all = 0;
    for (const auto &call : world().calls()) {
      if (call->Deadline > world().now() || call->IsPoison)
        continue;
      ++all;
      served += call->Outcome == Told::Answered;
      if (call->Outcome != Told::Answered && std::getenv("SHOW_LOST"))
        world().note("lost " + call->Id + " " +
                     std::string(errorInfo(call->Kind).Name));
    }
    expect(all > 0 && served * 100 >= all * std::size_t(percent),
           "served " + std::to_string(served) + " of " + std::to_string(all));
  }

  Words LeftOut;
  std::uint64_t Seed = 1;
  std::unique_ptr<World> It;
  Instant Begin;
  ServicePolicy Policy;
  Words NodeNames;
  Words Failures;
  std::map<std::string, std::shared_ptr<Call>> ById;
  std::uint64_t NextFingerprint = 1'000;
  int NextLoad = 0;
  int LineNumber = 0;
};

} // namespace

ScenarioResult runScenario(const std::string &text,
                           const std::vector<std::string> &leftOut) {
  return Runner(leftOut).run(text);
}

} // namespace hickoryglade::world
