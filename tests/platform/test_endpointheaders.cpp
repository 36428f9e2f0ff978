#include "libfleet/http/endpointheaders.h"
#include "platform/dialect.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using namespace hickoryglade::fleet;

namespace {

EndpointHeaders read(std::vector<HttpHeader> head, int status = 200) {
  static const HttpDialect dialect = platform::makeDialect();
  return readEndpointHeaders(dialect, status, head);
}

} // namespace

TEST_CASE("a limit is a decimal number of requests per second") {
  for (auto [text, limit] : std::vector<std::pair<std::string, double>>{
           {"0", 0}, {"2.5", 2.5}, {" 14 ", 14}, {"0.125", 0.125}}) {
    EndpointHeaders headers = read({{"server-limit", text}});
    CHECK(headers.Notice == EndpointNotice{limit, false, false});
    CHECK(headers.BadLimit.empty());
  }
}

TEST_CASE("a value that is not a limit changes nothing") {
  for (const char *text :
       {"", "-1", "+1", "nan", "inf", "1e300", "1,5", "2 per second", "1.2.3",
        ".", "0x10", "100000000000000000000000000000000000000000"}) {
    EndpointHeaders headers = read({{"Server-Limit", text}});
    CHECK_FALSE(headers.Notice.Limit);
    CHECK(headers.Notice.IsLimitUnknown);
    CHECK_FALSE(headers.BadLimit.empty());
  }
}

TEST_CASE("a repeated limit counts if its values agree") {
  CHECK(read({{"Server-Limit", "2"}, {"Server-Limit", "2"}}).Notice.Limit == 2);
  EndpointHeaders headers =
      read({{"Server-Limit", "2"}, {"Server-Limit", "3"}});
  CHECK(headers.Notice.IsLimitUnknown);
  CHECK(headers.BadLimit == "several values");
}

TEST_CASE("an answer without a limit ends it, an error page does not") {
  CHECK(read({}) == EndpointHeaders{});
  CHECK(read({}, 404) == EndpointHeaders{});
  CHECK(read({}, 500).Notice.IsLimitUnknown);
  CHECK(read({{"Server-Limit", "2"}}, 503).Notice.Limit == 2);
}

TEST_CASE("an endpoint that leaves says so by one value") {
  CHECK(read({{"Server-Leaving", "1"}}).Notice.IsLeaving);
  CHECK_FALSE(read({{"Server-Leaving", "0"}}).Notice.IsLeaving);
  CHECK_FALSE(read({}).Notice.IsLeaving);
}
