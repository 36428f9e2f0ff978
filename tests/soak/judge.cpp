#include "soak/judge.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace hickoryglade::soak {

namespace {

using RunsOfRequest = std::map<std::string, std::vector<Run>>;

bool isOwnOf(const Request &request, int status) {
  return request.IsOwn && request.Status == status;
}

bool hasTimeLeft(const Request &request, std::int64_t at,
                 const Bounds &bounds) {
  return request.SentMs + request.TimeMs - at > bounds.LeastLeftMs;
}

/// When the fleet broke off a run of the request that had time left: the last
/// such run was cut, or goes on although the request has ended.
std::optional<std::int64_t> breakOf(const Request &request,
                                    std::span<const Run> runs,
                                    const Bounds &bounds) {
  std::optional<std::int64_t> last;
  for (const Run &it : runs) {
    bool wasAtWork = it.BeginMs <= request.EndMs && it.EndMs > request.EndMs;
    if (!wasAtWork && it.End != RunEnd::Cut)
      continue;
    std::int64_t at = std::min(it.EndMs, request.EndMs);
    if (hasTimeLeft(request, at, bounds))
      last = std::max(last.value_or(at), at);
  }
  return last;
}

/// A node may break off, at the end of its grace period, what was sent early.
bool isExcused(const Request &request, std::int64_t stopMs,
               std::int64_t breakMs, const Bounds &bounds) {
  return breakMs >= stopMs + bounds.GraceMs * 5 / 6 &&
         request.SentMs <= stopMs + bounds.LateSendMs;
}

bool isInWindow(const Request &request, const NodeEvent &stop,
                const Bounds &bounds) {
  std::int64_t ms = request.EndMs - stop.AtMs;
  return stop.Node == request.Node && ms >= 0 &&
         ms <= bounds.GraceMs + bounds.AfterGraceMs;
}

struct Judge {
  const Record &Seen;
  const Bounds &Limits;
  Verdict Result = {};

  /// Returns the time from the latest SIGTERM that does not excuse a break.
  std::optional<std::int64_t> afterStop(const Request &request,
                                        std::int64_t breakMs) const {
    std::optional<std::int64_t> after;
    for (const NodeEvent &it : Seen.Stops) {
      std::int64_t ms = request.EndMs - it.AtMs;
      if (isInWindow(request, it, Limits) &&
          !isExcused(request, it.AtMs, breakMs, Limits))
        after = std::min(after.value_or(ms), ms);
    }
    return after;
  }

  bool isExcusedByAny(const Request &request, std::int64_t breakMs) const {
    return std::ranges::any_of(Seen.Stops, [&](const NodeEvent &it) {
      return isInWindow(request, it, Limits) &&
             isExcused(request, it.AtMs, breakMs, Limits);
    });
  }

  std::int64_t processAge(const Request &request) const {
    std::int64_t start = 0;
    for (const NodeEvent &it : Seen.Starts)
      if (it.Node == request.Node && it.AtMs <= request.EndMs)
        start = std::max(start, it.AtMs);
    return request.EndMs - start;
  }

  Case caseOf(FaultKind kind, const Request &request, std::span<const Run> runs,
              std::optional<std::int64_t> afterStopMs) const {
    return {kind,
            request,
            {runs.begin(), runs.end()},
            afterStopMs,
            processAge(request)};
  }

  void add(FaultKind kind, const Request &request, std::span<const Run> runs,
           std::optional<std::int64_t> afterStopMs) {
    Result.Cases.push_back(caseOf(kind, request, runs, afterStopMs));
  }

  void addBreak(FaultKind kind, const Request &request,
                std::span<const Run> runs, std::int64_t breakMs) {
    std::optional<std::int64_t> after = afterStop(request, breakMs);
    if (!after && isExcusedByAny(request, breakMs))
      return;
    add(kind, request, runs, after);
    Result.Cases.back().AfterGateStopMs = afterGateStop(request, runs);
  }

  void judgeUnanswered(const Request &request, std::span<const Run> runs) {
    ++Result.WithoutAnswer;
    std::optional<std::int64_t> broken = breakOf(request, runs, Limits);
    bool wasRead =
        !runs.empty() || request.EndMs - request.SentMs > Limits.LossSlackMs;
    bool brokeOffItself =
        !broken && std::ranges::any_of(runs, [](const Run &it) {
          return it.End == RunEnd::BrokenOff;
        });
    if (wasRead && !brokeOffItself && !request.HasClientLeft &&
        hasTimeLeft(request, request.EndMs, Limits))
      addBreak(FaultKind::Unanswered, request, runs,
               broken.value_or(request.EndMs));
  }

  void judgeOwn(const Request &request, std::span<const Run> runs) {
    std::optional<std::int64_t> broken = breakOf(request, runs, Limits);
    if (!broken)
      return;
    if (hasTimeLeft(request, request.EndMs, Limits))
      addBreak(FaultKind::BrokenOff, request, runs, *broken);
    else
      ++Result.LateAfterCut;
  }

  void judgeRuns(const Request &request, std::span<const Run> runs) {
    std::set<std::string> servers;
    for (const Run &it : runs)
      servers.insert(it.Server);
    if (!request.IsIdempotent && runs.size() > 1)
      add(FaultKind::Twice, request, runs, {});
    bool isRefusal =
        request.IsOwn && (request.Status == 429 || request.Status == 503 ||
                          request.Status == 408 || request.Status == 421);
    if (!request.IsIdempotent && isRefusal && !runs.empty())
      add(FaultKind::Refused, request, runs, {});
    if (int(servers.size()) > request.MaxAttempts)
      add(FaultKind::OverBudget, request, runs, {});
  }

  /// Returns the latest SIGTERM in whose stop the run was cut because its gate
  /// ended.
  std::optional<std::int64_t> gateStopOf(const Run &run,
                                         std::int64_t cutMs) const {
    bool hasEnded = std::ranges::any_of(Seen.Ends, [&](const NodeEvent &it) {
      return it.Node == run.Gate && it.AtMs >= cutMs - Limits.SeenLateMs &&
             it.AtMs <= cutMs + Limits.GateExitMs;
    });
    std::optional<std::int64_t> stop;
    for (const NodeEvent &it : Seen.Stops)
      if (hasEnded && it.Node == run.Gate && it.AtMs <= cutMs &&
          cutMs <= it.AtMs + Limits.GraceMs + Limits.AfterGraceMs)
        stop = std::max(stop.value_or(it.AtMs), it.AtMs);
    return stop;
  }

  /// Returns the time from the SIGTERM of another node to the end of the last
  /// run that was cut because that node ended.
  std::optional<std::int64_t> afterGateStop(const Request &request,
                                            std::span<const Run> runs) const {
    std::optional<std::int64_t> after;
    for (const Run &it : runs) {
      std::int64_t cutMs = std::min(it.EndMs, request.EndMs);
      bool isCut = it.End == RunEnd::Cut || it.EndMs > request.EndMs;
      std::optional<std::int64_t> stop = gateStopOf(it, cutMs);
      if (isCut && stop && it.Gate != request.Node)
        after = cutMs - *stop;
    }
    return after;
  }

  bool isEntryEnding(const Request &request, std::int64_t atMs) const {
    return std::ranges::any_of(Seen.Stops, [&](const NodeEvent &it) {
      return it.Node == request.Node &&
             atMs >= it.AtMs + Limits.GraceMs * 5 / 6 &&
             atMs <= it.AtMs + Limits.GraceMs + Limits.AfterGraceMs;
    });
  }

  bool isServing(const std::string &node, std::int64_t atMs) const {
    std::optional<std::int64_t> start;
    for (const NodeEvent &it : Seen.Starts)
      if (it.Node == node && it.AtMs <= atMs)
        start = std::max(start.value_or(it.AtMs), it.AtMs);
    return start && *start + Limits.GateStartMs <= atMs &&
           std::ranges::none_of(Seen.Stops, [&](const NodeEvent &it) {
             return it.Node == node && it.AtMs >= *start && it.AtMs <= atMs;
           });
  }

  /// True if another attempt could have answered that began at the gate's
  /// SIGTERM.
  bool isReplaceable(const Request &request, const Run &run,
                     std::span<const Run> runs, std::int64_t stopMs) const {
    auto made = std::ranges::count_if(
        runs, [&](const Run &it) { return it.BeginMs <= stopMs; });
    std::int64_t leftMs = request.SentMs + request.TimeMs - stopMs;
    bool hasGate = std::ranges::any_of(Seen.Servers, [&](const auto &it) {
      return it.Service == request.Service && it.Node != run.Gate &&
             isServing(it.Node, stopMs);
    });
    return request.IsIdempotent && made < request.MaxAttempts && hasGate &&
           leftMs > run.WorkMs + Limits.LossSlackMs;
  }

  void judgeGate(const Request &request, const Run &run,
                 std::span<const Run> runs) {
    bool wasAtWork = run.BeginMs <= request.EndMs && run.EndMs > request.EndMs;
    bool isServed = request.Status != 0 && !request.IsOwn;
    std::int64_t cutMs = std::min(run.EndMs, request.EndMs);
    // The run was no longer needed.
    bool isDone = isServed && request.EndMs <= run.EndMs + Limits.SeenLateMs;
    if ((run.End != RunEnd::Cut && !wasAtWork) || isDone ||
        run.Gate == request.Node || request.HasClientLeft ||
        !hasTimeLeft(request, cutMs, Limits))
      return;
    std::optional<std::int64_t> stop = gateStopOf(run, cutMs);
    if (!stop)
      return;
    GateCuts &seen = Result.Gates;
    if (isEntryEnding(request, cutMs)) {
      ++seen.WithEntryEnding;
    } else if (cutMs - *stop < Limits.GateEndMs) {
      Case early = caseOf(FaultKind::CutByGate, request, runs,
                          afterStop(request, cutMs));
      early.AfterGateStopMs = cutMs - *stop;
      seen.Early.push_back(early);
      seen.EarlyAnswered += isServed;
    } else {
      bool isCounted = isReplaceable(request, run, runs, *stop);
      ++seen.Outlasting;
      seen.OutlastingAnswered += isServed;
      seen.OutlastingInGrace +=
          run.BeginMs + run.WorkMs < *stop + Limits.GraceMs;
      seen.Replaceable += isCounted;
      seen.ReplaceableAnswered += isCounted && isServed;
    }
  }

  void judgeRequest(const Request &request, std::span<const Run> runs) {
    Result.InWindow +=
        std::ranges::any_of(Seen.Stops, [&](const NodeEvent &it) {
          return isInWindow(request, it, Limits);
        });
    Result.Served += request.Status == 200 && !request.IsOwn;
    Result.ServerErrors += request.Status >= 500 && !request.IsOwn;
    Result.Own502 += isOwnOf(request, 502);
    Result.Own503 += isOwnOf(request, 503);
    Result.Own504 += isOwnOf(request, 504);
    if (request.Status == 0)
      judgeUnanswered(request, runs);
    else if (request.IsOwn)
      judgeOwn(request, runs);
    judgeRuns(request, runs);
    for (const Run &it : runs)
      judgeGate(request, it, runs);
  }
};

std::string_view nameOf(FaultKind kind) {
  switch (kind) {
  case FaultKind::Unanswered:
    return "LOST (no answer)";
  case FaultKind::BrokenOff:
    return "LOST (broken off)";
  case FaultKind::Twice:
    return "TWICE";
  case FaultKind::Refused:
    return "REFUSED";
  case FaultKind::OverBudget:
    return "BUDGET";
  case FaultKind::CutByGate:
    return "CUT by its gate";
  }
  return "";
}

std::string_view nameOf(RunEnd end) {
  switch (end) {
  case RunEnd::Answered:
    return "answered";
  case RunEnd::BrokenOff:
    return "broke off";
  case RunEnd::Cut:
    return "was cut";
  }
  return "";
}

bool dependsOnStop(FaultKind kind) {
  return kind == FaultKind::Unanswered || kind == FaultKind::BrokenOff;
}

} // namespace

GateCuts &GateCuts::operator+=(const GateCuts &other) {
  Early.insert(Early.end(), other.Early.begin(), other.Early.end());
  EarlyAnswered += other.EarlyAnswered;
  Outlasting += other.Outlasting;
  OutlastingAnswered += other.OutlastingAnswered;
  OutlastingInGrace += other.OutlastingInGrace;
  Replaceable += other.Replaceable;
  ReplaceableAnswered += other.ReplaceableAnswered;
  WithEntryEnding += other.WithEntryEnding;
  return *this;
}

int Verdict::count(FaultKind kind, bool isInWindow) const {
  return int(std::ranges::count_if(Cases, [&](const Case &it) {
    return it.Kind == kind && it.AfterStopMs.has_value() == isInWindow;
  }));
}

int Verdict::countOutlasting(const Bounds &bounds) const {
  return int(std::ranges::count_if(Cases, [&](const Case &it) {
    return dependsOnStop(it.Kind) && it.AfterStopMs &&
           it.AfterGateStopMs.value_or(0) >= bounds.GateEndMs;
  }));
}

int Verdict::faults() const {
  return int(std::ranges::count_if(Cases, [](const Case &it) {
    return dependsOnStop(it.Kind) ? it.AfterStopMs.has_value()
                                  : it.Kind != FaultKind::OverBudget;
  }));
}

Verdict judge(const Record &record, const Bounds &bounds) {
  RunsOfRequest runs;
  for (const Run &it : record.Runs)
    runs[it.Id].push_back(it);
  for (auto &[id, list] : runs)
    std::ranges::sort(list, {}, &Run::BeginMs);
  Judge judge{record, bounds};
  for (const Request &it : record.Requests)
    judge.judgeRequest(it, runs[it.Id]);
  return judge.Result;
}

std::string describe(const Case &fault) {
  const Request &of = fault.Of;
  std::string out = std::string(nameOf(fault.Kind)) + " " + of.Id + " " +
                    of.Route + " at " + of.Node + ": status " +
                    std::to_string(of.Status) + (of.IsOwn ? " (own)" : "") +
                    " after " + std::to_string(of.EndMs - of.SentMs) +
                    " ms of " + std::to_string(of.TimeMs) + ", process age " +
                    std::to_string(fault.ProcessAgeMs) + " ms, ";
  out += fault.AfterStopMs
             ? std::to_string(*fault.AfterStopMs) + " ms after SIGTERM, sent " +
                   std::to_string(*fault.AfterStopMs - (of.EndMs - of.SentMs)) +
                   " ms after it"
             : "outside of a stop";
  if (fault.AfterGateStopMs)
    out += "; " + std::to_string(*fault.AfterGateStopMs) +
           " ms after SIGTERM of the gate";
  for (const Run &it : fault.Runs)
    out += "; " + it.Server + " from " +
           std::to_string(it.BeginMs - of.SentMs) + " ms " +
           std::string(nameOf(it.End)) + " at " +
           std::to_string(it.EndMs - of.SentMs) + " ms";
  return out;
}

} // namespace hickoryglade::soak
