#pragma once

#include "libfleet/base/asio.h"
#include "libhickoryglade/instant.h"

#include <functional>
#include <memory>
#include <string>

namespace hickoryglade::standins {

/// How a raw server ends a connection.
enum class Ending {
  /// Ends its own side, and reads until the peer closes.
  HalfClose,
  /// Ends its own side, and resets the connection right after that.
  HalfCloseThenReset,
  Reset,
};

/// What a raw server sends in answer to a request.
struct RawAnswer {
  /// Each "{id}" stands for the request's id.
  std::string Bytes;
  Ending End = Ending::HalfClose;
  /// Time between the answer and the end of the connection.
  Millis EndAfter{0};
};

/// Chooses the answer from the head of a request.
using RawScript = std::function<RawAnswer(const std::string &head)>;

/// A server that answers each request as soon as it has read the request's
/// head, with arbitrary bytes. Each connection carries one request. Can be
/// queried from other threads than that of its executor.
class RawServer {
public:
  /// Throws if it cannot listen.
  RawServer(fleet::asio::io_context &io, const std::string &address,
            RawScript script);

  /// Number of requests with this id that have arrived.
  int arrivals(const std::string &id) const;

  /// Bytes of bodies that have been read, on all connections.
  std::size_t bodyBytes() const;

private:
  struct State;

  static fleet::asio::awaitable<void> acceptAll(std::shared_ptr<State> state);
  static fleet::asio::awaitable<void> serve(std::shared_ptr<State> state,
                                            fleet::tcp::socket socket);

  std::shared_ptr<State> Shared;
};

} // namespace hickoryglade::standins
