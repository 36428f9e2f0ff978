#include "libfleet/base/clock.h"
#include "soak/workplan.h"
#include "standins/standinserver.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <set>

/// Stand-in for a server of the users' platform: sends heartbeats to the node
/// on its VM, runs requests and reports what it received. POST /_control
/// switches faults on and off. With --record it works as the target of each
/// request asks, breaks off some of them, and appends its runs and calls to
/// that file.

namespace hickoryglade::standins {

using namespace fleet;
using nlohmann::json;

namespace {

/// Longer than the time-out of any caller in the tests.
constexpr Millis HangTime{20'000};

constexpr Millis ClosePollPeriod{20};

constexpr std::size_t EndlessPieceBytes = 64 * 1024;

constexpr Millis WatchStep{5};
constexpr Millis CallTime{1'500};

std::int64_t wallMs() { return wallMicros() / 1'000; }

/// A run that its connection's end interrupts.
struct WatchedRun {
  std::int64_t CutMs = 0;
  bool IsOver = false;
};

struct Identity {
  std::string Listen;
  std::string Control;
  std::string Id;
  std::string Service;
  /// Where its node takes requests.
  std::string Outbound;
  std::string RecordFile;
  soak::FaultPhases Phases;
  Millis HeartbeatPeriod{200};
  int Slots = 3;
  std::int64_t StartedAtMs = wallMicros() / 1'000;
};

class Server {
public:
  explicit Server(Identity identity)
      : Self(std::move(identity)), Slots(Self.Slots) {}

  asio::awaitable<bool> handle(HttpRequest request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Target == "/_control")
      co_return co_await control(request, connection);
    std::string id = headerValue(request.Headers, "Attempt-Id");
    std::string expected = headerValue(request.Headers, "Expected-Instance");
    std::string echo = "Attempt-Id: " + id + "\r\n" + OwnHeaders;
    if (!Self.RecordFile.empty() && request.Target == "/health")
      co_return co_await reply(connection, answerBytes(200, "", echo + Proof));
    if (expected != Self.Id)
      co_return co_await reply(
          connection, answerBytes(421, "", echo + "Not-Executed: 1\r\n"));
    ++Arrivals;
    if (Fault == "shed") {
      ++Refusals[id];
      co_return co_await reply(
          connection, answerBytes(503, "", echo + "Not-Executed: 1\r\n"));
    }
    ++Runs[id];
    if (!Self.RecordFile.empty())
      co_return co_await runPlanned(std::move(request), connection, echo);
    Last = {{"id", id},
            {"caller", headerValue(request.Headers, "Calling-Service")},
            {"tenant", headerValue(request.Headers, "Tenant")},
            {"key", headerValue(request.Headers, "Api-Key")},
            {"left", headerValue(request.Headers, "Remaining-Milliseconds")},
            {"target", request.Target},
            {"body", *request.Content}};
    if (WorkTime > Millis{0})
      co_await sleepFor(WorkTime);
    if (Fault == "reset")
      co_return false;
    if (Fault == "hang") {
      Instant end = now() + HangTime;
      while (now() < end && !connection->isClosedByPeer())
        co_await sleepFor(ClosePollPeriod);
      Cut += connection->isClosedByPeer();
      co_return false;
    }
    if (Fault == "endless") {
      co_await connection->write("HTTP/1.1 200 OK\r\n" + echo + Proof + "\r\n");
      while (!connection->isClosedByPeer())
        co_await connection->write(std::string(EndlessPieceBytes, 'a'));
      co_return false;
    }
    if (Fault == "status")
      co_return co_await reply(connection,
                               answerBytes(FaultStatus, "", echo + Proof));
    if (Fault == "stray") {
      std::string stray = "Attempt-Id: earlier\r\n" + Proof;
      co_await connection->write(answerBytes(200, "another's answer", stray));
    }
    std::string body = Self.Id + ":" + *request.Content;
    if (Fault == "unframed") {
      co_await connection->write("HTTP/1.1 200 OK\r\n" + echo + Proof +
                                 "Connection: close\r\n\r\n" + body);
      co_return false;
    }
    if (Fault == "unsigned")
      co_return co_await reply(connection, answerBytes(200, body, echo));
    co_return co_await reply(connection, answerBytes(200, body, echo + Proof));
  }

  asio::awaitable<void> sendHeartbeats() {
    while (State != "gone") {
      co_await sendHeartbeat();
      co_await sleepFor(Self.HeartbeatPeriod);
    }
  }

private:
  asio::awaitable<void> sendHeartbeat() {
    std::string method = "POST";
    std::string target = "/rpc?call=instances.heartbeat&of=" + Self.Id;
    std::string body = json{{"service", Self.Service},
                            {"address", Self.Listen},
                            {"zone", "z"},
                            {"version", "v1"},
                            {"slots", Slots},
                            {"state", State},
                            {"cold_remaining_s", 0},
                            {"born", Self.StartedAtMs},
                            {"sequence", ++Sequence}}
                           .dump();
    std::string sent = State;
    CallResult result = co_await callHttp(Self.Control, method, target, body);
    if (result.Status == 200)
      Acked = sent;
  }

  asio::awaitable<bool> reply(std::shared_ptr<RawConnection> connection,
                              std::string bytes) {
    co_await connection->write(std::move(bytes));
    co_return true;
  }

  asio::awaitable<bool> runPlanned(HttpRequest request,
                                   std::shared_ptr<RawConnection> connection,
                                   std::string echo) {
    std::int64_t begin = wallMs();
    std::string id = headerValue(request.Headers, "Attempt-Id");
    soak::WorkPlan plan =
        soak::planOf(Self.Phases, Self.Id, id, request.Target, begin);
    auto run = std::make_shared<WatchedRun>();
    Active.insert(id);
    asio::co_spawn(co_await asio::this_coro::executor, watch(run, connection),
                   asio::detached);
    Millis work = plan.BreakAfter.value_or(plan.Work);
    co_await workFor(run, work / 2);
    int failedCalls = 0;
    std::string callId =
        id + "-" + Self.Id + "-" + std::to_string(Runs[id]) + "-c";
    for (int i = 0; i < plan.Calls && !run->CutMs; ++i) {
      std::string call = callId + std::to_string(i);
      bool isServed = co_await callThroughNode(request, call);
      failedCalls += !isServed;
    }
    co_await workFor(run, work - work / 2);
    run->IsOver = true;
    Active.erase(Active.find(id));
    bool isCut = run->CutMs != 0;
    record({{"run", id},
            {"server", Self.Id},
            {"begin", begin},
            {"work", plan.Work.count()},
            {"end", isCut ? run->CutMs : wallMs()},
            {"how", isCut             ? "cut"
                    : plan.BreakAfter ? "broke off"
                                      : "answered"}});
    if (isCut || plan.BreakAfter)
      co_return false;
    co_return co_await reply(connection, answerBytes(failedCalls ? 500 : 200,
                                                     Self.Id, echo + Proof));
  }

  asio::awaitable<void> watch(std::shared_ptr<WatchedRun> run,
                              std::shared_ptr<RawConnection> connection) {
    while (!run->IsOver && !run->CutMs) {
      if (connection->isClosedByPeer())
        run->CutMs = wallMs();
      co_await sleepFor(WatchStep);
    }
  }

  asio::awaitable<void> workFor(std::shared_ptr<WatchedRun> run, Millis time) {
    std::int64_t end = wallMs() + time.count();
    while (!run->CutMs && wallMs() < end)
      co_await sleepFor(std::min(WatchStep, Millis(end - wallMs())));
  }

  /// Returns whether the call was served.
  asio::awaitable<bool> callThroughNode(const HttpRequest &request,
                                        std::string id) {
    std::string left = headerValue(request.Headers, "Remaining-Milliseconds");
    Millis time = std::min(
        CallTime, Millis(left.empty() ? CallTime.count() : std::stoll(left)));
    auto work = int(100 + 150 * soak::drawOf(Self.Phases.Seed, "call " + id));
    std::int64_t sent = wallMs();
    std::vector<HttpHeader> headers = {
        {"Host", "h.example"},
        {"Attempt-Id", id},
        {"Remaining-Milliseconds", std::to_string(time.count())}};
    std::string method = "GET";
    std::string target = "/inner/x?work=" + std::to_string(work);
    CallResult result =
        co_await callHttp(Self.Outbound, method, target, std::string(), headers,
                          time + Millis(1'000));
    std::int64_t end = wallMs();
    record(
        {{"call", id},
         {"server", Self.Id},
         {"begin", sent},
         {"end", end},
         {"time", time.count()},
         {"status", result.Status},
         {"connected", result.IsConnected},
         {"own", headerValue(result.Headers, "Response-Signature").empty()}});
    co_return result.Status == 200;
  }

  void record(const json &line) {
    std::ofstream(Self.RecordFile, std::ios::app) << line.dump() + "\n";
  }

  asio::awaitable<bool> control(const HttpRequest &request,
                                std::shared_ptr<RawConnection> connection) {
    json in = json::parse(*request.Content, nullptr, false);
    if (in.is_object()) {
      Fault = in.value("fault", Fault);
      FaultStatus = in.value("status", FaultStatus);
      State = in.value("state", State);
      OwnHeaders = in.value("headers", OwnHeaders);
      Slots = in.value("slots", Slots);
      WorkTime = Millis(in.value("work_ms", WorkTime.count()));
      if (in.value("leave", false)) {
        State = "gone";
        std::string method = "POST";
        std::string target = "/rpc?call=instances.deregister&of=" + Self.Id;
        std::string body = json{{"born", Self.StartedAtMs}}.dump();
        CallResult result =
            co_await callHttp(Self.Control, method, target, body);
        Acked = result.Status == 200 ? "gone" : Acked;
      }
    }
    json out = {{"runs", Runs},         {"active", Active},
                {"arrivals", Arrivals}, {"acked", Acked},
                {"cut", Cut},           {"last", Last},
                {"refusals", Refusals}};
    co_return co_await reply(connection, answerBytes(200, out.dump()));
  }

  const std::string Proof = "Response-Signature: proof\r\n";
  Identity Self;
  std::string Fault;
  /// Status of each answer with the fault "status".
  int FaultStatus = 500;
  /// Header lines of all answers, in which the server describes itself.
  std::string OwnHeaders;
  int Slots;
  Millis WorkTime{0};
  std::string State = "ready";
  std::string Acked;
  std::map<std::string, int> Runs;
  std::map<std::string, int> Refusals;
  /// Planned runs that are under way.
  std::multiset<std::string> Active;
  json Last;
  int Arrivals = 0;
  /// Runs that hung until the node closed their connection.
  int Cut = 0;
  int Sequence = 0;
};

} // namespace

} // namespace hickoryglade::standins

int main(int argc, char **argv) {
  using namespace hickoryglade;
  auto option = [&](const std::string &name, const std::string &fallback) {
    return standins::optionValue(argc, argv, name, fallback);
  };
  standins::Identity identity;
  identity.Listen = option("listen", "127.0.0.1:7100");
  identity.Control = option("control", "127.0.0.1:9200");
  identity.Id = option("id", "i-1");
  identity.Service = option("service", "s");
  identity.Outbound = option("outbound", "");
  identity.RecordFile = option("record", "");
  identity.Phases.Seed = std::stoull(option("seed", "0"));
  identity.Phases.EpochMs = std::stoll(option("epoch-ms", "0"));
  identity.Phases.Odds = std::stod(option("break-odds", "0.85"));
  identity.HeartbeatPeriod = Millis(std::stoi(option("beat-ms", "200")));
  identity.Slots = std::stoi(option("slots", "3"));
  fleet::asio::io_context io{1};
  auto server = std::make_shared<standins::Server>(identity);
  standins::serveHttp(
      io, identity.Listen,
      [server](fleet::HttpRequest request,
               std::shared_ptr<standins::RawConnection> connection) {
        return server->handle(std::move(request), std::move(connection));
      });
  fleet::asio::co_spawn(io, server->sendHeartbeats(), fleet::asio::detached);
  io.run();
  return 0;
}
