#include "soak/clients.h"

#include "libfleet/base/address.h"
#include "libfleet/base/asio.h"
#include "libfleet/base/clock.h"
#include "soak/routes.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace hickoryglade::soak {

using namespace fleet;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::int64_t ClientTimeMs = 2'500;
/// Clients wait this much longer than the time that they state.
constexpr Millis Patience{1'000};
constexpr std::int64_t LongWorkMs = 1'750;
/// Of clients of the service of long runs.
constexpr std::int64_t LongClientTimeMs = 9'500;
/// Its random numbers differ from those of all other traffic.
constexpr std::uint64_t LongTrafficSeed = 500;

std::int64_t wallMs() { return wallMicros() / 1'000; }

struct Connection {
  explicit Connection(const asio::any_io_executor &ex) : Stream(ex) {}

  bool isClosed() {
    error_code ec;
    char byte = 0;
    Stream.socket().non_blocking(true, ec);
    Stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            ec);
    return ec != asio::error::would_block;
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// All that is drawn for one request.
struct Draw {
  std::string Id;
  RouteSpec Route;
  std::int64_t WorkMs = 0;
  int Calls = 0;
  bool IsPooled = false;
  std::int64_t TimeMs = ClientTimeMs;
};

/// One kind of traffic to a node.
struct Traffic {
  /// Requests in a second.
  double Rate = 0;
  std::string IdPrefix;
  std::function<Draw(std::mt19937_64 &)> DrawNext = nullptr;
};

Draw drawNext(std::mt19937_64 &rng) {
  std::uniform_real_distribution<double> unit(0, 1);
  Draw draw;
  bool isOrder = unit(rng) < 0.2;
  bool isLong = unit(rng) < 1.0 / 6;
  double work = unit(rng);
  bool doesCall = unit(rng) < 0.7;
  draw.IsPooled = unit(rng) < 0.5;
  draw.Route = isOrder ? Order : Look;
  draw.WorkMs =
      isLong && !isOrder ? LongWorkMs : 130 + std::int64_t(470 * work);
  draw.Calls = doesCall && !isOrder ? 2 : 0;
  return draw;
}

Draw drawLong(std::mt19937_64 &rng, double outlastOdds) {
  std::uniform_real_distribution<double> unit(0, 1);
  Draw draw;
  double kind = unit(rng);
  bool isPastAnyStop = unit(rng) < outlastOdds;
  bool isNearGrace = unit(rng) < 0.5;
  double work = unit(rng);
  draw.IsPooled = unit(rng) < 0.5;
  draw.Route = kind < 0.4 ? Archive : kind < 0.75 ? Scan : Import;
  draw.WorkMs = isPastAnyStop ? 7'000 + std::int64_t(1'000 * work)
                : isNearGrace ? 5'000 + std::int64_t(1'000 * work)
                              : 3'000 + std::int64_t(2'000 * work);
  draw.TimeMs = LongClientTimeMs;
  return draw;
}

class Clients {
public:
  explicit Clients(asio::io_context &io) : Io(io) {}

  asio::awaitable<void> arrive(Traffic traffic, ClientTarget target,
                               std::uint64_t seed, int seconds) {
    std::mt19937_64 rng(seed);
    std::exponential_distribution<double> gap(traffic.Rate / 1'000);
    asio::steady_timer timer(Io);
    auto at = std::chrono::steady_clock::now();
    auto end = at + std::chrono::seconds(seconds);
    for (int number = 0; at < end; ++number) {
      at += std::chrono::microseconds(std::int64_t(gap(rng) * 1'000));
      Draw draw = traffic.DrawNext(rng);
      draw.Id = target.Node + "-" + traffic.IdPrefix + std::to_string(number);
      timer.expires_at(at);
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(Io, exchange(target, draw), asio::detached);
    }
  }

  std::vector<Request> Done;

private:
  asio::awaitable<ConnectionPtr> connect(ClientTarget target, bool isPooled) {
    auto &pool = Pools[target.Node];
    while (isPooled && !pool.empty()) {
      ConnectionPtr kept = pool.front();
      pool.pop_front();
      if (!kept->isClosed())
        co_return kept;
    }
    auto fresh = std::make_shared<Connection>(Io.get_executor());
    auto address = parseAddress(target.Address);
    fresh->Stream.expires_after(Millis(1'000));
    error_code ec;
    co_await fresh->Stream.async_connect(
        tcp::endpoint(asio::ip::make_address(address->Ip), address->Port),
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      co_return nullptr;
    fresh->Stream.socket().set_option(tcp::no_delay(true), ec);
    co_return fresh;
  }

  asio::awaitable<void> exchange(ClientTarget target, Draw draw) {
    ConnectionPtr connection = co_await connect(target, draw.IsPooled);
    if (!connection)
      co_return;
    http::request<http::empty_body> out(
        draw.Route.IsIdempotent ? http::verb::get : http::verb::post,
        draw.Route.prefix() + "x?work=" + std::to_string(draw.WorkMs) +
            "&calls=" + std::to_string(draw.Calls),
        11);
    out.set(http::field::host, "h.example");
    out.set("Attempt-Id", draw.Id);
    out.set("Remaining-Milliseconds", std::to_string(draw.TimeMs));
    out.prepare_payload();
    Request seen{.Id = draw.Id,
                 .Node = target.Node,
                 .Route = draw.Route.Name,
                 .Service = draw.Route.Service,
                 .IsIdempotent = draw.Route.IsIdempotent,
                 .SentMs = wallMs(),
                 .TimeMs = std::min(draw.TimeMs, draw.Route.TimeoutMs),
                 .MaxAttempts = draw.Route.MaxAttempts};
    connection->Stream.expires_after(Millis(draw.TimeMs) + Patience);
    error_code ec;
    co_await http::async_write(connection->Stream, out,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
      co_return;
    http::response<http::string_body> answer;
    co_await http::async_read(connection->Stream, connection->Buffer, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
    seen.EndMs = wallMs();
    seen.Status = ec ? 0 : int(answer.result_int());
    seen.IsOwn = !ec && answer["Response-Signature"].empty();
    seen.HasClientLeft = ec == beast::error::timeout;
    Done.push_back(seen);
    if (!ec && draw.IsPooled && answer.keep_alive())
      Pools[target.Node].push_back(connection);
  }

  asio::io_context &Io;
  std::map<std::string, std::deque<ConnectionPtr>> Pools;
};

} // namespace

std::vector<Request> runClients(const ClientPlan &plan,
                                const std::vector<ClientTarget> &targets) {
  asio::io_context io{1};
  Clients clients(io);
  auto start = [&](const Traffic &traffic, std::size_t i, std::uint64_t seed) {
    asio::co_spawn(io, clients.arrive(traffic, targets[i], seed, plan.Seconds),
                   asio::detached);
  };
  for (std::size_t i = 0; i < targets.size(); ++i) {
    std::uint64_t seed = plan.Seed * 1'000 + i;
    start({plan.Rate, "", drawNext}, i, seed);
    if (plan.LongRate > 0)
      start({plan.LongRate, "l",
             [&](auto &rng) { return drawLong(rng, plan.OutlastOdds); }},
            i, seed + LongTrafficSeed);
  }
  io.run();
  return std::move(clients.Done);
}

} // namespace hickoryglade::soak
