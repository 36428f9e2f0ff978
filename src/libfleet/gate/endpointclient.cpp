#include "libfleet/gate/endpointclient.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"
#include "libfleet/http/responsehead.h"

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

constexpr std::size_t MaxIdleConnections = 16;

/// A connection that has carried more failures is not used again.
constexpr std::size_t MaxFailedIds = 64;
constexpr std::uint64_t MaxResponseBytes = 64 * 1024 * 1024;

/// Bound on bytes that the parser has not consumed, such as an incomplete
/// header line, chunk size line or trailer.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

/// Time for which the body of a response waits for room in the budget, and the
/// pause between checks.
constexpr Micros RoomWait = std::chrono::milliseconds(500);
constexpr Micros RoomPoll = std::chrono::milliseconds(5);

/// Bound on interim responses and late responses to earlier requests that may
/// precede the response to a request.
constexpr int MaxSkippedResponses = 16;

EndpointResult failed(AttemptOutcome outcome, ErrorKind kind, RunState run,
                      std::string detail) {
  return {outcome,
          std::nullopt,
          {kind, run, std::move(detail), Millis{0}},
          Micros{0}};
}

using RequestMessage = http::request<http::span_body<const char>>;
using ResponseParser = http::response_parser<http::string_body>;

/// The message refers to the request's body.
RequestMessage toBeast(const HttpRequest &request, const std::string &address) {
  RequestMessage out;
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
  out.body() = {request.Content->data(), request.Content->size()};
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

std::optional<Micros> keepAliveTimeoutOf(const http::fields &fields) {
  auto value = fields[http::field::keep_alive];
  return keepAliveTimeout({value.data(), value.size()});
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

/// True if the endpoint sent bytes that are not HTTP or exceed a bound, as
/// opposed to a connection that ended.
bool isMalformed(const error_code &ec) {
  static const error_code anyFault =
      http::make_error_code(http::error::bad_value);
  return ec.category() == anyFault.category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

} // namespace

struct EndpointClient::Connection {
  explicit Connection(const asio::any_io_executor &ex)
      : Stream(ex), Buffer(MaxUnparsedBytes) {}

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
  /// How long it was idle before the current exchange.
  Micros IdleBefore{0};
  bool IsPooled = false;
  /// Requests that the endpoint refused or failed on this connection.
  std::vector<std::string> FailedIds;
};

/// The write of a request, which runs beside the read of its response.
struct EndpointClient::RequestWrite {
  bool IsComplete = false;
  error_code Fault;

  /// The error that ended the connection, if the write has received it. The
  /// kernel reports a reset only once, so that the read then sees an orderly
  /// end. A broken pipe is reported instead of a reset if the endpoint had
  /// ended its side before, and with it the response.
  error_code connectionFault() const {
    return Fault == asio::error::broken_pipe ? error_code() : Fault;
  }
};

/// A response whose body is being read.
struct EndpointClient::Incoming {
  ConnectionPtr Source;
  ResponseParser &Parser;
  HeldBytes Held;
  bool IsBrokenOff = false;

  void breakOff() {
    IsBrokenOff = true;
    std::string().swap(Parser.get().body());
    Held.resize(0);
    Source->Stream.close();
  }
};

EndpointClient::EndpointClient(asio::any_io_executor ex,
                               const HttpDialect &dialect, BodyBudgetPtr budget,
                               bool reusesLonger)
    : Executor(std::move(ex)), Dialect(dialect), Budget(std::move(budget)),
      ReusesLonger(reusesLonger) {}

EndpointClient::~EndpointClient() = default;

EndpointClient::ConnectionPtr
EndpointClient::takeIdle(const EndpointCall &call) {
  Pool &pool = Pools[call.Address];
  std::list<ConnectionPtr> &idle = pool.Idle;
  std::erase_if(idle, [&](const ConnectionPtr &it) {
    Micros idleTime = now() - it->IdleSince;
    if (idleTime > idleLimit(pool.Times))
      return true;
    bool isReusable = it->isReusable();
    if (!isReusable)
      noteClosed(pool.Times, idleTime);
    return !isReusable;
  });
  // A repeated answer to an earlier attempt cannot be told from the answer to a
  // new attempt with the same id.
  std::string id = headerValue(call.Request.Headers, Dialect.RequestIdHeader);
  auto it = std::ranges::find_if(
      std::views::reverse(idle),
      [&](const ConnectionPtr &c) { return !c->hasFailed(id); });
  if (it == idle.rend() ||
      !mayUse(pool.Times, (*it)->IdleSince, call.IsIdempotent, now()))
    return nullptr;
  ConnectionPtr connection = std::move(*it);
  connection->IdleBefore = now() - connection->IdleSince;
  connection->IsPooled = false;
  idle.erase(std::next(it).base());
  return connection;
}

void EndpointClient::putIdle(const std::string &address,
                             ConnectionPtr connection) {
  connection->IdleSince = now();
  connection->IsPooled = true;
  std::list<ConnectionPtr> &idle = Pools[address].Idle;
  idle.push_back(std::move(connection));
  if (idle.size() > MaxIdleConnections)
    idle.pop_front();
}

void EndpointClient::closeIdle(const std::string &address) {
  auto it = Pools.find(address);
  bool isWorking = ReusesLonger && it != Pools.end() &&
                   hasJustWorked(it->second.Times, now());
  if (it != Pools.end() && !isWorking)
    it->second.Idle.clear();
}

/// If the process has ended, the kernel has closed the other connections as
/// well, which isReusable() notices.
void EndpointClient::noteLoss(const std::string &address) {
  if (ReusesLonger)
    hickoryglade::fleet::noteLoss(Pools[address].Times, now());
  else
    closeIdle(address);
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

/// With `isKept`, the connection is used for later requests.
asio::awaitable<bool> EndpointClient::isListening(std::string address,
                                                  bool isKept) {
  auto handle = std::make_shared<ExchangeHandle>();
  ConnectionPtr connection =
      co_await connect(address, now() + ListenCheckLimit, handle);
  if (connection && isKept)
    putIdle(address, connection);
  co_return connection != nullptr;
}

/// Distinguishes a broken connection from a crashed endpoint: its process has
/// ended if nothing listens at its address.
asio::awaitable<EndpointResult>
EndpointClient::classifyLoss(std::string address, ErrorKind kind,
                             std::string detail) {
  noteLoss(address);
  bool isAlive = co_await isListening(address, false);
  if (isAlive) {
    asio::steady_timer pause(Executor, ExitTime);
    co_await pause.async_wait(asio::use_awaitable);
    isAlive = co_await isListening(address, ReusesLonger);
  }
  co_return failed(isAlive ? AttemptOutcome::Broken : AttemptOutcome::Crashed,
                   kind, RunState::Unknown, std::move(detail));
}

EndpointResult EndpointClient::classifyResponse(HttpResponse response) const {
  constexpr int misdirected = 421;
  constexpr int leastServerError = 500;
  bool isNotRun = Dialect.IsNotRun(response);
  bool namesEndpoint = !Dialect.ExpectedEndpointHeader.empty();
  if (response.Status == misdirected && namesEndpoint)
    return failed(AttemptOutcome::Unreachable, ErrorKind::WrongGeneration,
                  isNotRun ? RunState::NotRun : RunState::Unknown,
                  "another endpoint has the address");
  if (isNotRun)
    return failed(AttemptOutcome::Shed, ErrorKind::EndpointShed,
                  RunState::NotRun, "the endpoint sheds load");
  bool hasFailed = response.Status >= leastServerError ||
                   impliesNotRun(Dialect, response.Status);
  AttemptOutcome outcome =
      hasFailed ? AttemptOutcome::ServerError : AttemptOutcome::Answered;
  return EndpointResult{outcome, std::move(response), {}, Micros{0}};
}

/// A response that is not HTTP or has no end is a failure of the endpoint, but
/// no sign that its process has ended.
asio::awaitable<EndpointResult>
EndpointClient::classifyReadError(std::string address, error_code ec,
                                  ErrorKind kind) {
  if (ec == beast::error::timeout)
    co_return failed(AttemptOutcome::TimedOut, ErrorKind::DeadlineExceeded,
                     RunState::Unknown, "the endpoint did not answer in time");
  if (!isMalformed(ec))
    co_return co_await classifyLoss(std::move(address), kind, ec.message());
  bool isTooLong =
      ec == http::error::body_limit || ec == http::error::buffer_overflow;
  co_return failed(AttemptOutcome::Failed,
                   isTooLong ? ErrorKind::AnswerTooLong : kind,
                   RunState::Unknown, "not a valid answer: " + ec.message());
}

/// True if bodies that are not being read here hold a part of the budget, which
/// becomes free soon.
bool EndpointClient::mayGetRoom() const {
  std::size_t reading = 0;
  for (const Incoming *it : Reading)
    reading += it->Held.bytes();
  return Budget->used() > reading;
}

/// Waits for room, and then breaks off the responses that hold most. Returns
/// false if that is the response itself.
asio::awaitable<bool> EndpointClient::makeRoom(Incoming &incoming,
                                               std::size_t bytes) {
  Instant until = now() + RoomWait;
  while (!incoming.IsBrokenOff && !incoming.Held.resize(bytes)) {
    if (now() < until && mayGetRoom()) {
      asio::steady_timer pause(Executor, RoomPoll);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    auto largest = std::ranges::max_element(
        Reading, {}, [](const Incoming *it) { return it->Held.bytes(); });
    if ((*largest)->Held.bytes() <= incoming.Held.bytes())
      co_return false;
    (*largest)->breakOff();
  }
  co_return !incoming.IsBrokenOff;
}

/// Returns no_buffer_space if the body was broken off.
asio::awaitable<error_code> EndpointClient::readBody(Incoming &incoming,
                                                     bool isHead) {
  ResponseParser &parser = incoming.Parser;
  error_code ec;
  if (isHead || parser.is_done())
    co_return ec;
  Reading.push_back(&incoming);
  parser.eager(true);
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(
        incoming.Source->Stream, incoming.Source->Buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    bool hasRoom = co_await makeRoom(incoming, parser.get().body().size());
    if (!hasRoom) {
      incoming.breakOff();
      ec = asio::error::no_buffer_space;
    }
  }
  std::erase(Reading, &incoming);
  co_return ec;
}

/// Reads responses until one belongs to the request: interim responses and late
/// responses to earlier requests may come first.
asio::awaitable<EndpointResult>
EndpointClient::readResponse(ConnectionPtr connection, const EndpointCall &call,
                             std::shared_ptr<const RequestWrite> write) {
  bool isHead = call.Request.Method == "HEAD";
  std::string id = headerValue(call.Request.Headers, Dialect.RequestIdHeader);
  bool isInOrder = true;
  for (int skipped = 0; skipped <= MaxSkippedResponses; ++skipped) {
    ResponseParser parser;
    parser.body_limit(MaxResponseBytes);
    parser.skip(isHead);
    error_code ec;
    co_await http::async_read_header(
        connection->Stream, connection->Buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
      ec = checkResponseHead(parser.get());
    if (ec)
      co_return co_await classifyReadError(call.Address, ec,
                                           ErrorKind::EndpointFailed);
    Instant headAt = now();
    // Copied before the body is read, since the parser adds trailer fields.
    HttpResponse response;
    response.Status = int(parser.get().result_int());
    if (isInterimStatus(response.Status))
      continue;
    response.Headers = endToEndHeaders(parser.get());
    std::optional<Micros> namedTimeout = keepAliveTimeoutOf(parser.get());
    bool isFramed = isLengthKnown(parser, isHead);
    if (!isFramed && !Dialect.MayLackLength)
      co_return failed(AttemptOutcome::Failed, ErrorKind::AnswerTruncated,
                       RunState::Unknown, "the answer's length is not known");
    Incoming incoming{connection, parser, {Budget, BodyUse::Answer}};
    ec = co_await readBody(incoming, isHead);
    if (!ec && !isFramed)
      ec = write->connectionFault();
    if (ec == asio::error::no_buffer_space)
      co_return failed(AttemptOutcome::Failed, ErrorKind::AnswerTooLong,
                       RunState::Unknown,
                       "broken off, since no memory is left for long answers");
    if (ec)
      co_return co_await classifyReadError(call.Address, ec,
                                           ErrorKind::AnswerTruncated);
    bool isKept = parser.keep_alive() && isFramed && write->IsComplete;
    response.Content =
        makeBody(std::move(parser.get().body()), std::move(incoming.Held));
    ResponseMatch match = matchResponse(Dialect, response, id);
    if (match == ResponseMatch::Late && isKept) {
      isInOrder = false;
      continue;
    }
    if (match != ResponseMatch::Own)
      co_return failed(AttemptOutcome::Failed, ErrorKind::EndpointFailed,
                       RunState::Unknown, "the answer is not the endpoint's");
    if (ReusesLonger)
      noteExchange(Pools[call.Address].Times, namedTimeout,
                   connection->IdleBefore, now());
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
  co_return failed(AttemptOutcome::Failed, ErrorKind::EndpointFailed,
                   RunState::Unknown,
                   "too many answers that are not the request's");
}

/// Runs beside readResponse(), because an endpoint may respond before it has
/// read all of the request.
asio::awaitable<void>
EndpointClient::writeRequest(ConnectionPtr connection, HttpRequest request,
                             std::string address,
                             std::shared_ptr<RequestWrite> write) {
  RequestMessage message = toBeast(request, address);
  error_code ec;
  co_await http::async_write(connection->Stream, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  write->IsComplete = !ec;
  write->Fault = ec;
}

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
  auto write = std::make_shared<RequestWrite>();
  // The body is held no longer than until it is written.
  HttpRequest sent = call.Request;
  call.Request.Content = nullptr;
  asio::co_spawn(Executor,
                 writeRequest(connection, std::move(sent), call.Address, write),
                 asio::detached);
  EndpointResult result = co_await readResponse(connection, call, write);
  // Ends what the endpoint may still send. One that has answered early may read
  // the rest of the request.
  bool isWriting = result.Answer && !write->IsComplete;
  if (!connection->IsPooled && !isWriting)
    connection->Stream.close();
  if (handle->IsCancelled)
    co_return failed(AttemptOutcome::Cancelled, ErrorKind::Cancelled,
                     RunState::Unknown, "given up");
  co_return result;
}

} // namespace hickoryglade::fleet
