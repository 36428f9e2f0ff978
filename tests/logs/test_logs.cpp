#include "hickorygladectl/requesttrace.h"
#include "libfleet/base/loop.h"
#include "libfleet/reporting/logbudget.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <stdexcept>

using namespace hickoryglade;
using fleet::LogBudget;

TEST_CASE("an exception thrown by a handler ends only that handler") {
  fleet::Loop loop;
  loop.start();
  fleet::asio::post(loop.Io, [] { throw std::runtime_error("a test"); });
  CHECK(loop.call([] { return 7; }) == 7);
  loop.stop();
}

TEST_CASE("lines of one event are limited and dropped lines are reported") {
  LogBudget budget;
  int written = 0;
  for (int i = 0; i < 1'000; ++i)
    written += budget.tryAcquire("route", false, 1);
  CHECK(written == 200);
  CHECK(budget.tryAcquire("problem", true, 1));
  CHECK(budget.takeDropped(1).empty());
  CHECK(budget.takeDropped(2) ==
        std::vector<LogBudget::Dropped>{{"route", 800}});
  CHECK(budget.takeDropped(3).empty());
  CHECK(budget.tryAcquire("route", false, 2));
}

TEST_CASE("failures have a higher limit") {
  LogBudget budget;
  int written = 0;
  for (int i = 0; i < 1'000; ++i)
    written += budget.tryAcquire("problem", true, 1);
  CHECK(written == 400);
}

TEST_CASE("a request's lines are found by the caller's id and sorted by time") {
  std::istringstream entry(
      "12.5 a {\"time\":\"2\",\"node\":\"a\",\"event\":\"answered\","
      "\"request\":\"r-1\",\"caller_id\":\"c\",\"status\":502}\n"
      "{\"time\":\"0\",\"node\":\"a\",\"event\":\"route\","
      "\"request\":\"r-1\",\"caller_id\":\"c\"}\n"
      "not a line\n{\"broken\n");
  std::istringstream gate(
      "{\"time\":\"1\",\"node\":\"b\",\"event\":\"endpoint_result\","
      "\"request\":\"r-1\",\"outcome\":\"broken\"}\n"
      "{\"time\":\"1\",\"node\":\"b\",\"event\":\"endpoint_result\","
      "\"request\":\"r-2\"}\n");
  ctl::RequestTrace trace("c");
  trace.read(entry);
  trace.read(gate);
  auto lines = trace.lines();
  REQUIRE(lines.size() == 3);
  CHECK(lines[0]["event"] == "route");
  CHECK(lines[1]["outcome"] == "broken");
  CHECK(lines[2]["status"] == 502);
  CHECK(ctl::formatLine(lines[1]) ==
        "1  b  endpoint_result  outcome=broken  request=r-1");
  CHECK(ctl::RequestTrace("other").lines().empty());
}
