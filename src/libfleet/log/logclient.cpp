#include "libfleet/log/logclient.h"
#include "libhickoryglade/jsontext.h"

#include <nlohmann/json.hpp>

#include <absl/strings/escaping.h>

#include <charconv>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

constexpr Millis CallLimit = std::chrono::seconds(3);
/// Records of the greatest length fit into one response of HttpClient.
constexpr int RecordsPerRead = 150;
constexpr Millis DefaultRetryAfter = std::chrono::seconds(1);

Millis retryAfterOf(const HttpResponse &answer) {
  std::string text = headerValue(answer.Headers, "Retry-After");
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return seconds > 0 ? std::chrono::seconds(seconds) : DefaultRetryAfter;
}

bool isInteger(const json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() && it->is_number_integer();
}

std::optional<LogRecord> parseRecord(const json &it) {
  if (!it.is_object() || !isInteger(it, "offset") || !it.contains("data") ||
      !it["data"].is_string())
    return std::nullopt;
  LogRecord record;
  record.Offset = it["offset"];
  if (!absl::Base64Unescape(it["data"].get<std::string>(), &record.Data))
    return std::nullopt;
  return record;
}

ReadResult parseRecords(const std::string &body) {
  ReadResult result;
  json reply = parseJson(body);
  if (!reply.is_object() || !isInteger(reply, "next") ||
      !reply.contains("records") || !reply["records"].is_array())
    return result;
  for (const json &it : reply["records"]) {
    std::optional<LogRecord> record = parseRecord(it);
    if (!record)
      return result;
    result.Records.push_back(std::move(*record));
  }
  result.First = reply.value("first", std::int64_t{0});
  result.Next = reply["next"];
  result.Status = LogStatus::Done;
  return result;
}

ReadResult parseExpired(const std::string &body) {
  ReadResult result;
  json reply = parseJson(body);
  if (!reply.is_object() || !isInteger(reply, "first"))
    return result;
  result.First = reply["first"];
  result.Status = LogStatus::Expired;
  return result;
}

} // namespace

LogClient::LogClient(asio::any_io_executor ex, std::string address,
                     std::string stream)
    : Caller(std::move(ex), std::move(address)), Stream(std::move(stream)) {}

asio::awaitable<AppendResult> LogClient::append(std::string data) {
  AppendResult result;
  std::optional<HttpResponse> reply = co_await Caller.call(
      "POST", "/v1/streams/" + Stream + "/records", std::move(data), CallLimit);
  if (!reply)
    co_return result;
  result.RetryAfter = retryAfterOf(*reply);
  if (reply->Status == 429) {
    result.Status = LogStatus::Overloaded;
  } else if (reply->Status == 201) {
    json body = parseJson(*reply->Content);
    if (body.is_object() && isInteger(body, "offset")) {
      result.Status = LogStatus::Done;
      result.Offset = body["offset"];
    }
  } else if (reply->Status / 100 == 4) {
    result.Status = LogStatus::Refused;
  }
  co_return result;
}

asio::awaitable<ReadResult> LogClient::read(std::int64_t from, Millis wait) {
  std::string target = "/v1/streams/" + Stream +
                       "/records?from=" + std::to_string(from) +
                       "&limit=" + std::to_string(RecordsPerRead) +
                       "&wait_ms=" + std::to_string(wait.count());
  std::optional<HttpResponse> reply =
      co_await Caller.call("GET", std::move(target), "", wait + CallLimit);
  ReadResult result;
  if (!reply)
    co_return result;
  if (reply->Status == 200)
    result = parseRecords(*reply->Content);
  else if (reply->Status == 410)
    result = parseExpired(*reply->Content);
  else if (reply->Status == 429)
    result.Status = LogStatus::Overloaded;
  else if (reply->Status == 404)
    result = {LogStatus::Done, 0, from, {}, {}};
  result.RetryAfter = retryAfterOf(*reply);
  co_return result;
}

} // namespace hickoryglade::fleet
