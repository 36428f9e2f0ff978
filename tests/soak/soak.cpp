#include "libfleet/base/clock.h"
#include "process/testfleet.h"
#include "soak/clients.h"
#include "soak/judge.h"
#include "soak/operator.h"
#include "soak/routes.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <ranges>
#include <set>
#include <sstream>

/// Runs a fleet of real processes whose nodes are stopped in turn under load,
/// once for each seed, and judges what clients and servers saw. In the mode
/// `handover` there is a service of long runs with one gate (even seeds) or two
/// as well. Each of them is stopped while it runs requests of other entries,
/// then one of these entries.
///   soak [--mode stops|handover]
///        [--seeds FROM-TO] [--nodes N] [--seconds S] [--rate PER_NODE]
///        [--stop-gap-ms LEAST-MOST] [--break-odds P] [--daemon PROGRAM]
///        [--outlast-odds P]
///        [--keep FOLDER]
/// Exits with 1 if a rule is broken or, in the mode `handover`, a gate cuts
/// runs of other entries before it has to, with 2 if a fleet does not start.
/// With
/// --keep, what the processes of a failing run printed is copied there.

using namespace hickoryglade;
using namespace hickoryglade::soak;
using nlohmann::json;
using testing::PlatformFleet;
using testing::TestFleet;

namespace {

struct Range {
  std::int64_t From = 0;
  std::int64_t To = 0;
};

struct Options {
  bool IsHandover = false;
  Range Seeds = {1, 1};
  int Nodes = 8;
  int Seconds = 45;
  double Rate = 2.5;
  /// The same share of the nodes is stopped at a time, whatever their number.
  Range StopGapMs = {};
  std::string BreakOdds = "0.85";
  double OutlastOdds = ClientPlan{}.OutlastOdds;
  std::string Daemon;
  std::string Keep;
};

/// Number of lines in the nodes' logs by what they say.
using LineCounts = std::map<std::string, int>;

struct RunResult {
  Verdict Judged;
  OperatorRecord Operator;
  LineCounts Lines;
};

constexpr std::int64_t LeastStopTurnMs = 12'000;
constexpr std::int64_t MostStopTurnMs = 19'200;
/// The stops in pairs come in addition, and long runs make stops longer.
constexpr int HandoverStopFactor = 2;
/// Requests in a second for each gate of the service of long runs.
constexpr double LongRatePerGate = 4;
constexpr const char *LongSlots = "48";
constexpr const char *LongBreakOdds = "0.1";

Range parseRange(const std::string &text) {
  std::size_t dash = text.find('-');
  std::int64_t from = std::stoll(text);
  return {from,
          dash == std::string::npos ? from : std::stoll(text.substr(dash + 1))};
}

bool isHandover(const std::string &mode) {
  if (mode != "stops" && mode != "handover")
    throw std::invalid_argument("unknown mode: " + mode);
  return mode == "handover";
}

Options parseOptions(const std::vector<std::string> &words) {
  Options out;
  for (std::size_t i = 0; i + 1 < words.size(); i += 2) {
    const std::string &value = words[i + 1];
    if (words[i] == "--mode")
      out.IsHandover = isHandover(value);
    else if (words[i] == "--seeds")
      out.Seeds = parseRange(value);
    else if (words[i] == "--nodes")
      out.Nodes = std::stoi(value);
    else if (words[i] == "--seconds")
      out.Seconds = std::stoi(value);
    else if (words[i] == "--rate")
      out.Rate = std::stod(value);
    else if (words[i] == "--stop-gap-ms")
      out.StopGapMs = parseRange(value);
    else if (words[i] == "--break-odds")
      out.BreakOdds = value;
    else if (words[i] == "--outlast-odds")
      out.OutlastOdds = std::stod(value);
    else if (words[i] == "--daemon")
      out.Daemon = value;
    else if (words[i] == "--keep")
      out.Keep = value;
    else
      throw std::invalid_argument("unknown option: " + words[i]);
  }
  int factor = out.IsHandover ? HandoverStopFactor : 1;
  if (out.StopGapMs.To == 0)
    out.StopGapMs = {LeastStopTurnMs * factor / out.Nodes,
                     MostStopTurnMs * factor / out.Nodes};
  return out;
}

Layout layoutOf(const Options &options, std::int64_t seed) {
  return {options.Nodes, options.IsHandover ? 1 + int(seed % 2) : 0};
}

RunEnd endOf(const std::string &how) {
  if (how == "cut")
    return RunEnd::Cut;
  return how == "broke off" ? RunEnd::BrokenOff : RunEnd::Answered;
}

std::string nodeOf(const std::string &server) { return server.substr(2); }

/// Adds what the servers recorded: their runs, and their calls as clients.
void readServers(const std::string &file, Record &record) {
  std::ifstream in(file);
  std::string line;
  while (std::getline(in, line)) {
    json it = json::parse(line, nullptr, false);
    if (it.contains("run"))
      record.Runs.push_back({it["run"], it["server"], it["begin"], it["end"],
                             endOf(it["how"]), nodeOf(it["server"]),
                             it["work"]});
    if (!it.contains("call") || !it["connected"])
      continue;
    std::int64_t time = it["time"];
    std::int64_t begin = it["begin"];
    std::int64_t end = it["end"];
    int status = it["status"];
    record.Requests.push_back(
        {.Id = it["call"],
         .Node = nodeOf(it["server"]),
         .Route = Inner.Name,
         .Service = Inner.Service,
         .IsIdempotent = Inner.IsIdempotent,
         .SentMs = begin,
         .TimeMs = std::min(time, Inner.TimeoutMs),
         .MaxAttempts = Inner.MaxAttempts,
         .EndMs = end,
         .Status = status,
         .IsOwn = it["own"],
         .HasClientLeft = status == 0 && end - begin >= time});
  }
}

std::vector<std::string> logLines(const std::string &folder) {
  std::vector<std::string> lines;
  for (const auto &it : std::filesystem::directory_iterator(folder)) {
    if (it.path().extension() != ".err")
      continue;
    std::ifstream in(it.path());
    for (std::string line; std::getline(in, line);)
      lines.push_back(line);
  }
  return lines;
}

/// True for a line that names the request or one of its attempts.
bool isAbout(const std::string &line, const std::string &request) {
  std::size_t at = line.find(request);
  if (at == std::string::npos || at + request.size() >= line.size())
    return false;
  char next = line[at + request.size()];
  return next == '"' || next == '/';
}

/// Returns the lines of all nodes that name the request, by their time.
std::vector<std::string> logChain(const std::string &folder,
                                  const std::string &callerId) {
  std::vector<std::string> lines = logLines(folder);
  std::set<std::string> names;
  for (const std::string &it : lines) {
    if (it.find("\"" + callerId + "\"") == std::string::npos)
      continue;
    json line = json::parse(it, nullptr, false);
    if (line.is_object() && line.value("caller_id", "") == callerId)
      names.insert(line.value("request", callerId));
  }
  std::erase_if(lines, [&](const std::string &it) {
    return std::ranges::none_of(
        names, [&](const std::string &name) { return isAbout(it, name); });
  });
  std::ranges::sort(lines);
  return lines;
}

/// Says what a log line gives up, for lines that end a run or its link before
/// the endpoint has answered; empty for all others.
std::string abandonedIn(const json &line) {
  std::string event = line.value("event", "");
  if (event == "overdue") {
    bool isGateEnding = line.value("gate_ends_in_ms", 0) > 0;
    std::string what = isGateEnding ? "overdue, the gate ends" : "overdue";
    return line.value("gives_up", false)   ? what + ", given up"
           : line.value("replaces", false) ? what + ", replaced"
                                           : what + ", left to run";
  }
  if (event == "run_orphaned")
    return event + ", " + line.value("reason", "");
  if (event == "link_closed")
    return line.value("busy", false) ? "link_closed, busy" : "";
  if (event == "replacement_ended")
    return event + ", " + line.value("outcome", "");
  bool isCounted = event == "run_abandoned" ||
                   (event == "problem" && line.value("run", "") != "not_run");
  return isCounted ? event + ", " + line.value("kind", "") : "";
}

LineCounts countAbandoned(const std::string &folder) {
  LineCounts counts;
  for (const std::string &it : logLines(folder)) {
    json line = json::parse(it, nullptr, false);
    if (line.is_object())
      ++counts[abandonedIn(line)];
  }
  counts.erase("");
  return counts;
}

void keepLogs(const std::string &folder, const std::string &to) {
  std::filesystem::create_directories(to);
  std::filesystem::copy(folder, to,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
}

/// Breaks outside of a stop are only counted.
bool isShown(const Case &fault) {
  bool isBreak =
      fault.Kind == FaultKind::Unanswered || fault.Kind == FaultKind::BrokenOff;
  return !isBreak || fault.AfterStopMs;
}

void printCase(const Case &fault, const std::string &folder) {
  std::cout << "  " << describe(fault) << "\n";
  for (const std::string &line : logChain(folder, fault.Of.Id))
    std::cout << "    " << line << "\n";
}

void printCases(const Verdict &verdict, const std::string &folder) {
  for (const Case &it : verdict.Cases | std::views::filter(isShown))
    printCase(it, folder);
  for (const Case &it : verdict.Gates.Early)
    printCase(it, folder);
}

void printGateCuts(const GateCuts &cuts) {
  std::cout << "cut by their gate: too soon " << cuts.Early.size() << " ("
            << cuts.EarlyAnswered << " answered all the same), outlasted "
            << cuts.Outlasting << " (" << cuts.OutlastingAnswered
            << " answered, " << cuts.OutlastingInGrace
            << " due before SIGKILL), of these replaceable " << cuts.Replaceable
            << " (" << cuts.ReplaceableAnswered
            << " answered); with the entry ending too " << cuts.WithEntryEnding;
}

void printLines(const LineCounts &lines) {
  for (const auto &[what, count] : lines)
    std::cout << "  log: " << what << " " << count << "\n";
}

void printResult(std::int64_t seed, const RunResult &result) {
  const Verdict &it = result.Judged;
  const OperatorRecord &seen = result.Operator;
  std::cout << "seed " << seed << ": served " << it.Served
            << ", own 502/503/504 " << it.Own502 << "/" << it.Own503 << "/"
            << it.Own504 << ", server errors " << it.ServerErrors
            << ", no answer " << it.WithoutAnswer << "; in the window of "
            << it.InWindow << ": unanswered "
            << it.count(FaultKind::Unanswered, true) << ", broken off "
            << it.count(FaultKind::BrokenOff, true) << " ("
            << it.countOutlasting()
            << " outlasted their gate); outside: unanswered "
            << it.count(FaultKind::Unanswered, false) << ", broken off "
            << it.count(FaultKind::BrokenOff, false) << "; late after a cut "
            << it.LateAfterCut << "; twice "
            << it.count(FaultKind::Twice, false) << ", refused "
            << it.count(FaultKind::Refused, false) << ", over budget "
            << it.count(FaultKind::OverBudget, false) << "; stops "
            << seen.Stops.size() << ", killed " << seen.Killed
            << ", ended alone " << seen.EndedAlone << ", pairs " << seen.Pairs
            << " (" << seen.LongRuns << " runs under way); ";
  printGateCuts(it.Gates);
  std::cout << std::endl;
}

/// Options of the servers beside the nodes; those of long runs hold many at a
/// time and break off few.
std::vector<std::string> serverOptions(const PlatformFleet &fleet,
                                       const Options &options,
                                       std::int64_t seed, bool isLong) {
  std::vector<std::string> words = {
      "--record",     fleet.folder() + "/servers.record",
      "--seed",       std::to_string(seed),
      "--epoch-ms",   std::to_string(fleet::wallMicros() / 1'000),
      "--break-odds", isLong ? LongBreakOdds : options.BreakOdds};
  if (isLong)
    words.insert(words.end(), {"--slots", LongSlots});
  return words;
}

std::vector<std::string> startFleet(PlatformFleet &fleet,
                                    const Options &options, std::int64_t seed) {
  if (!options.Daemon.empty())
    fleet.setNodeProgram(options.Daemon);
  applySettings(fleet);
  fleet.setHeartbeatMs(1'500);
  fleet.startStore();
  Layout layout = layoutOf(options, seed);
  std::vector<std::string> usual = serverOptions(fleet, options, seed, false);
  std::vector<std::string> ofLong = serverOptions(fleet, options, seed, true);
  std::vector<std::string> names;
  for (int i = 0; i < options.Nodes; ++i) {
    names.push_back("n" + std::to_string(100 + i));
    startNode(fleet, names.back(), i, layout);
    fleet.setServerOptions(layout.isLongGate(i) ? ofLong : usual);
    fleet.startServer(names.back(), serviceOf(i, layout));
  }
  fleet.configure(operatorDocument(1, layout));
  for (const std::string &it : names)
    TestFleet::await("node " + it + " serves", [&] {
      return fleet.readiness(it) == 200 &&
             fleet.call(it, "GET", "/look/x?work=1").Status == 200;
    });
  return names;
}

int faultsOf(const Options &options, const Verdict &verdict) {
  return verdict.faults() +
         (options.IsHandover ? int(verdict.Gates.Early.size()) : 0);
}

RunResult runSeed(const Options &options, std::int64_t seed) {
  PlatformFleet fleet;
  Record record;
  std::int64_t startMs = fleet::wallMicros() / 1'000;
  std::vector<std::string> names = startFleet(fleet, options, seed);
  Layout layout = layoutOf(options, seed);
  for (int i = 0; i < options.Nodes; ++i) {
    record.Starts.push_back({names[std::size_t(i)], startMs});
    record.Servers.push_back({names[std::size_t(i)], serviceOf(i, layout)});
  }
  std::vector<ClientTarget> targets;
  for (const std::string &it : names)
    targets.push_back({it, fleet.node(it).Http});
  std::atomic<bool> isOver = false;
  OperatorPlan plan{.Seed = std::uint64_t(seed),
                    .Services = layout,
                    .LeastStopGapMs = int(options.StopGapMs.From),
                    .MostStopGapMs = int(options.StopGapMs.To)};
  auto operating = std::async(std::launch::async, [&] {
    return runOperator(plan, fleet, names, isOver);
  });
  double longRate = LongRatePerGate * layout.LongGates / options.Nodes;
  record.Requests = runClients({.Seed = std::uint64_t(seed),
                                .Rate = options.Rate,
                                .LongRate = longRate,
                                .OutlastOdds = options.OutlastOdds,
                                .Seconds = options.Seconds},
                               targets);
  isOver = true;
  RunResult result;
  result.Operator = operating.get();
  readServers(fleet.folder() + "/servers.record", record);
  std::ranges::copy(result.Operator.Starts, std::back_inserter(record.Starts));
  record.Stops = result.Operator.Stops;
  record.Ends = result.Operator.Ends;
  result.Judged = judge(record);
  printResult(seed, result);
  result.Lines = countAbandoned(fleet.folder());
  printLines(result.Lines);
  printCases(result.Judged, fleet.folder());
  if (faultsOf(options, result.Judged) > 0 && !options.Keep.empty())
    keepLogs(fleet.folder(), options.Keep + "/seed-" + std::to_string(seed));
  return result;
}

int runSeeds(const Options &options) {
  int failing = 0;
  int served = 0;
  int pairs = 0;
  int longRuns = 0;
  GateCuts cuts;
  LineCounts lines;
  for (std::int64_t seed = options.Seeds.From; seed <= options.Seeds.To;
       ++seed) {
    RunResult result = runSeed(options, seed);
    failing += faultsOf(options, result.Judged) > 0;
    served += result.Judged.Served;
    pairs += result.Operator.Pairs;
    longRuns += result.Operator.LongRuns;
    cuts += result.Judged.Gates;
    for (const auto &[what, count] : result.Lines)
      lines[what] += count;
  }
  std::cout << options.Seeds.To - options.Seeds.From + 1 << " seeds, "
            << failing << " with faults, " << served << " requests served, "
            << pairs << " pairs (" << longRuns << " runs under way); ";
  printGateCuts(cuts);
  std::cout << "\n";
  printLines(lines);
  // A fleet that serves nothing, or without a pair, shows nothing.
  bool hasShown = served > 0 && (pairs > 0 || !options.IsHandover);
  return failing > 0 || !hasShown ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return runSeeds(parseOptions({argv + 1, argv + argc}));
  } catch (const std::exception &fault) {
    std::cerr << fault.what() << "\n";
    return 2;
  }
}
