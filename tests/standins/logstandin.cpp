#include "libfleet/base/clock.h"
#include "standins/standinserver.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>
#include <map>

/// Simulates the platform's log service and injects the faults that POST
/// /control enables.

namespace hickoryglade::standins {

using namespace fleet;
using nlohmann::json;

namespace {

constexpr std::size_t MaxRecordBytes = 64 * 1024;
constexpr Millis WaitStep{5};
const std::string NoHeaders;
const std::string RetryAfterHeader = "Retry-After: 1\r\n";

struct Record {
  std::int64_t Offset = 0;
  std::string Data;
  Instant At;
};

struct StreamData {
  std::deque<Record> Records;
  std::int64_t Next = 0;
  std::int64_t First = 0;
};

struct Faults {
  /// One of ok, refuse and hang.
  std::string Mode = "ok";
  int SlowMs = 0;
  /// Number of coming appends that are stored but get no reply.
  int LoseReplies = 0;
  std::size_t RetainedRecords = 0;
  int RetentionMs = 0;
  /// Further appends within a second get status 429; 0 for no limit.
  int MaxAppendsPerSecond = 0;
};

json toJson(const Record &it) {
  return {{"offset", it.Offset}, {"data", absl::Base64Escape(it.Data)}};
}

class LogService {
public:
  asio::awaitable<bool> handle(HttpRequest request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Target == "/control")
      co_return co_await control(request, connection);
    if (Active.Mode == "hang") {
      while (Active.Mode == "hang")
        co_await sleepFor(WaitStep);
      co_return false;
    }
    if (Active.Mode == "refuse")
      co_return false;
    if (Active.SlowMs > 0)
      co_await sleepFor(Millis(Active.SlowMs));
    if (!request.Target.starts_with("/v1/streams/"))
      co_return co_await reply(connection, 404, json::object(), NoHeaders);
    std::string rest = request.Target.substr(12);
    std::string name = rest.substr(0, rest.find('/'));
    if (request.Method == "POST")
      co_return co_await append(name, request, connection);
    co_return co_await read(name, request.Target, connection);
  }

private:
  static asio::awaitable<bool> reply(std::shared_ptr<RawConnection> connection,
                                     int status, json body,
                                     std::string headers) {
    std::string bytes = answerBytes(status, body.dump(), headers);
    co_await connection->write(std::move(bytes));
    co_return true;
  }

  asio::awaitable<bool> control(const HttpRequest &request,
                                std::shared_ptr<RawConnection> connection) {
    json in = json::parse(*request.Content, nullptr, false);
    if (in.is_object()) {
      Active.Mode = in.value("mode", Active.Mode);
      Active.SlowMs = in.value("slow_ms", Active.SlowMs);
      Active.LoseReplies = in.value("lose_replies", Active.LoseReplies);
      Active.RetainedRecords = in.value("keep_records", Active.RetainedRecords);
      Active.RetentionMs = in.value("keep_ms", Active.RetentionMs);
      Active.MaxAppendsPerSecond = in.value("rate", Active.MaxAppendsPerSecond);
    }
    json out;
    out["appends"] = Appends;
    co_return co_await reply(connection, 200, std::move(out), NoHeaders);
  }

  void expire(StreamData &stream) {
    auto isExpired = [&](const Record &it) {
      bool isTooMany = Active.RetainedRecords > 0 &&
                       stream.Records.size() > Active.RetainedRecords;
      bool isTooOld =
          Active.RetentionMs > 0 && now() - it.At > Millis(Active.RetentionMs);
      return isTooMany || isTooOld;
    };
    while (!stream.Records.empty() && isExpired(stream.Records.front())) {
      stream.First = stream.Records.front().Offset + 1;
      stream.Records.pop_front();
    }
  }

  bool isOverRate() {
    auto second = now().time_since_epoch() / std::chrono::seconds(1);
    if (second != RateSecond) {
      RateSecond = second;
      RateCount = 0;
    }
    return Active.MaxAppendsPerSecond > 0 &&
           ++RateCount > Active.MaxAppendsPerSecond;
  }

  asio::awaitable<bool> append(std::string name, const HttpRequest &request,
                               std::shared_ptr<RawConnection> connection) {
    if (request.Content->size() > MaxRecordBytes)
      co_return co_await reply(connection, 413, json::object(), NoHeaders);
    if (isOverRate())
      co_return co_await reply(connection, 429, json::object(),
                               RetryAfterHeader);
    StreamData &stream = Streams[name];
    std::int64_t offset = stream.Next++;
    stream.Records.push_back({offset, *request.Content, now()});
    ++Appends;
    if (Active.LoseReplies > 0) {
      --Active.LoseReplies;
      co_return false;
    }
    json out;
    out["offset"] = offset;
    co_return co_await reply(connection, 201, std::move(out), NoHeaders);
  }

  static std::int64_t parameter(const std::string &target,
                                const std::string &name,
                                std::int64_t fallback) {
    std::size_t at = target.find(name + "=");
    return at == std::string::npos
               ? fallback
               : std::atoll(target.c_str() + at + name.size() + 1);
  }

  asio::awaitable<bool> read(std::string name, std::string target,
                             std::shared_ptr<RawConnection> connection) {
    std::int64_t from = parameter(target, "from", 0);
    std::int64_t limit = parameter(target, "limit", 100);
    Instant until = now() + Millis(parameter(target, "wait_ms", 0));
    while (Streams[name].Next <= from && now() < until && Active.Mode == "ok")
      co_await sleepFor(WaitStep);
    if (Active.Mode != "ok")
      co_return false;
    StreamData &stream = Streams[name];
    expire(stream);
    json out;
    out["first"] = stream.First;
    if (from < stream.First)
      co_return co_await reply(connection, 410, std::move(out), NoHeaders);
    json records = json::array();
    for (const Record &it : stream.Records)
      if (it.Offset >= from && std::int64_t(records.size()) < limit)
        records.push_back(toJson(it));
    std::int64_t next = records.empty()
                            ? std::max(from, stream.First)
                            : records.back()["offset"].get<std::int64_t>() + 1;
    out["next"] = next;
    out["records"] = std::move(records);
    co_return co_await reply(connection, 200, std::move(out), NoHeaders);
  }

  std::map<std::string, StreamData> Streams;
  Faults Active;
  int Appends = 0;
  std::int64_t RateSecond = 0;
  int RateCount = 0;
};

} // namespace

} // namespace hickoryglade::standins

int main(int argc, char **argv) {
  using namespace hickoryglade;
  fleet::asio::io_context io{1};
  auto service = std::make_shared<standins::LogService>();
  standins::serveHttp(
      io, standins::optionValue(argc, argv, "listen", "127.0.0.1:7000"),
      [service](fleet::HttpRequest request,
                std::shared_ptr<standins::RawConnection> connection) {
        return service->handle(std::move(request), std::move(connection));
      });
  io.run();
  return 0;
}
