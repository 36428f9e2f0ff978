#include "libfleet/base/clock.h"
#include "libfleet/gate/endpointclient.h"
#include "platform/dialect.h"
#include "process/freeaddress.h"
#include "standins/standinserver.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

constexpr Millis CallLimit{1'000};
constexpr std::size_t MaxHeldBytes = 64 * 1024 * 1024;

/// Bytes that a server sends for the n-th request on its c-th connection, both
/// counted from 1, and whether it closes the connection then.
struct Reaction {
  std::string Bytes;
  bool IsClosing = false;
};
using Script = std::function<Reaction(int connection, int request)>;

std::string answer(int status, const std::string &id, const std::string &body,
                   const std::string &headers = {}) {
  return standins::answerBytes(status, body,
                               "Attempt-Id: " + id + "\r\n" + headers);
}

std::string refusal(const std::string &id) {
  return answer(503, id, "", "Not-Executed: 1\r\n");
}

std::string success(const std::string &id) {
  return answer(200, id, "whole", "Response-Signature: proof\r\n");
}

EndpointCall makeCall(const std::string &address, const std::string &id) {
  EndpointCall call;
  call.Address = address;
  call.Request.Method = "POST";
  call.Request.Target = "/once/x";
  call.Request.Headers = {{"Attempt-Id", id}};
  call.Deadline = now() + CallLimit;
  return call;
}

/// Sends attempts with the given ids one after the other and returns their
/// results.
std::vector<EndpointResult> exchangeAll(const std::vector<std::string> &ids,
                                        const Script &script) {
  asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  std::map<standins::RawConnection *, std::pair<int, int>> seen;
  std::vector<std::shared_ptr<standins::RawConnection>> kept;
  standins::serveHttp(
      io, address,
      [&](HttpRequest, std::shared_ptr<standins::RawConnection> connection)
          -> asio::awaitable<bool> {
        auto [it, isNew] =
            seen.try_emplace(connection.get(), int(seen.size()) + 1, 0);
        if (isNew)
          kept.push_back(connection);
        Reaction reaction = script(it->second.first, ++it->second.second);
        co_await connection->write(reaction.Bytes);
        co_return !reaction.IsClosing;
      });
  HttpDialect dialect = platform::makeDialect();
  EndpointClient client(io.get_executor(), dialect,
                        std::make_shared<BodyBudget>(MaxHeldBytes));
  std::vector<EndpointResult> results;
  auto run = [&]() -> asio::awaitable<void> {
    for (const std::string &id : ids) {
      auto handle = std::make_shared<ExchangeHandle>();
      EndpointResult result =
          co_await client.exchange(makeCall(address, id), handle);
      results.push_back(std::move(result));
    }
    io.stop();
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  return results;
}

} // namespace

TEST_CASE("a repeated refusal does not refuse the attempt that is sent again",
          "[repeated-refusal]") {
  auto results =
      exchangeAll({"a", "a"}, [](int connection, int request) -> Reaction {
        if (connection == 1 && request == 1)
          return {refusal("a")};
        if (connection == 1)
          return {refusal("a") + success("a")};
        return {success("a")};
      });
  REQUIRE(results.size() == 2);
  CHECK(results[0].Outcome == AttemptOutcome::Shed);
  CHECK(results[1].Outcome == AttemptOutcome::Answered);
}

TEST_CASE("a repeated refusal of another attempt is skipped",
          "[repeated-refusal]") {
  auto results = exchangeAll({"a", "b", "c"}, [](int, int request) -> Reaction {
    if (request == 1)
      return {refusal("a")};
    return {refusal("a") + success("b")};
  });
  REQUIRE(results.size() == 3);
  CHECK(results[1].Outcome == AttemptOutcome::Answered);
  // The connection on which an answer came late is not used again.
  CHECK(results[2].Failure.Run != RunState::NotRun);
}

// Guards against a second run after a server that began to work answered 421.
TEST_CASE("a misdirected request has not run only if its server says so",
          "[repeated-refusal]") {
  std::string marked = "Not-Executed: 1\r\n";
  auto results = exchangeAll({"a", "b"}, [&](int, int request) -> Reaction {
    return {request == 1 ? answer(421, "a", "", marked) : answer(421, "b", "")};
  });
  REQUIRE(results.size() == 2);
  CHECK(results[0].Outcome == AttemptOutcome::Unreachable);
  CHECK(results[0].Failure.Run == RunState::NotRun);
  CHECK(results[1].Outcome == AttemptOutcome::Unreachable);
  CHECK(results[1].Failure.Run == RunState::Unknown);
}

TEST_CASE("a connection that carried extra bytes is not used again",
          "[repeated-refusal]") {
  int connections = 0;
  auto results = exchangeAll({"a", "b"}, [&](int connection, int) -> Reaction {
    connections = connection;
    return connection == 1 ? Reaction{success("a") + refusal("b")}
                           : Reaction{success("b")};
  });
  REQUIRE(results.size() == 2);
  CHECK(results[1].Outcome == AttemptOutcome::Answered);
  CHECK(connections == 2);
}

TEST_CASE("an answer that ends within its head is no success, at any byte",
          "[cut-head]") {
  bool isKept = GENERATE(false, true);
  bool hasLength = GENERATE(true, false);
  std::string whole =
      hasLength ? success("b")
                : "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\n"
                  "Response-Signature: proof\r\nContent-Type: text/plain\r\n"
                  "Connection: close\r\n\r\n";
  std::size_t head = whole.find("\r\n\r\n") + 4;
  std::vector<std::string> ids = {"b"};
  if (isKept)
    ids = {"a", "b"};
  for (std::size_t n = 0; n < head; ++n) {
    INFO("first connection: " << !isKept << ", bytes: " << n);
    auto results = exchangeAll(ids, [&](int, int request) -> Reaction {
      if (isKept && request == 1)
        return {success("a")};
      return {whole.substr(0, n), true};
    });
    REQUIRE(results.size() == ids.size());
    CHECK(results.back().Outcome != AttemptOutcome::Answered);
    CHECK_FALSE(results.back().Answer);
    CHECK(results.back().Failure.Run == RunState::Unknown);
  }
}
