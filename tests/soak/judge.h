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

  auto operator<=>(const Run &) const = default;
};

/// One attempt of a client, with an id of its own, as the client saw it.
struct Request {
  std::string Id;
  /// Node that took the request.
  std::string Node;
  std::string Route;
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

struct Record {
  std::vector<Request> Requests;
  std::vector<Run> Runs;
  std::vector<NodeEvent> Starts;
  /// SIGTERMs.
  std::vector<NodeEvent> Stops;

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

  auto operator<=>(const Case &) const = default;
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

  /// Faults that break a rule: all but those outside of a stop's window and
  /// those over the limit of attempts, which the rules bound by their number.
  int faults() const;
  int count(FaultKind kind, bool isInWindow) const;

  auto operator<=>(const Verdict &) const = default;
};

Verdict judge(const Record &record, const Bounds &bounds = {});

std::string describe(const Case &fault);

} // namespace hickoryglade::soak
