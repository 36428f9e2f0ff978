#include "libfleet/http/httpserver.h"

#include "libfleet/base/clock.h"
#include "libfleet/base/listening.h"
#include "libfleet/reporting/logging.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <optional>
#include <set>

namespace hickoryglade::fleet {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Time limits for reading the body of a request and for writing a response.
constexpr auto BodyLimit = std::chrono::seconds(30);
constexpr auto WriteLimit = std::chrono::seconds(30);

constexpr std::size_t ReadBytes = 8 * 1024;

/// Bound on bytes beside the header that the parser has not consumed, such as
/// an incomplete chunk size line or trailer.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

/// Time for which the body of a request waits for room in the budget, and the
/// pause between checks.
constexpr Micros RoomWait = std::chrono::seconds(5);
constexpr Micros RoomPoll = std::chrono::milliseconds(10);

/// Limits on reading and discarding the rest of a rejected request.
constexpr auto DiscardLimit = std::chrono::seconds(2);
constexpr std::size_t MaxDiscardedBytes = 64 * 1024 * 1024;

/// A new connection counts as busy for this long, because its first request may
/// still be in flight.
constexpr Micros NewConnectionGrace = std::chrono::milliseconds(200);

/// One caller's connection.
struct Session {
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  /// True while it waits for another request; used on the worker's thread only.
  bool IsIdle = false;
};

} // namespace

struct ServerState {
  std::atomic<bool> IsStopping = false;
  /// Number of requests between their first byte and the last byte of their
  /// response.
  std::atomic<int> Busy = 0;
  std::mutex Lock;
  /// Keep-alive connections that wait for another request.
  std::set<std::shared_ptr<Session>> Idle;
};

namespace {

/// Lists a connection as idle during the lifetime of the guard.
class IdleGuard {
public:
  IdleGuard(std::shared_ptr<ServerState> state,
            std::shared_ptr<Session> session)
      : State(std::move(state)), Caller(std::move(session)) {
    Caller->IsIdle = true;
    std::lock_guard lock(State->Lock);
    State->Idle.insert(Caller);
  }
  ~IdleGuard() {
    Caller->IsIdle = false;
    std::lock_guard lock(State->Lock);
    State->Idle.erase(Caller);
  }
  IdleGuard(const IdleGuard &) = delete;
  IdleGuard &operator=(const IdleGuard &) = delete;

private:
  std::shared_ptr<ServerState> State;
  std::shared_ptr<Session> Caller;
};

/// Counts a request as busy during the lifetime of the guard.
class BusyGuard {
public:
  explicit BusyGuard(std::shared_ptr<ServerState> state)
      : State(std::move(state)) {
    ++State->Busy;
  }
  ~BusyGuard() { --State->Busy; }
  BusyGuard(const BusyGuard &) = delete;
  BusyGuard &operator=(const BusyGuard &) = delete;

private:
  std::shared_ptr<ServerState> State;
};

HttpRequest fromBeast(http::request<http::string_body> &&in, HeldBytes held) {
  HttpRequest request;
  request.Method = std::string(in.method_string());
  request.Target = std::string(in.target());
  for (const auto &field : in)
    request.Headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  request.Content = makeBody(std::move(in.body()), std::move(held));
  return request;
}

using ResponseBody = http::span_body<const char>;

/// The message refers to the response's body.
http::response<ResponseBody> toBeast(const HttpResponse &response,
                                     const std::string &method, bool isKept) {
  http::response<ResponseBody> out;
  out.version(11);
  out.result(unsigned(response.Status));
  for (const HttpHeader &it : response.Headers)
    out.insert(it.Name, it.Value);
  out.keep_alive(isKept);
  bool hasNoBody = response.Status == 204 || response.Status == 304;
  if (hasNoBody)
    return out;
  if (method == "HEAD") {
    out.content_length(response.Content->size());
    return out;
  }
  out.body() = {response.Content->data(), response.Content->size()};
  out.prepare_payload();
  return out;
}

/// HTTP status for an error in reading a request; 0 if the caller disconnected.
int faultStatus(const error_code &ec) {
  if (ec == http::error::end_of_stream)
    return 0;
  if (ec == beast::error::timeout)
    return 408;
  if (ec == http::error::header_limit)
    return 431;
  if (ec == http::error::body_limit)
    return 413;
  if (ec == asio::error::no_buffer_space)
    return 503;
  if (ec.category() == http::make_error_code(http::error::bad_value).category())
    return ec == http::error::partial_message ? 0 : 400;
  return 0;
}

/// Cancels the scope if the caller disconnects while its request is served.
void watchForDisconnect(const std::shared_ptr<Session> &session,
                        const std::shared_ptr<CallScope> &scope,
                        const std::shared_ptr<bool> &isServed) {
  session->Stream.socket().async_wait(
      tcp::socket::wait_read, [session, scope, isServed](const error_code &ec) {
        if (ec || *isServed)
          return;
        error_code peekFault;
        char byte = 0;
        session->Stream.socket().non_blocking(true, peekFault);
        session->Stream.socket().receive(asio::buffer(&byte, 1),
                                         tcp::socket::message_peek, peekFault);
        if (peekFault && peekFault != asio::error::would_block)
          scope->cancel(peekFault.message());
      });
}

asio::awaitable<void> writeResponse(std::shared_ptr<Session> session,
                                    const HttpResponse &response,
                                    std::string method, bool isKept,
                                    error_code &ec) {
  auto message = toBeast(response, method, isKept);
  http::response_serializer<ResponseBody> serializer(message);
  serializer.split(method == "HEAD");
  session->Stream.expires_after(WriteLimit);
  if (method == "HEAD")
    co_await http::async_write_header(
        session->Stream, serializer,
        asio::redirect_error(asio::use_awaitable, ec));
  else
    co_await http::async_write(session->Stream, serializer,
                               asio::redirect_error(asio::use_awaitable, ec));
}

/// Reads what has arrived on a connection without waiting.
std::size_t readArrived(Session &session) {
  error_code ec;
  session.Stream.socket().non_blocking(true, ec);
  return session.Stream.socket().receive(session.Buffer.prepare(ReadBytes), 0,
                                         ec);
}

/// Waits for the first bytes of a request; returns false if the caller
/// disconnects or stays idle, or if the server stops and nothing has arrived.
asio::awaitable<bool> awaitRequest(std::shared_ptr<Session> session,
                                   Millis idleLimit) {
  if (session->Buffer.size() > 0)
    co_return true;
  session->Stream.expires_after(idleLimit);
  error_code ec;
  std::size_t n = co_await session->Stream.async_read_some(
      session->Buffer.prepare(ReadBytes),
      asio::redirect_error(asio::use_awaitable, ec));
  // A request that has arrived is answered although the wait was cancelled:
  // closing the connection would discard it unread.
  if (ec == asio::error::operation_aborted)
    n = readArrived(*session);
  session->Buffer.commit(n);
  co_return n > 0;
}

/// Reads and discards the rest of a rejected request. Closing a socket with
/// unread data would reset the connection before the caller has read the
/// response.
asio::awaitable<void> discardRest(std::shared_ptr<Session> session) {
  error_code ec;
  session->Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  session->Stream.expires_after(DiscardLimit);
  std::size_t bytes = 0;
  while (!ec && bytes < MaxDiscardedBytes) {
    session->Buffer.clear();
    bytes += co_await session->Stream.async_read_some(
        session->Buffer.prepare(ReadBytes),
        asio::redirect_error(asio::use_awaitable, ec));
  }
}

using RequestParser = http::request_parser<http::string_body>;

/// Waits until the budget has room for a body of this length; meanwhile the
/// rest of the body stays unread.
asio::awaitable<bool> awaitRoom(std::shared_ptr<Session> session,
                                HeldBytes &held, std::size_t bytes) {
  Instant until = now() + RoomWait;
  while (!held.resize(bytes)) {
    if (now() >= until)
      co_return false;
    asio::steady_timer pause(session->Stream.get_executor(), RoomPoll);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return true;
}

/// Sets no_buffer_space if the budget has no room for the body.
asio::awaitable<void> readBody(std::shared_ptr<Session> session,
                               RequestParser &parser, HeldBytes &held,
                               error_code &ec) {
  auto length = parser.content_length();
  std::size_t expected = length ? std::size_t(*length) : 0;
  bool hasRoom = co_await awaitRoom(session, held, expected);
  session->Stream.expires_after(BodyLimit);
  parser.eager(true);
  while (hasRoom && !ec && !parser.is_done()) {
    co_await http::async_read_some(
        session->Stream, session->Buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    std::size_t bytes = parser.get().body().size();
    if (bytes > held.bytes())
      hasRoom = co_await awaitRoom(session, held, bytes);
  }
  if (!hasRoom)
    ec = asio::error::no_buffer_space;
}

asio::awaitable<void> readRequest(std::shared_ptr<Session> session,
                                  RequestParser &parser, HeldBytes &held,
                                  const HttpLimits &limits, error_code &ec) {
  parser.header_limit(limits.HeaderBytes);
  session->Buffer.max_size(limits.HeaderBytes + MaxUnparsedBytes);
  parser.body_limit(limits.BodyBytes.load());
  // The stream's own timeout would close the connection before the error
  // response is written.
  session->Stream.expires_never();
  auto isLate = std::make_shared<bool>(false);
  asio::steady_timer timer(session->Stream.get_executor(),
                           Millis(limits.HeaderTimeoutMs));
  timer.async_wait([session, isLate](const error_code &fault) {
    if (fault)
      return;
    *isLate = true;
    session->Stream.cancel();
  });
  co_await http::async_read_header(
      session->Stream, session->Buffer, parser,
      asio::redirect_error(asio::use_awaitable, ec));
  timer.cancel();
  if (ec && *isLate)
    ec = beast::error::timeout;
  if (ec || parser.is_done())
    co_return;
  co_await readBody(session, parser, held, ec);
}

asio::awaitable<void> serve(std::shared_ptr<Session> session,
                            HttpServer::Worker worker, HttpFaultHandler onFault,
                            std::shared_ptr<ServerState> state,
                            std::shared_ptr<HttpLimits> limits,
                            BodyBudgetPtr budget) {
  error_code ec;
  session->Stream.socket().set_option(tcp::no_delay(true), ec);
  for (bool isFirst = true;; isFirst = false) {
    std::optional<IdleGuard> idle;
    if (!isFirst)
      idle.emplace(state, session);
    bool hasRequest =
        co_await awaitRequest(session, Millis(limits->IdleTimeoutMs));
    idle.reset();
    if (!hasRequest)
      break;
    BusyGuard guard(state);
    RequestParser parser;
    HeldBytes held(budget, BodyUse::Request);
    co_await readRequest(session, parser, held, *limits, ec);
    if (ec) {
      if (int status = faultStatus(ec)) {
        std::string().swap(parser.get().body());
        held.resize(0);
        co_await writeResponse(session, onFault(status), "GET", false, ec);
        co_await discardRest(session);
      }
      break;
    }
    bool isKept = parser.keep_alive() && !state->IsStopping;
    HttpRequest request = fromBeast(parser.release(), std::move(held));
    std::string method = request.Method;
    auto scope = std::make_shared<CallScope>();
    auto isServed = std::make_shared<bool>(false);
    session->Stream.expires_never();
    if (worker.WatchesCaller)
      watchForDisconnect(session, scope, isServed);
    HttpResponse response = co_await worker.Handler(std::move(request), scope);
    *isServed = true;
    if (scope->IsCancelled)
      break;
    if (worker.WatchesCaller)
      session->Stream.socket().cancel(ec);
    isKept = isKept && !state->IsStopping;
    co_await writeResponse(session, response, method, isKept, ec);
    if (ec || !isKept)
      break;
  }
  session->Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  session->Stream.close();
}

} // namespace

HttpServer::HttpServer(asio::any_io_executor ex, std::string address,
                       std::vector<Worker> workers, HttpFaultHandler onFault,
                       BodyBudgetPtr budget)
    : Executor(ex), Address(std::move(address)), Acceptor(ex),
      Workers(std::move(workers)), OnFault(std::move(onFault)),
      Budget(std::move(budget)), State(std::make_shared<ServerState>()) {}

absl::Status HttpServer::listen() { return bindAddress(Acceptor, Address); }

void HttpServer::start() {
  error_code ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  accept();
}

void HttpServer::beginDrain() { State->IsStopping = true; }

void HttpServer::stop() {
  State->IsStopping = true;
  error_code ec;
  // Closing the acceptor would reset the connections that are pending.
  Acceptor.cancel(ec);
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    Worker &worker = Workers[NextWorker++ % Workers.size()];
    tcp::socket socket(worker.Executor);
    Acceptor.accept(socket, ec);
    if (!ec)
      serveNext(worker, std::move(socket));
  }
  Acceptor.close(ec);
  // A request on an idle connection might arrive too late to be completed. The
  // connection may be in use again by the time its thread gets to it.
  std::lock_guard lock(State->Lock);
  for (const std::shared_ptr<Session> &it : State->Idle)
    asio::post(it->Stream.get_executor(), [it] {
      if (it->IsIdle)
        it->Stream.cancel();
    });
}

bool HttpServer::isBusy() const {
  if (State->Busy > 0 || now() - AcceptedAt < NewConnectionGrace)
    return true;
  // Once stopped, idle connections are about to be closed, or to be used for a
  // request that has arrived.
  std::lock_guard lock(State->Lock);
  return !Acceptor.is_open() && !State->Idle.empty();
}

void HttpServer::serveNext(Worker &worker, tcp::socket socket) {
  AcceptedAt = now();
  auto session = std::make_shared<Session>(
      Session{beast::tcp_stream(std::move(socket)), {}, false});
  asio::co_spawn(worker.Executor,
                 serve(session, worker, OnFault, State, Limits, Budget),
                 asio::detached);
}

void HttpServer::accept() {
  Worker &worker = Workers[NextWorker++ % Workers.size()];
  Acceptor.async_accept(worker.Executor, [this, &worker](const error_code &ec,
                                                         tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec)
      serveNext(worker, std::move(socket));
    accept();
  });
}

} // namespace hickoryglade::fleet
