#pragma once

#include "libhickoryglade/costmodel.h"
#include "libhickoryglade/gate.h"
#include "libhickoryglade/leasepolicy.h"
#include "libhickoryglade/retry.h"
#include "libhickoryglade/routerpolicy.h"
#include "libhickoryglade/settingslog.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickoryglade::world {

/// Mechanisms that a run can disable to show that a scenario needs them.
enum class Mechanism { Leases, LeaseTerm, Fence, Quarantine, Retry };

/// Outcome that a caller sees.
enum class CallOutcome { Pending, Answered, NotRun, Unknown };

/// A caller's request with its state and outcome.
struct Call {
  std::string Id;
  std::string Entry;
  std::string Workspace = "w";
  /// Cost class: requests of one class cost about the same.
  std::string Class;
  int Priority = 0;
  Instant Start;
  Instant Deadline;
  Micros Work{0};
  bool IsLong = false;
  bool IsIdempotent = true;
  bool IsPoison = false;
  std::uint64_t Fingerprint = 0;

  int Attempts = 0;
  /// Refused attempts that cost a single message; FreeRetryLimit bounds them.
  int FreeRetries = 0;
  std::set<std::string> Tried;
  bool MayHaveRun = false;
  bool WasSlotTaken = false;
  int Crashes = 0;
  int Runs = 0;
  Instant FirstRun;
  CallOutcome Outcome = CallOutcome::Pending;
  ErrorKind Kind = ErrorKind::Internal;
  Millis RetryAfter{0};
  Instant End;

  CostClass costClass() const {
    std::string name = IsLong ? "long" : "short";
    return {Class.empty() ? name : Class, "GET", 0};
  }
};

/// Actual state of an endpoint, which nodes learn of with a delay.
struct SimulatedEndpoint {
  std::string Name;
  std::string Node;
  int Slots = 3;
  bool IsStalled = false;
  bool IsUp = true;
  bool IsAnnouncing = true;
  int Incarnation = 1;
  int Crashes = 0;
  Instant LeftAt = Instant::max();
  int StartsAfterLeaving = 0;
  std::map<std::string, std::string> Running;
};

/// Discrete-event simulation of a fleet with one service, "w/s". The library's
/// gates and entries run on virtual time with simulated endpoints, a simulated
/// log and a simulated network, all of which can fail.
class World {
public:
  explicit World(std::uint64_t seed);

  void addNode(const std::string &name);
  void addEndpoint(const std::string &name, const std::string &node, int slots);
  void setPolicy(const ServicePolicy &policy);
  void disable(Mechanism mechanism) { Disabled.insert(mechanism); }

  /// Schedules an action; a time in the past counts as now.
  void at(Instant time, std::function<void()> action);
  void runUntil(Instant end);
  Instant now() const { return Now; }
  Random &rng() { return Rng; }

  // Faults; each takes effect at once.
  void cut(const std::string &from, const std::string &to, bool isCut);
  void pause(const std::string &node, bool isPaused);
  void setLogUnavailable(bool isUnavailable) {
    IsLogUnavailable = isUnavailable;
  }
  void stall(const std::string &endpoint, bool isStalled);
  void leave(const std::string &endpoint);

  std::shared_ptr<Call> call(Call request);
  void publish(const std::string &node, const SettingsChange &change);

  const std::vector<std::shared_ptr<Call>> &calls() const { return Calls; }
  const std::map<std::string, SimulatedEndpoint> &endpoints() const {
    return Endpoints;
  }
  Standing standingOf(const std::string &endpoint) const;
  /// Number of endpoints that are ejected now.
  int ejectedNow() const;
  int maxEjected() const { return MaxEjected; }
  int settingsRegressions() const { return SettingsRegressions; }
  bool settingsAgree() const;
  std::int64_t messages() const { return Messages; }

  /// Trace of events in order, one per line, as golden files hold it.
  const std::vector<std::string> &trace() const { return Trace; }
  void traceEvent(const std::string &line);

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Node {
    std::string Name;
    Gate LocalGate;
    LeaseAgent Agent;
    SettingsState Settings;
    RetryBudget Budget;
    CostModel Costs;
    std::map<std::string, GateLoad> Loads;
    std::map<std::string, Instant> LoadAt;
    std::map<std::string, int> Outstanding;
    std::map<std::string, Instant> DownUntil;
    std::map<std::string, Standing> KnownStandings;
    std::map<std::string, AttemptPtr> AttemptsById;
    std::set<std::string> WantedEjections;
    std::map<std::string, Instant> LeaseRequestedAt;
    bool IsPaused = false;
    std::vector<std::function<void()>> Inbox;
  };

  void send(const std::string &from, const std::string &to,
            std::function<void()> action);
  void deliver(const std::string &to, std::function<void()> action);
  void carryOut(Node &node, const GateActions &actions);
  void carryOutOne(Node &node, const GateAction &action);
  void startWork(Node &node, const AttemptPtr &attempt,
                 const std::string &endpoint);
  void endWork(Node &node, const AttemptPtr &attempt,
               const std::string &endpoint, AttemptOutcome outcome);
  void crash(SimulatedEndpoint &endpoint);

  void tryOnce(const std::shared_ptr<Call> &call);
  void sendOffer(const AttemptPtr &attempt, const std::string &gate);
  void sendClaim(const AttemptPtr &attempt, const std::string &gate);
  void removeGate(const AttemptPtr &attempt, const std::string &gate);
  void finishAttempt(const AttemptPtr &attempt, CallOutcome outcome,
                     const Error &error);
  void finishCall(const std::shared_ptr<Call> &call, CallOutcome outcome,
                  ErrorKind kind);
  void failCall(const std::shared_ptr<Call> &call, const Error &error);
  void resolveAttempt(const AttemptPtr &attempt);
  void handleRefusal(const AttemptPtr &attempt, const std::string &gate,
                     const Error &error);
  Ticket ticketFor(const Attempt &attempt) const;
  std::vector<Candidate> candidates(Node &node, const Call &call);
  void publishCrash(Node &node, std::uint64_t fingerprint);
  void floodCrash(const std::string &from, std::uint64_t fingerprint,
                  const CrashRecord &record);

  void tickNode(const std::string &name);
  void readLog(Node &node);
  void append(const std::string &data, bool isSettings);
  void updateLeases(Node &node);
  void gossipStandings();
  bool isEnabled(Mechanism it) const { return !Disabled.contains(it); }
  bool isLinkUp(const std::string &a, const std::string &b) const;

  Random Rng;
  /// Separate from Rng, so that drawing Retry-After values changes no trace.
  Random RetryAfterRng{1};
  Instant Now{std::chrono::seconds(10)};
  std::multimap<Instant, std::function<void()>> Queue;
  std::map<std::string, Node> Nodes;
  std::map<std::string, SimulatedEndpoint> Endpoints;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::vector<std::pair<Instant, std::string>> LeaseLog;
  std::vector<std::pair<Instant, std::string>> SettingsRecords;
  std::vector<std::shared_ptr<Call>> Calls;
  std::set<Mechanism> Disabled;
  ServicePolicy Policy;
  std::vector<std::string> Trace;
  bool IsLogUnavailable = false;
  int MaxEjected = 0;
  int SettingsRegressions = 0;
  std::int64_t Messages = 0;
};

} // namespace hickoryglade::world
