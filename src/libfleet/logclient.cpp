#include "libfleet/logclient.h"

#include "libfleet/address.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>

#include <absl/strings/escaping.h>

#include <charconv>

namespace hickoryglade::fleet {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using nlohmann::json;

constexpr Millis CallLimit = std::chrono::seconds(3);
constexpr std::uint64_t MostReplyBytes = 64 * 1024 * 1024;
constexpr int RecordsPerRead = 500;
constexpr Millis DefaultRetryAfter = std::chrono::seconds(1);

Millis parseRetryAfter(std::string_view text) {
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
  json reply = json::parse(body, nullptr, false);
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
  json reply = json::parse(body, nullptr, false);
  if (!reply.is_object() || !isInteger(reply, "first"))
    return result;
  result.First = reply["first"];
  result.Status = LogStatus::Expired;
  return result;
}

} // namespace

struct LogClient::Connection {
  explicit Connection(const asio::any_io_executor &ex) : Stream(ex) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

LogClient::LogClient(asio::any_io_executor ex, std::string address,
                     std::string stream)
    : Executor(std::move(ex)), Address(std::move(address)),
      Stream(std::move(stream)) {}

LogClient::~LogClient() = default;

asio::awaitable<std::optional<LogClient::Reply>>
LogClient::call(std::string method, std::string target, std::string body,
                Millis limit) {
  std::optional<fleet::Address> parsed = parseAddress(Address);
  if (!parsed)
    co_return std::nullopt;
  error_code ec;
  if (!Current) {
    Current = std::make_unique<Connection>(Executor);
    Current->Stream.expires_after(CallLimit);
    co_await Current->Stream.async_connect(
        tcp::endpoint(asio::ip::make_address(parsed->Ip), parsed->Port),
        asio::redirect_error(asio::use_awaitable, ec));
  }
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, Address);
  request.body() = std::move(body);
  request.prepare_payload();
  Current->Stream.expires_after(limit);
  if (!ec)
    co_await http::async_write(Current->Stream, request,
                               asio::redirect_error(asio::use_awaitable, ec));
  http::response_parser<http::string_body> parser;
  parser.body_limit(MostReplyBytes);
  if (!ec)
    co_await http::async_read(Current->Stream, Current->Buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    Current = nullptr;
    co_return std::nullopt;
  }
  Reply reply{
      int(parser.get().result_int()), std::move(parser.get().body()),
      parseRetryAfter(std::string(parser.get()[http::field::retry_after]))};
  if (!parser.keep_alive())
    Current = nullptr;
  co_return reply;
}

asio::awaitable<AppendResult> LogClient::append(std::string data) {
  AppendResult result;
  std::optional<Reply> reply = co_await call(
      "POST", "/v1/streams/" + Stream + "/records", std::move(data), CallLimit);
  if (!reply)
    co_return result;
  result.RetryAfter = reply->RetryAfter;
  if (reply->Status == 429) {
    result.Status = LogStatus::Overloaded;
  } else if (reply->Status == 201) {
    json body = json::parse(reply->Body, nullptr, false);
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
  std::optional<Reply> reply =
      co_await call("GET", std::move(target), "", wait + CallLimit);
  ReadResult result;
  if (!reply)
    co_return result;
  if (reply->Status == 200)
    result = parseRecords(reply->Body);
  else if (reply->Status == 410)
    result = parseExpired(reply->Body);
  else if (reply->Status == 429)
    result.Status = LogStatus::Overloaded;
  else if (reply->Status == 404)
    result = {LogStatus::Done, 0, from, {}, {}};
  result.RetryAfter = reply->RetryAfter;
  co_return result;
}

} // namespace hickoryglade::fleet
