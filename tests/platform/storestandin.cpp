#include "platform/storeclient.h"
#include "standins/standinserver.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <map>

/// Stand-in for the platform's metadata store: keyed topics with appends, long
/// polls and the newest value of each key. POST /_control switches faults on
/// and off, takes a copy and goes back to it; POST /_operator publishes the
/// operator's configuration.

namespace hickoryglade::standins {

using namespace fleet;
using nlohmann::json;

namespace {

constexpr Millis WaitStep{5};

struct Topic {
  std::vector<std::string> Records;
  std::map<std::string, std::pair<std::int64_t, std::string>> Newest;
};

std::string bigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out += char((value >> shift) & 0xff);
  return out;
}

std::string queryValue(const std::string &target, const std::string &name) {
  std::string key = name + "=";
  for (std::size_t at = target.find('?'); at != std::string::npos;
       at = target.find('&', at + 1))
    if (target.compare(at + 1, key.size(), key) == 0) {
      std::size_t begin = at + 1 + key.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
  return "";
}

class Store {
public:
  asio::awaitable<bool> handle(HttpRequest request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Target == "/_control")
      co_return co_await control(request, connection);
    if (request.Target == "/_operator") {
      append("keyed.op", platform::encodeRecord({"config", *request.Content}));
      co_return co_await reply(connection, answer(200, "{}"));
    }
    ++Calls;
    if (Mode == "silent")
      while (Mode == "silent" && !connection->isClosedByPeer())
        co_await sleepFor(WaitStep);
    if (Mode == "busy")
      co_return co_await reply(connection, answer(503, "{}"));
    co_return co_await serve(request, connection);
  }

private:
  asio::awaitable<bool> reply(std::shared_ptr<RawConnection> connection,
                              std::string bytes) {
    co_await connection->write(std::move(bytes));
    co_return true;
  }

  asio::awaitable<bool> serve(HttpRequest request,
                              std::shared_ptr<RawConnection> connection) {
    const std::string &target = request.Target;
    std::string topic = queryValue(target, "topic");
    if (target.starts_with("/log-append")) {
      append(topic, *request.Content);
      if (LostAnswers > 0) {
        --LostAnswers;
        co_return false;
      }
      co_return co_await reply(connection, answer(200, endOf(topic)));
    }
    if (target.starts_with("/log-newest"))
      co_return co_await reply(connection, answer(200, newest(topic)));
    if (target.starts_with("/log-read"))
      co_return co_await read(target, topic, connection);
    co_return co_await reply(connection, answer(404, "{}"));
  }

  std::string answer(int status, const std::string &body) const {
    return answerBytes(status, body,
                       "Store-Era: " + std::to_string(Era) + "\r\n");
  }

  std::string endOf(const std::string &topic) {
    auto n = std::int64_t(Topics[topic].Records.size());
    return json{{"offset", n - 1}, {"end_offset", n}}.dump();
  }

  void append(const std::string &name, const std::string &bytes) {
    Topic &topic = Topics[name];
    auto records = platform::decodeRecords(std::string(16, '\0') + bytes, {});
    if (!records)
      return;
    auto offset = std::int64_t(topic.Records.size());
    topic.Records.push_back(bytes);
    for (const platform::KeyedRecord &it : records->Records) {
      if (it.Value.empty())
        topic.Newest.erase(it.Key);
      else
        topic.Newest[it.Key] = {offset, it.Value};
    }
  }

  std::string expired() const {
    return answer(410, json{{"first_offset", First}}.dump());
  }

  std::string counters() const {
    return answerBytes(200, json{{"calls", Calls}}.dump());
  }

  std::string newest(const std::string &name) {
    Topic &topic = Topics[name];
    json items = json::array();
    for (const auto &[key, value] : topic.Newest)
      items.push_back({{"key", key},
                       {"value", absl::Base64Escape(value.second)},
                       {"offset", value.first}});
    return json{{"items", items},
                {"has_more", false},
                {"end_offset", topic.Records.size()}}
        .dump();
  }

  asio::awaitable<bool> read(const std::string &target, std::string name,
                             std::shared_ptr<RawConnection> connection) {
    auto from = std::size_t(std::stoll(queryValue(target, "start_key")));
    int wait = std::stoi(queryValue(target, "wait_ms"));
    int round = SilencedRounds;
    for (int ms = 0; ms < wait && Topics[name].Records.size() <= from &&
                     round == SilencedRounds && !connection->isClosedByPeer();
         ms += int(WaitStep.count()))
      co_await sleepFor(WaitStep);
    while (round != SilencedRounds && !connection->isClosedByPeer())
      co_await sleepFor(WaitStep);
    if (from < First || from > Topics[name].Records.size())
      co_return co_await reply(connection, expired());
    const auto &records = Topics[name].Records;
    std::string body = bigEndian(records.size(), 8) + bigEndian(First, 8);
    for (std::size_t i = from; i < records.size(); ++i)
      body += records[i];
    co_return co_await reply(connection, answer(200, body));
  }

  asio::awaitable<bool> control(const HttpRequest &request,
                                std::shared_ptr<RawConnection> connection) {
    json in = json::parse(*request.Content, nullptr, false);
    if (in.is_object()) {
      Mode = in.value("mode", Mode);
      LostAnswers = in.value("lost_answers", LostAnswers);
      First = in.value("first", First);
      if (in.value("copy", false))
        Copy = Topics;
      if (in.value("restore", false)) {
        Topics = Copy;
        ++Era;
      }
      if (in.contains("config"))
        append("keyed.op",
               platform::encodeRecord({"config", in["config"].dump()}));
      // Polls that wait at this moment are never answered.
      SilencedRounds += in.value("silence_waiting", false);
    }
    co_return co_await reply(connection, counters());
  }

  std::map<std::string, Topic> Topics;
  std::map<std::string, Topic> Copy;
  int Era = 1;
  /// One of ok, busy (answers 503) and silent (does not answer).
  std::string Mode = "ok";
  int LostAnswers = 0;
  std::size_t First = 0;
  int Calls = 0;
  int SilencedRounds = 0;
};

} // namespace

} // namespace hickoryglade::standins

int main(int argc, char **argv) {
  using namespace hickoryglade;
  std::string listen =
      standins::optionValue(argc, argv, "listen", "127.0.0.1:7300");
  fleet::asio::io_context io{1};
  auto store = std::make_shared<standins::Store>();
  standins::serveHttp(
      io, listen,
      [store](fleet::HttpRequest request,
              std::shared_ptr<standins::RawConnection> connection) {
        return store->handle(std::move(request), std::move(connection));
      });
  io.run();
  return 0;
}
