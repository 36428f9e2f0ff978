#include "libfleet/base/clock.h"
#include "standins/standinserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <unistd.h>

/// Simulates an endpoint: announces itself to a node, works on a request for as
/// long as its X-Work-Ms header says, and injects the faults that POST
/// /_control enables.

namespace hickoryglade::standins {

using namespace fleet;
using nlohmann::json;

namespace {

constexpr Millis Step{2};

struct Behaviour {
  /// Requests do not complete while this is set; health probes still succeed.
  bool Stall = false;
  /// Operates normally and stalls in turn, for this time each; 0 disables it.
  int FlapIntervalMs = 0;
  /// Extra time for each of the first ColdStartRequests requests.
  int ColdStartMs = 0;
  int ColdStartRequests = 0;
  /// Reports a load of 0, however many requests run.
  bool ReportsZeroLoad = false;
  /// Sends about half of each response body and closes the connection.
  bool Truncate = false;
  /// Sends a duplicate of each response after this delay; 0 disables it.
  int DuplicateDelayMs = 0;
  /// Copies the Request-Id header of the request into the response.
  bool EchoesRequestId = true;
  /// Delay between the end of the work and the response.
  int ExtraDelayMs = 0;
  /// Stops responding on connections that were open when this was set.
  bool SilentConnections = false;
  bool Shed = false;
  bool Announce = true;
  std::string State = "ready";
};

struct Identity {
  std::string Listen;
  std::string Announce;
  std::string Name;
  std::string Workspace;
  std::string Service;
  std::string DataCentre;
  int Slots = 3;
  std::string Incarnation;
  int WorkMs = 25;
};

class Endpoint {
public:
  explicit Endpoint(Identity identity) : Self(std::move(identity)) {}

  asio::awaitable<bool> handle(HttpRequest request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Target == "/_control")
      co_return co_await control(request, connection);
    if (std::ranges::find(IgnoredConnections, connection) !=
        IgnoredConnections.end()) {
      while (true)
        co_await sleepFor(std::chrono::seconds(1));
    }
    trackConnection(connection);
    if (request.Target == "/healthz") {
      co_await sleepFor(Millis(Self.WorkMs));
      std::string bytes = answerBytes(200, "ok");
      co_await connection->write(std::move(bytes));
      co_return true;
    }
    co_return co_await work(std::move(request), std::move(connection));
  }

  asio::awaitable<void> announceForever() {
    while (true) {
      std::string method = "POST";
      std::string target = "/v1/endpoints";
      if (Active.Announce)
        co_await callHttp(Self.Announce, method, target, announcement());
      for (int i = 0; i < 100 && !IsAnnounceDue; ++i)
        co_await sleepFor(Millis(10));
      IsAnnounceDue = false;
    }
  }

private:
  std::string announcement() const {
    return json{{"name", Self.Name},
                {"workspace", Self.Workspace},
                {"service", Self.Service},
                {"address", Self.Listen},
                {"slots", Self.Slots},
                {"data_centre", Self.DataCentre},
                {"incarnation", Self.Incarnation},
                {"state", Active.State}}
        .dump();
  }

  std::string counters() const {
    return json{{"running", Running},
                {"started", Started},
                {"most_running", MaxRunning},
                {"overruns", Overruns},
                {"runs", Runs}}
        .dump();
  }

  void trackConnection(const std::shared_ptr<RawConnection> &connection) {
    if (std::ranges::find(OpenConnections, connection) == OpenConnections.end())
      OpenConnections.push_back(connection);
  }

  bool isStalled() const {
    if (Active.FlapIntervalMs > 0) {
      auto phase = now().time_since_epoch() / Millis(Active.FlapIntervalMs);
      return phase % 2 == 1;
    }
    return Active.Stall;
  }

  static int headerInt(const HttpRequest &request, const char *name,
                       int fallback) {
    std::string text = headerValue(request.Headers, name);
    return text.empty() ? fallback : std::atoi(text.c_str());
  }

  asio::awaitable<bool> work(HttpRequest request,
                             std::shared_ptr<RawConnection> connection) {
    if (Active.Shed || Running >= Self.Slots) {
      Overruns += Running >= Self.Slots;
      std::string bytes = answerBytes(503, "", "Endpoint-Shed: not-run\r\n");
      co_await connection->write(std::move(bytes));
      co_return true;
    }
    ++Running;
    ++Started;
    MaxRunning = std::max(MaxRunning, Running);
    std::string tag = headerValue(request.Headers, "X-Run-Tag");
    if (!tag.empty())
      ++Runs[tag];
    if (request.Content->find("POISON") != std::string::npos)
      _exit(70);
    Instant end = now() + Millis(headerInt(request, "X-Work-Ms", Self.WorkMs));
    if (ColdStarts < Active.ColdStartRequests) {
      ++ColdStarts;
      end += Millis(Active.ColdStartMs);
    }
    while ((now() < end || isStalled()) && !connection->isClosedByPeer())
      co_await sleepFor(std::clamp(toMillis(end - now()), Step, Millis(20)));
    --Running;
    if (connection->isClosedByPeer())
      co_return false;
    if (Active.ExtraDelayMs > 0)
      co_await sleepFor(Millis(Active.ExtraDelayMs));
    co_return co_await answer(request, connection);
  }

  asio::awaitable<bool> answer(const HttpRequest &request,
                               std::shared_ptr<RawConnection> connection) {
    std::string body = "endpoint=" + Self.Name + "\n" + *request.Content;
    int load = Active.ReportsZeroLoad ? 0 : Running;
    std::string bytes =
        answerBytes(200, body,
                    "Endpoint-Load: " + std::to_string(load) + "/" +
                        std::to_string(Self.Slots) + "\r\nX-Echo-Id: " +
                        headerValue(request.Headers, "X-Client-Id") + "\r\n" +
                        requestIdHeader(request));
    if (Active.Truncate) {
      co_await connection->write(
          bytes.substr(0, bytes.size() - body.size() / 2 - 1));
      co_return false;
    }
    if (Active.DuplicateDelayMs > 0)
      asio::co_spawn(
          co_await asio::this_coro::executor,
          sendDuplicate(connection, bytes, Millis(Active.DuplicateDelayMs)),
          asio::detached);
    co_await connection->write(std::move(bytes));
    co_return true;
  }

  std::string requestIdHeader(const HttpRequest &request) const {
    std::string id = headerValue(request.Headers, "Request-Id");
    return Active.EchoesRequestId ? "Request-Id: " + id + "\r\n" : "";
  }

  static asio::awaitable<void>
  sendDuplicate(std::shared_ptr<RawConnection> connection, std::string bytes,
                Millis wait) {
    co_await sleepFor(wait);
    co_await connection->write(std::move(bytes));
  }

  asio::awaitable<bool> control(const HttpRequest &request,
                                std::shared_ptr<RawConnection> connection) {
    json in = json::parse(*request.Content, nullptr, false);
    if (in.is_object()) {
      Active.Stall = in.value("stall", Active.Stall);
      Active.FlapIntervalMs = in.value("flap_ms", Active.FlapIntervalMs);
      Active.ColdStartMs = in.value("cold_ms", Active.ColdStartMs);
      Active.ColdStartRequests =
          in.value("cold_requests", Active.ColdStartRequests);
      Active.ReportsZeroLoad = in.value("lie_load", Active.ReportsZeroLoad);
      Active.Truncate = in.value("truncate", Active.Truncate);
      Active.DuplicateDelayMs =
          in.value("second_copy_ms", Active.DuplicateDelayMs);
      Active.EchoesRequestId = in.value("repeats_id", Active.EchoesRequestId);
      Active.ExtraDelayMs = in.value("late_ms", Active.ExtraDelayMs);
      Active.Shed = in.value("shed", Active.Shed);
      Active.Announce = in.value("announce", Active.Announce);
      Active.State = in.value("state", Active.State);
      IsAnnounceDue = IsAnnounceDue || in.contains("state");
      if (in.value("silence", false))
        IgnoredConnections = OpenConnections;
      if (in.value("leave", false)) {
        Active.Announce = false;
        std::string method = "DELETE";
        std::string target = "/v1/endpoints/" + Self.Name;
        co_await callHttp(Self.Announce, method, target, std::string());
      }
    }
    std::string bytes = answerBytes(200, counters());
    co_await connection->write(std::move(bytes));
    co_return true;
  }

  Identity Self;
  Behaviour Active;
  std::vector<std::shared_ptr<RawConnection>> OpenConnections;
  std::vector<std::shared_ptr<RawConnection>> IgnoredConnections;
  std::map<std::string, int> Runs;
  int Running = 0;
  int Started = 0;
  int MaxRunning = 0;
  int Overruns = 0;
  int ColdStarts = 0;
  bool IsAnnounceDue = false;
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
  identity.Announce = option("announce", "127.0.0.1:9200");
  identity.Name = option("name", "endpoint-1");
  identity.Workspace = option("workspace", "demo");
  identity.Service = option("service", "hello");
  identity.DataCentre = option("data-centre", "dc-1");
  identity.Slots = std::stoi(option("slots", "3"));
  identity.WorkMs = std::stoi(option("work-ms", "25"));
  identity.Incarnation = std::to_string(fleet::wallMicros());
  fleet::asio::io_context io{1};
  auto endpoint = std::make_shared<standins::Endpoint>(identity);
  standins::serveHttp(
      io, identity.Listen,
      [endpoint](fleet::HttpRequest request,
                 std::shared_ptr<standins::RawConnection> connection) {
        return endpoint->handle(std::move(request), std::move(connection));
      });
  fleet::asio::co_spawn(io, endpoint->announceForever(), fleet::asio::detached);
  io.run();
  return 0;
}
