#include "hickorygladectl/adminclient.h"

#include "libfleet/base/address.h"
#include "libfleet/base/asio.h"
#include "libfleet/http/responsehead.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hickoryglade::ctl {

namespace beast = boost::beast;
namespace http = beast::http;
using namespace fleet;

namespace {

/// Bounds on a node's reply, and on bytes that the parser has not consumed.
constexpr std::uint64_t MaxReplyBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

struct Exchange {
  explicit Exchange(asio::io_context &io)
      : Stream(io), Buffer(MaxUnparsedBytes) {
    Answer.body_limit(MaxReplyBytes);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response_parser<http::string_body> Answer;
  error_code Fault = asio::error::would_block;
};

asio::awaitable<void> perform(Exchange &it, tcp::endpoint to) {
  error_code ec;
  co_await it.Stream.async_connect(
      to, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec)
    co_await http::async_write(it.Stream, it.Request,
                               asio::redirect_error(asio::use_awaitable, ec));
  // The header is read by itself: an eager parser ignores the limit for a body
  // whose length it names.
  if (!ec)
    co_await http::async_read_header(
        it.Stream, it.Buffer, it.Answer,
        asio::redirect_error(asio::use_awaitable, ec));
  if (!ec)
    ec = checkResponseHead(it.Answer.get());
  if (!ec && !it.Answer.is_done())
    co_await http::async_read(it.Stream, it.Buffer, it.Answer,
                              asio::redirect_error(asio::use_awaitable, ec));
  it.Fault = ec;
}

} // namespace

absl::StatusOr<AdminReply> sendAdminRequest(const std::string &address,
                                            const std::string &method,
                                            const std::string &target,
                                            const std::string &body,
                                            std::chrono::milliseconds timeout) {
  auto parsed = parseAddress(address);
  if (!parsed)
    return absl::InvalidArgumentError("not an address: " + address);
  asio::io_context io{1};
  Exchange exchange(io);
  exchange.Request.method_string(method);
  exchange.Request.target(target);
  exchange.Request.version(11);
  exchange.Request.set(http::field::host, address);
  exchange.Request.body() = body;
  exchange.Request.prepare_payload();
  exchange.Stream.expires_after(timeout);
  tcp::endpoint to(asio::ip::make_address(parsed->Ip), parsed->Port);
  asio::co_spawn(io, perform(exchange, to), asio::detached);
  io.run();
  if (exchange.Fault)
    return absl::UnavailableError(address + ": " + exchange.Fault.message());
  AdminReply reply{
      int(exchange.Answer.get().result_int()),
      nlohmann::json::parse(exchange.Answer.get().body(), nullptr, false)};
  if (reply.Body.is_discarded())
    return absl::UnavailableError(address + ": the answer is not JSON");
  return reply;
}

} // namespace hickoryglade::ctl
