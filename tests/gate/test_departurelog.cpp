#include "libfleet/base/clock.h"
#include "libfleet/node/departurelog.h"
#include "libfleet/reporting/metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

constexpr Millis Hour = std::chrono::hours(1);

/// What a store holds, with the calls that it was asked for.
struct StoreContent {
  DepartureList Held;
  int Adds = 0;
  /// Calls that fail before the others are answered.
  int Failing = 0;
};

class FakeStore : public DepartureStore {
public:
  explicit FakeStore(StoreContent &content) : Content(content) {}

  asio::awaitable<std::optional<std::int64_t>>
  add(std::vector<StoredDeparture> departures, Millis) override {
    ++Content.Adds;
    if (Content.Failing > 0) {
      --Content.Failing;
      co_return std::nullopt;
    }
    std::ranges::copy(departures, std::back_inserter(Content.Held.Departures));
    co_return Content.Held.Incarnation;
  }
  asio::awaitable<bool> remove(std::vector<StoredDeparture> departures,
                               Millis) override {
    std::erase_if(Content.Held.Departures, [&](const StoredDeparture &it) {
      return std::ranges::find(departures, it) != departures.end();
    });
    co_return true;
  }
  asio::awaitable<std::optional<DepartureList>> list(std::string,
                                                     Millis) override {
    co_return Content.Held;
  }

private:
  StoreContent &Content;
};

/// Runs a log with a store for a while; `act` is called once it has started.
std::vector<DepartedRecord>
runLog(StoreContent &content,
       const std::function<asio::awaitable<void>(DepartureLog &)> &act) {
  asio::io_context io{1};
  Metrics metrics;
  std::vector<DepartedRecord> restored;
  DepartureLog log(
      io.get_executor(), "n1", std::make_unique<FakeStore>(content), metrics,
      [&](std::vector<DepartedRecord> all) { restored = std::move(all); });
  log.start();
  asio::co_spawn(io, act(log), asio::detached);
  io.run_for(std::chrono::milliseconds(400));
  return restored;
}

asio::awaitable<void> doNothing(DepartureLog &) { co_return; }

StoredDeparture departure(const std::string &node, const std::string &name,
                          Millis age) {
  return {node, {name, 7}, wallMicros() / 1'000 - age.count()};
}

} // namespace

// Guards against a store that fills with the records of nodes that are gone.
TEST_CASE("old departures are removed, those of other nodes too") {
  StoreContent content;
  StoredDeparture fresh = departure("n1", "fresh", Millis(100));
  StoredDeparture other = departure("n2", "other", Millis(100'000));
  content.Held.Departures = {fresh, other, departure("n1", "old", Hour),
                             departure("n2", "abandoned", Hour)};
  std::vector<DepartedRecord> restored = runLog(content, doNothing);
  CHECK(restored == std::vector<DepartedRecord>{fresh.Departed});
  CHECK(content.Held.Departures == std::vector<StoredDeparture>{fresh, other});
}

// Guards against a write for each heartbeat of a server that drains.
TEST_CASE("a departure is stored once, also for earlier processes") {
  StoreContent content;
  std::vector<bool> done;
  auto act = [&](DepartureLog &log) -> asio::awaitable<void> {
    for (std::int64_t startedAt : {7, 7, 5}) {
      DepartedRecord departed{"e", startedAt};
      bool isDone = co_await log.record(departed, now() + Millis(300));
      done.push_back(isDone);
    }
  };
  runLog(content, act);
  CHECK(done == std::vector<bool>{true, true, true});
  CHECK(content.Adds == 1);
}

TEST_CASE("a departure is stored after failures of the store") {
  StoreContent content;
  content.Failing = 2;
  std::optional<bool> isDone;
  auto act = [&](DepartureLog &log) -> asio::awaitable<void> {
    DepartedRecord departed{"e", 7};
    isDone = co_await log.record(departed, now() + Millis(380));
  };
  runLog(content, act);
  CHECK(isDone == true);
  CHECK(content.Adds == 3);
}

// Guards against records that an older copy of the store lacks.
TEST_CASE("departures are stored again in a later incarnation of the store") {
  StoreContent content;
  content.Held.Incarnation = 1;
  auto act = [&](DepartureLog &log) -> asio::awaitable<void> {
    DepartedRecord departed{"e", 7};
    co_await log.record(departed, now() + Millis(300));
    log.noteIncarnation(1);
    content.Held = {2, {}};
    log.noteIncarnation(2);
  };
  runLog(content, act);
  REQUIRE(content.Held.Departures.size() == 1);
  CHECK(content.Held.Departures[0].Departed == DepartedRecord{"e", 7});
  CHECK(content.Adds == 2);
}
