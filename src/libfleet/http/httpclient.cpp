#include "libfleet/http/httpclient.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"
#include "libfleet/http/responsehead.h"
#include "libfleet/reporting/logging.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>

#include <netinet/tcp.h>

#include <algorithm>

namespace hickoryglade::fleet {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr Millis ConnectLimit = std::chrono::seconds(1);
/// Several times what a server sends that keeps to the limits of a read.
constexpr std::uint64_t MaxResponseBytes = 16 * 1024 * 1024;

/// Bound on bytes that the parser has not consumed, such as an incomplete chunk
/// size line or trailer.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

/// Bound on interim responses before the final one.
constexpr int MaxInterimResponses = 16;

/// Longest pause within a response that has begun.
constexpr Millis PauseLimit = std::chrono::seconds(2);
/// Longest time that a response may take once it has begun, so that a server
/// which sends a byte at a time does not occupy the client for ever.
constexpr Millis TransferLimit = std::chrono::seconds(20);

/// TCP keep-alive probes detect an unreachable server within about 3 s. A long
/// poll would notice it only when it times out.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void enableKeepAlive(tcp::socket &socket) {
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  socket.set_option(Idle(KeepAliveIdleSeconds), ec);
  socket.set_option(Interval(KeepAliveIntervalSeconds), ec);
  socket.set_option(Count(KeepAliveProbes), ec);
}

} // namespace

class HttpClient::ResponseParser
    : public http::response_parser<http::string_body> {};

struct HttpClient::Connection {
  explicit Connection(const asio::any_io_executor &ex)
      : Stream(ex), Buffer(MaxUnparsedBytes) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

HttpClient::HttpClient(asio::any_io_executor ex, std::string address)
    : Executor(std::move(ex)), Address(std::move(address)) {}

HttpClient::~HttpClient() = default;

void HttpClient::disconnect() { Current = nullptr; }

asio::awaitable<bool> HttpClient::connect() {
  std::optional<fleet::Address> parsed = parseAddress(Address);
  if (!parsed)
    co_return false;
  Current = std::make_unique<Connection>(Executor);
  Current->Stream.expires_after(ConnectLimit);
  error_code ec;
  co_await Current->Stream.async_connect(
      tcp::endpoint(asio::ip::make_address(parsed->Ip), parsed->Port),
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    Current = nullptr;
    co_return false;
  }
  enableKeepAlive(Current->Stream.socket());
  co_return true;
}

// The header is read by itself: an eager parser ignores the limit for a body
// whose length it names.
/// Reads one response, which may take as long as it keeps arriving.
asio::awaitable<void> HttpClient::readResponse(Connection &connection,
                                               ResponseParser &parser,
                                               Millis limit, error_code &ec) {
  parser.body_limit(MaxResponseBytes);
  Millis pause = std::min(limit, PauseLimit);
  std::optional<Instant> end;
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(
        connection.Stream, connection.Buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && parser.is_header_done())
      ec = checkResponseHead(parser.get());
    if (OnProgress)
      OnProgress();
    if (!end)
      end = now() + TransferLimit;
    if (now() >= *end)
      ec = asio::error::timed_out;
    connection.Stream.expires_after(pause);
    parser.eager(parser.is_header_done());
  }
}

asio::awaitable<std::optional<HttpResponse>>
HttpClient::call(std::string method, std::string target, std::string content,
                 Millis limit) {
  if (!Current) {
    bool isConnected = co_await connect();
    if (!isConnected)
      co_return std::nullopt;
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, Address);
  request.body() = std::move(content);
  request.prepare_payload();
  Current->Stream.expires_after(limit);
  error_code ec;
  co_await http::async_write(Current->Stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  // Interim responses may come first.
  std::optional<ResponseParser> parser;
  bool isInterim = true;
  for (int n = 0; !ec && isInterim && n <= MaxInterimResponses; ++n) {
    co_await readResponse(*Current, parser.emplace(), limit, ec);
    isInterim = isInterimStatus(int(parser->get().result_int()));
  }
  if (!ec && isInterim)
    ec = http::make_error_code(http::error::bad_status);
  if (ec) {
    logEvent(LogLevel::Debug, "http_call_failed",
             {{"server", Address}, {"reason", ec.message()}});
    Current = nullptr;
    co_return std::nullopt;
  }
  HttpResponse response;
  response.Status = int(parser->get().result_int());
  for (const auto &field : parser->get())
    response.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  response.Content =
      std::make_shared<const std::string>(std::move(parser->get().body()));
  // Bytes after the response would be taken for the next one.
  if (!parser->keep_alive() || Current->Buffer.size() > 0)
    Current = nullptr;
  co_return response;
}

} // namespace hickoryglade::fleet
