#include "libfleet/gate/endpointclient.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <ranges>

namespace hickoryglade::fleet {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr Micros ConnectLimit = std::chrono::milliseconds(500);
constexpr Micros ListenCheckLimit = std::chrono::milliseconds(100);

/// A process that ends may close its connections before it stops listening.
constexpr Micros ExitTime = std::chrono::milliseconds(50);

/// A middlebox may have dropped the state of an idle connection without closing
/// it. Non-idempotent requests therefore use only a connection that worked a
/// moment ago.
constexpr Micros IdleLimit = std::chrono::seconds(15);
constexpr Micros IdleLimitNonIdempotent = std::chrono::seconds(1);

constexpr std::size_t MaxIdleConnections = 16;

/// A connection that has carried more failures is not used again.
constexpr std::size_t MaxFailedIds = 64;
constexpr std::uint64_t MaxResponseBytes = 64 * 1024 * 1024;

EndpointResult failed(AttemptOutcome outcome, ErrorKind kind, RunState run,
                      std::string detail) {
  return {outcome,
          std::nullopt,
          {kind, run, std::move(detail), Millis{0}},
          Micros{0}};
}

http::request<http::string_body> toBeast(const HttpRequest &request,
                                         const std::string &address) {
  http::request<http::string_body> out;
  out.method_string(request.Method);
  out.target(request.Target);
  out.version(11);
  bool hasHost = false;
  for (const HttpHeader &it : request.Headers) {
    if (isHopByHop(it.Name))
      continue;
    out.insert(it.Name, it.Value);
    hasHost = hasHost || beast::iequals(it.Name, "host");
  }
  if (!hasHost)
    out.set(http::field::host, address);
  out.body() = *request.Content;
  bool hasBody = !request.Content->empty() || request.Method == "POST" ||
                 request.Method == "PUT" || request.Method == "PATCH";
  if (hasBody)
    out.content_length(request.Content->size());
  return out;
}

std::vector<HttpHeader> endToEndHeaders(const http::fields &fields) {
  std::vector<HttpHeader> all;
  for (const auto &field : fields)
    if (!isHopByHop(std::string_view(field.name_string().data(),
                                     field.name_string().size())))
      all.push_back(
          {std::string(field.name_string()), std::string(field.value())});
  return all;
}

/// True if the end of the response is known from its head. A body delimited by
/// the end of the connection cannot be distinguished from a truncated one,
/// unless endpoints are known to close connections only after the whole body.
template <typename Parser>
bool isLengthKnown(const Parser &parser, bool isHead) {
  int status = int(parser.get().result_int());
  bool hasNoBody =
      isHead || status / 100 == 1 || status == 204 || status == 304;
  return hasNoBody || parser.content_length() || parser.chunked();
}

} // namespace

struct EndpointClient::Connection {
  explicit Connection(const asio::any_io_executor &ex) : Stream(ex) {}

  /// False if the endpoint has closed the connection or sent bytes outside a
  /// response.
  bool isReusable() {
    error_code ec;
    tcp::socket &socket = Stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
  }

  bool hasFailed(const std::string &id) const {
    return std::ranges::find(FailedIds, id) != FailedIds.end();
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  Instant IdleSince;
  /// Requests that the endpoint refused or failed on this connection.
  std::vector<std::string> FailedIds;
};

EndpointClient::EndpointClient(asio::any_io_executor ex,
                               const HttpDialect &dialect)
    : Executor(std::move(ex)), Dialect(dialect) {}

EndpointClient::~EndpointClient() = default;

EndpointClient::ConnectionPtr
EndpointClient::takeIdle(const EndpointCall &call) {
  std::list<ConnectionPtr> &idle = Idle[call.Address];
  Micros limit = call.IsIdempotent ? IdleLimit : IdleLimitNonIdempotent;
  std::erase_if(idle, [](const ConnectionPtr &it) {
    return now() - it->IdleSince > IdleLimit || !it->isReusable();
  });
  // A repeated answer to an earlier attempt cannot be told from the answer to a
  // new attempt with the same id.
  std::string id = headerValue(call.Request.Headers, Dialect.RequestIdHeader);
  auto it = std::ranges::find_if(
      std::views::reverse(idle),
      [&](const ConnectionPtr &c) { return !c->hasFailed(id); });
  if (it == idle.rend() || now() - (*it)->IdleSince > limit)
    return nullptr;
  ConnectionPtr connection = std::move(*it);
  idle.erase(std::next(it).base());
  return connection;
}

void EndpointClient::putIdle(const std::string &address,
                             ConnectionPtr connection) {
  connection->IdleSince = now();
  std::list<ConnectionPtr> &idle = Idle[address];
  idle.push_back(std::move(connection));
  if (idle.size() > MaxIdleConnections)
    idle.pop_front();
}

void EndpointClient::closeIdle(const std::string &address) {
  Idle.erase(address);
}

asio::awaitable<EndpointClient::ConnectionPtr>
EndpointClient::connect(std::string address, Instant deadline,
                        std::shared_ptr<ExchangeHandle> handle) {
  std::optional<Address> parsed = parseAddress(address);
  if (!parsed)
    co_return nullptr;
  auto connection = std::make_shared<Connection>(Executor);
  handle->Cancel = [connection] { connection->Stream.close(); };
  connection->Stream.expires_at(
      toSteady(std::min(deadline, now() + ConnectLimit)));
  error_code ec;
  co_await connection->Stream.async_connect(
      tcp::endpoint(asio::ip::make_address(parsed->Ip), parsed->Port),
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return nullptr;
  connection->Stream.socket().set_option(tcp::no_delay(true), ec);
  co_return connection;
}

asio::awaitable<bool> EndpointClient::isListening(std::string address) {
  auto handle = std::make_shared<ExchangeHandle>();
  ConnectionPtr connection =
      co_await connect(address, now() + ListenCheckLimit, handle);
  co_return connection != nullptr;
}

/// Distinguishes a broken connection from a crashed endpoint: its process has
/// ended if nothing listens at its address.
asio::awaitable<EndpointResult>
EndpointClient::classifyLoss(std::string address, ErrorKind kind,
                             std::string detail) {
  closeIdle(address);
  bool isAlive = co_await isListening(address);
  if (isAlive) {
    asio::steady_timer pause(Executor, ExitTime);
    co_await pause.async_wait(asio::use_awaitable);
    isAlive = co_await isListening(address);
  }
  co_return failed(isAlive ? AttemptOutcome::Broken : AttemptOutcome::Crashed,
                   kind, RunState::Unknown, std::move(detail));
}

EndpointResult EndpointClient::classifyResponse(HttpResponse response) const {
  constexpr int misdirected = 421;
  if (response.Status == misdirected && Dialect.IsNotRun(response))
    return failed(AttemptOutcome::Unreachable, ErrorKind::WrongGeneration,
                  RunState::NotRun, "another endpoint has the address");
  if (Dialect.IsNotRun(response))
    return failed(AttemptOutcome::Shed, ErrorKind::EndpointShed,
                  RunState::NotRun, "the endpoint sheds load");
  AttemptOutcome outcome = response.Status >= 500 ? AttemptOutcome::ServerError
                                                  : AttemptOutcome::Answered;
  return EndpointResult{outcome, std::move(response), {}, Micros{0}};
}

/// Reads responses until one belongs to the request: late responses to earlier
/// requests may come first.
asio::awaitable<EndpointResult>
EndpointClient::readResponse(ConnectionPtr connection, const EndpointCall &call,
                             std::shared_ptr<bool> isWritten) {
  bool isHead = call.Request.Method == "HEAD";
  std::string id = headerValue(call.Request.Headers, Dialect.RequestIdHeader);
  bool isInOrder = true;
  while (true) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBytes);
    parser.skip(isHead);
    error_code ec;
    co_await http::async_read_header(
        connection->Stream, connection->Buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    bool hasHead = !ec;
    Instant headAt = now();
    // Copied before the body is read, since the parser adds trailer fields.
    HttpResponse response;
    response.Status = int(parser.get().result_int());
    response.Headers = endToEndHeaders(parser.get());
    bool isFramed = hasHead && isLengthKnown(parser, isHead);
    if (hasHead && !isFramed && !Dialect.MayLackLength)
      co_return failed(AttemptOutcome::Failed, ErrorKind::AnswerTruncated,
                       RunState::Unknown, "the answer's length is not known");
    if (hasHead && !parser.is_done())
      co_await http::async_read(connection->Stream, connection->Buffer, parser,
                                asio::redirect_error(asio::use_awaitable, ec));
    if (ec == beast::error::timeout)
      co_return failed(AttemptOutcome::TimedOut, ErrorKind::DeadlineExceeded,
                       RunState::Unknown,
                       "the endpoint did not answer in time");
    if (ec)
      co_return co_await classifyLoss(call.Address,
                                      hasHead ? ErrorKind::AnswerTruncated
                                              : ErrorKind::EndpointFailed,
                                      ec.message());
    bool isKept = parser.keep_alive() && isFramed && *isWritten;
    response.Content =
        std::make_shared<const std::string>(std::move(parser.get().body()));
    ResponseMatch match = matchResponse(Dialect, response, id);
    if (match == ResponseMatch::Late && isKept) {
      isInOrder = false;
      continue;
    }
    if (match != ResponseMatch::Own)
      co_return failed(AttemptOutcome::Failed, ErrorKind::EndpointFailed,
                       RunState::Unknown, "the answer is not the endpoint's");
    if (response.Status / 100 != 2)
      connection->FailedIds.push_back(id);
    bool hasRoom = connection->FailedIds.size() <= MaxFailedIds;
    if (isKept && isInOrder && hasRoom && connection->Buffer.size() == 0 &&
        repeatsId(Dialect, response, id))
      putIdle(call.Address, connection);
    EndpointHeaders said =
        readEndpointHeaders(Dialect, response.Status, response.Headers);
    EndpointResult result = classifyResponse(std::move(response));
    if (result.Outcome != AttemptOutcome::Unreachable)
      result.Headers = std::move(said);
    result.HeadAt = headAt;
    co_return result;
  }
}

namespace {

/// Writes a request. Runs beside readResponse(), because an endpoint may
/// respond before it has read all of the request.
template <typename Connection>
asio::awaitable<void> writeRequest(std::shared_ptr<Connection> connection,
                                   http::request<http::string_body> message,
                                   std::shared_ptr<bool> isWritten) {
  error_code ec;
  co_await http::async_write(connection->Stream, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  *isWritten = !ec;
}

} // namespace

asio::awaitable<EndpointResult>
EndpointClient::exchange(EndpointCall call,
                         std::shared_ptr<ExchangeHandle> handle) {
  ConnectionPtr connection = takeIdle(call);
  if (!connection)
    connection = co_await connect(call.Address, call.Deadline, handle);
  if (!connection)
    co_return failed(AttemptOutcome::Unreachable, ErrorKind::EndpointFailed,
                     RunState::NotRun, "cannot connect to the endpoint");
  handle->Cancel = [connection] { connection->Stream.close(); };
  if (handle->IsCancelled)
    co_return failed(AttemptOutcome::Cancelled, ErrorKind::Cancelled,
                     RunState::NotRun, "given up before it was sent");
  connection->Stream.expires_at(toSteady(call.Deadline));
  auto isWritten = std::make_shared<bool>(false);
  asio::co_spawn(
      Executor,
      writeRequest(connection, toBeast(call.Request, call.Address), isWritten),
      asio::detached);
  EndpointResult result = co_await readResponse(connection, call, isWritten);
  if (handle->IsCancelled)
    co_return failed(AttemptOutcome::Cancelled, ErrorKind::Cancelled,
                     RunState::Unknown, "given up");
  co_return result;
}

} // namespace hickoryglade::fleet
