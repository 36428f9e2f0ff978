#include "libfleet/base/clock.h"
#include "standins/standinserver.h"

#include <nlohmann/json.hpp>

#include <map>

/// Stand-in for a server of the users' platform: sends heartbeats to the node
/// on its VM, runs requests and reports what it received. POST /_control
/// switches faults on and off.

namespace hickoryglade::standins {

using namespace fleet;
using nlohmann::json;

namespace {

/// Longer than the time-out of any caller in the tests.
constexpr Millis HangTime{20'000};

constexpr Millis ClosePollPeriod{20};

constexpr std::size_t EndlessPieceBytes = 64 * 1024;

struct Identity {
  std::string Listen;
  std::string Control;
  std::string Id;
  std::string Service;
  Millis HeartbeatPeriod{200};
  std::int64_t StartedAtMs = wallMicros() / 1'000;
};

class Server {
public:
  explicit Server(Identity identity) : Self(std::move(identity)) {}

  asio::awaitable<bool> handle(HttpRequest request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Target == "/_control")
      co_return co_await control(request, connection);
    std::string id = headerValue(request.Headers, "Attempt-Id");
    std::string expected = headerValue(request.Headers, "Expected-Instance");
    std::string echo = "Attempt-Id: " + id + "\r\n" + OwnHeaders;
    if (expected != Self.Id)
      co_return co_await reply(connection, answerBytes(421, "", echo));
    ++Arrivals;
    if (Fault == "shed")
      co_return co_await reply(
          connection, answerBytes(503, "", echo + "Not-Executed: 1\r\n"));
    ++Runs[id];
    Last = {{"caller", headerValue(request.Headers, "Calling-Service")},
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
    if (Fault == "error")
      co_return co_await reply(connection, answerBytes(500, "", echo + Proof));
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

  asio::awaitable<bool> control(const HttpRequest &request,
                                std::shared_ptr<RawConnection> connection) {
    json in = json::parse(*request.Content, nullptr, false);
    if (in.is_object()) {
      Fault = in.value("fault", Fault);
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
    json out = {{"runs", Runs},
                {"arrivals", Arrivals},
                {"acked", Acked},
                {"cut", Cut},
                {"last", Last}};
    co_return co_await reply(connection, answerBytes(200, out.dump()));
  }

  const std::string Proof = "Response-Signature: proof\r\n";
  Identity Self;
  std::string Fault;
  /// Header lines of all answers, in which the server describes itself.
  std::string OwnHeaders;
  int Slots = 3;
  Millis WorkTime{0};
  std::string State = "ready";
  std::string Acked;
  std::map<std::string, int> Runs;
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
  identity.HeartbeatPeriod = Millis(std::stoi(option("beat-ms", "200")));
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
