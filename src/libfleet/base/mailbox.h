#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/base/clock.h"

#include <deque>
#include <optional>

namespace hickoryglade::fleet {

/// A queue of events for one waiting coroutine. Not thread-safe.
template <typename Event> class Mailbox {
public:
  explicit Mailbox(const asio::any_io_executor &ex) : Timer(ex) {}

  void put(Event event) {
    Events.push_back(std::move(event));
    Timer.cancel();
  }

  /// Waits for the next event; returns nothing if none arrives in time.
  asio::awaitable<std::optional<Event>> next(Instant until) {
    while (Events.empty() && now() < until) {
      error_code ec;
      Timer.expires_at(toSteady(until));
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (Events.empty())
      co_return std::nullopt;
    Event event = std::move(Events.front());
    Events.pop_front();
    co_return event;
  }

private:
  asio::steady_timer Timer;
  std::deque<Event> Events;
};

} // namespace hickoryglade::fleet
