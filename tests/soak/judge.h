#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Judges what clients, servers and the operator saw of a fleet whose nodes are
/// stopped and restarted. All times are milliseconds of one wall clock.

namespace hickoryglade::soak {

enum class RunEnd {
  Answered,
  /// The server closed the connection by itself.
  BrokenOff,
  /// The node closed the connection while the server was at work.
  Cut,
};

/// One run of a request at a server.
struct Run {
  std::string Id;
  std::string Server;
  std::int64_t BeginMs = 0;
  std::int64_t EndMs = 0;
  RunEnd End = RunEnd::Answered;
  /// Node of the server.
  std::string Gate = {};
  /// How long the server would work.
  std::int64_t WorkMs = 0;

  auto operator<=>(const Run &) const = default;
};

/// One attempt of a client, with an id of its own, as the client saw it.
struct Request {
  std::string Id;
  /// Node that took the request.
  std::string Node;
  std::string Route;
  std::string Service = {};
  bool IsIdempotent = true;
  std::int64_t SentMs = 0;
  /// The smaller of the client's time and the route's timeout.
  std::int64_t TimeMs = 0;
  int MaxAttempts = 1;
  std::int64_t EndMs = 0;
  /// 0 if the connection ended without a whole answer.
  int Status = 0;
  /// The answer has no signature of a server.
  bool IsOwn = false;
  bool HasClientLeft = false;

  auto operator<=>(const Request &) const = default;
};

/// A signal to a node's process, or the start of one.
struct NodeEvent {
  std::string Node;
  std::int64_t AtMs = 0;

  auto operator<=>(const NodeEvent &) const = default;
};

struct ServerPlace {
  std::string Node;
  std::string Service;

  auto operator<=>(const ServerPlace &) const = default;
};

struct Record {
  std::vector<Request> Requests;
  std::vector<Run> Runs;
  std::vector<NodeEvent> Starts;
  /// SIGTERMs.
  std::vector<NodeEvent> Stops;
  /// Ends of processes.
  std::vector<NodeEvent> Ends = {};
  std::vector<ServerPlace> Servers = {};

  auto operator<=>(const Record &) const = default;
};

struct Bounds {
  std::int64_t GraceMs = 6'000;
  /// Time after the grace period that still belongs to a stop.
  std::int64_t AfterGraceMs = 1'000;
  /// A request sent later than this after a SIGTERM may not be cut at the end
  /// of the grace period.
  std::int64_t LateSendMs = 3'000;
  /// A request that no server has run counts as read after this time.
  std::int64_t LossSlackMs = 200;
  /// Less time than this counts as none.
  std::int64_t LeastLeftMs = 50;
  /// Runs of other entries may not be cut sooner than this after the SIGTERM of
  /// their gate.
  std::int64_t GateEndMs = 5'600;
  /// A run that is cut this long before the end of its gate's process, or less,
  /// is cut because of it.
  std::int64_t GateExitMs = 500;
  /// The same after the end of the process, which is seen late.
  std::int64_t SeenLateMs = 100;
  /// Time from its start until a process counts as another gate.
  std::int64_t GateStartMs = 2'000;

  auto operator<=>(const Bounds &) const = default;
};

enum class FaultKind {
  /// A request that was read has no answer.
  Unanswered,
  /// The fleet answered in place of a server that was at work.
  BrokenOff,
  Twice,
  Refused,
  OverBudget,
  /// A stopping gate cut the run of another entry too soon.
  CutByGate,
};

struct Case {
  FaultKind Kind = FaultKind::Unanswered;
  Request Of;
  std::vector<Run> Runs;
  /// Time from the SIGTERM in whose window the request ended; none if it ended
  /// outside of all such windows.
  std::optional<std::int64_t> AfterStopMs;
  /// Age of the node's process at the end of the request.
  std::int64_t ProcessAgeMs = 0;
  /// Time from the SIGTERM of the gate of another node to the end of the last
  /// run that was cut because that gate ended.
  std::optional<std::int64_t> AfterGateStopMs = std::nullopt;

  auto operator<=>(const Case &) const = default;
};

/// Runs of other entries that were cut because their gate ended.
struct GateCuts {
  /// Those cut sooner than they may be.
  std::vector<Case> Early;
  int EarlyAnswered = 0;
  /// Those that went on as long as their gate could.
  int Outlasting = 0;
  int OutlastingAnswered = 0;
  /// Those of them whose server would have answered before SIGKILL.
  int OutlastingInGrace = 0;
  /// Those of them for which there was another gate at the SIGTERM of theirs,
  /// with an attempt and the time for it left.
  int Replaceable = 0;
  int ReplaceableAnswered = 0;
  /// Runs that are not counted above as their entry was at the end of its own
  /// stop.
  int WithEntryEnding = 0;

  GateCuts &operator+=(const GateCuts &other);
  auto operator<=>(const GateCuts &) const = default;
};

struct Verdict {
  int Served = 0;
  int Own502 = 0;
  int Own503 = 0;
  int Own504 = 0;
  int ServerErrors = 0;
  int WithoutAnswer = 0;
  /// Requests that ended in the window of a stop of their node.
  int InWindow = 0;
  /// Requests cut with time left whose deadline then passed; no faults.
  int LateAfterCut = 0;
  std::vector<Case> Cases;
  /// Judged beside the rules, which go by the stops of a request's own node.
  GateCuts Gates;

  /// Faults that break a rule: all but those outside of a stop's window and
  /// those over the limit of attempts, which the rules bound by their number.
  int faults() const;
  int count(FaultKind kind, bool isInWindow) const;
  /// Breaks in the window of a stop whose run went on as long as its gate
  /// could.
  int countOutlasting(const Bounds &bounds = {}) const;

  auto operator<=>(const Verdict &) const = default;
};

Verdict judge(const Record &record, const Bounds &bounds = {});

std::string describe(const Case &fault);

} // namespace hickoryglade::soak
