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

  void add(FaultKind kind, const Request &request, std::span<const Run> runs,
           std::optional<std::int64_t> afterStopMs) {
    Result.Cases.push_back({kind,
                            request,
                            {runs.begin(), runs.end()},
                            afterStopMs,
                            processAge(request)});
  }

  void addBreak(FaultKind kind, const Request &request,
                std::span<const Run> runs, std::int64_t breakMs) {
    std::optional<std::int64_t> after = afterStop(request, breakMs);
    if (after || !isExcusedByAny(request, breakMs))
      add(kind, request, runs, after);
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

int Verdict::count(FaultKind kind, bool isInWindow) const {
  return int(std::ranges::count_if(Cases, [&](const Case &it) {
    return it.Kind == kind && it.AfterStopMs.has_value() == isInWindow;
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
  for (const Run &it : fault.Runs)
    out += "; " + it.Server + " from " +
           std::to_string(it.BeginMs - of.SentMs) + " ms " +
           std::string(nameOf(it.End)) + " at " +
           std::to_string(it.EndMs - of.SentMs) + " ms";
  return out;
}

} // namespace hickoryglade::soak
