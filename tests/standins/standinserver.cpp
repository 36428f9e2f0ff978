#include "standins/standinserver.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdlib>
#include <iostream>

namespace hickoryglade::standins {

using namespace fleet;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t MaxRequestBytes = 64 * 1024 * 1024;

class SocketConnection : public RawConnection {
public:
  explicit SocketConnection(tcp::socket socket) : Stream(std::move(socket)) {}

  asio::awaitable<void> write(std::string bytes) override {
    error_code ec;
    co_await asio::async_write(Stream, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  void close() override { Stream.close(); }
  bool isClosedByPeer() override {
    error_code ec;
    char byte = 0;
    Stream.socket().non_blocking(true, ec);
    std::size_t n = Stream.socket().receive(asio::buffer(&byte, 1),
                                            tcp::socket::message_peek, ec);
    return n == 0 && ec != asio::error::would_block;
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

asio::awaitable<void>
serveConnection(std::shared_ptr<SocketConnection> connection,
                RawHandler handler) {
  error_code ec;
  connection->Stream.socket().set_option(tcp::no_delay(true), ec);
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxRequestBytes);
    co_await http::async_read(connection->Stream, connection->Buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      break;
    auto message = parser.release();
    HttpRequest request;
    request.Method = std::string(message.method_string());
    request.Target = std::string(message.target());
    for (const auto &field : message)
      request.Headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    request.Content =
        std::make_shared<const std::string>(std::move(message.body()));
    bool isKept = co_await handler(std::move(request), connection);
    if (!isKept)
      break;
  }
  connection->close();
}

asio::awaitable<void> acceptAll(std::shared_ptr<tcp::acceptor> acceptor,
                                RawHandler handler) {
  while (true) {
    error_code ec;
    tcp::socket socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      continue;
    auto ex = acceptor->get_executor();
    asio::co_spawn(
        ex,
        serveConnection(std::make_shared<SocketConnection>(std::move(socket)),
                        handler),
        asio::detached);
  }
}

tcp::endpoint toEndpoint(const std::string &address) {
  auto parsed = parseAddress(address);
  if (!parsed) {
    std::cerr << "invalid address: " << address << "\n";
    std::exit(2);
  }
  return {asio::ip::make_address(parsed->Ip), parsed->Port};
}

} // namespace

void serveHttp(asio::io_context &io, const std::string &address,
               RawHandler handler) {
  try {
    auto acceptor =
        std::make_shared<tcp::acceptor>(io, toEndpoint(address), true);
    asio::co_spawn(io, acceptAll(acceptor, std::move(handler)), asio::detached);
  } catch (const std::exception &fault) {
    std::cerr << address << ": " << fault.what() << "\n";
    std::exit(1);
  }
}

std::string answerBytes(int status, const std::string &body,
                        const std::string &headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Reply\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         headers + "\r\n" + body;
}

asio::awaitable<CallResult> callHttp(std::string address, std::string method,
                                     std::string target, std::string body,
                                     std::vector<HttpHeader> headers,
                                     Millis limit) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(limit);
  error_code ec;
  co_await stream.async_connect(toEndpoint(address),
                                asio::redirect_error(asio::use_awaitable, ec));
  bool isConnected = !ec;
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, address);
  for (const HttpHeader &it : headers)
    request.set(it.Name, it.Value);
  request.body() = std::move(body);
  request.prepare_payload();
  if (!ec)
    co_await http::async_write(stream, request,
                               asio::redirect_error(asio::use_awaitable, ec));
  beast::flat_buffer buf;
  http::response<http::string_body> answer;
  if (!ec)
    co_await http::async_read(stream, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return CallResult{0, "", isConnected, {}};
  CallResult result{
      int(answer.result_int()), std::move(answer.body()), isConnected, {}};
  for (const auto &it : answer)
    result.Headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  co_return result;
}

asio::awaitable<void> sleepFor(Millis time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string optionValue(int argc, char **argv, const std::string &name,
                        const std::string &fallback) {
  for (int i = 1; i + 1 < argc; ++i)
    if (argv[i] == "--" + name)
      return argv[i + 1];
  return fallback;
}

} // namespace hickoryglade::standins
