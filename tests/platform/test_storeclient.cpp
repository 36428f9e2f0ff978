#include "platform/storeclient.h"
#include "process/freeaddress.h"
#include "standins/standinserver.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>

using namespace hickoryglade;
using namespace hickoryglade::platform;
using nlohmann::json;

namespace {

/// One answer of a scripted store.
struct Answer {
  int Incarnation = 0;
  std::string Body;
};

std::string page(const json &values, bool hasMore, int end) {
  json items = json::array();
  for (const auto &[key, value] : values.items())
    items.push_back({{"key", key},
                     {"value", absl::Base64Escape(value.get<std::string>())},
                     {"offset", 0}});
  return json{{"items", items}, {"has_more", hasMore}, {"end_offset", end}}
      .dump();
}

/// Reads a table from a store that gives the answers one after the other, the
/// last one again and again.
StoreTable readTable(std::deque<Answer> answers) {
  fleet::asio::io_context io{1};
  testing::FreeAddresses addresses;
  std::string address = addresses.next();
  standins::serveHttp(
      io, address,
      [&answers](fleet::HttpRequest,
                 std::shared_ptr<standins::RawConnection> connection)
          -> fleet::asio::awaitable<bool> {
        Answer answer = answers.front();
        if (answers.size() > 1)
          answers.pop_front();
        std::string header =
            "Store-Era: " + std::to_string(answer.Incarnation) + "\r\n";
        co_await connection->write(
            standins::answerBytes(200, answer.Body, header));
        co_return true;
      });
  StoreClient client(io.get_executor(), address);
  StoreTable table;
  auto read = [&]() -> fleet::asio::awaitable<void> {
    table = co_await client.newest("keyed.t");
    io.stop();
  };
  fleet::asio::co_spawn(io, read(), fleet::asio::detached);
  io.run();
  return table;
}

} // namespace

TEST_CASE("pages of two incarnations are not put together",
          "[restored-pages]") {
  StoreTable table =
      readTable({{1, page({{"a", "lost"}, {"b", "lost"}}, true, 9)},
                 {2, page({{"c", "kept"}}, false, 4)},
                 {2, page({{"a", "kept"}}, true, 4)},
                 {2, page({{"c", "kept"}}, false, 4)}});
  CHECK(table.Status == StoreStatus::Done);
  CHECK(table.Values ==
        std::map<std::string, std::string>{{"a", "kept"}, {"c", "kept"}});
  CHECK(table.Next == StorePosition{4, 2});
}

TEST_CASE("a store that is restored without end is not reachable",
          "[restored-pages]") {
  std::deque<Answer> answers;
  for (int i = 1; i <= 20; ++i)
    answers.push_back({i, page({{"k" + std::to_string(i % 2), "v"}}, true, i)});
  CHECK(readTable(answers).Status == StoreStatus::Unreachable);
}
