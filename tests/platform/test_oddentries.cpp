#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"
#include "libhickoryglade/leaseledger.h"
#include "libhickoryglade/settingslog.h"
#include "platform/configdocument.h"
#include "platform/endpointmessage.h"
#include "platform/storeclient.h"
#include "platform/storedirectory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hickoryglade;
using namespace hickoryglade::platform;
using nlohmann::json;

namespace {

constexpr std::size_t Depth = 100'000;

std::string nested(char open, char close) {
  return std::string(Depth, open) + std::string(Depth, close);
}

std::string deepObject() {
  std::string text;
  for (std::size_t i = 0; i < Depth; ++i)
    text += "{\"a\":";
  return text + "1" + std::string(Depth, '}');
}

std::vector<std::string> oddTexts() {
  return {nested('[', ']'),
          deepObject(),
          std::string(Depth, '['),
          "{\"version\":" + nested('[', ']') + "}",
          "{\"version\":1e400}",
          "{\"version\":18446744073709551615}",
          "{\"version\":99999999999999999999999}",
          "{\"kind\":\"set\",\"value\":" + deepObject() + "}",
          "{\"id\":" + nested('[', ']') + "}"};
}

fleet::EndpointMessage heartbeat(const std::string &fields) {
  fleet::HttpRequest request;
  request.Method = "POST";
  request.Target = "/rpc?call=instances.heartbeat&of=i-1";
  request.Content = std::make_shared<const std::string>("{" + fields + "}");
  return parseEndpointMessage(request);
}

std::string fields(const std::string &address, const std::string &slots,
                   const std::string &sequence, const std::string &born) {
  return R"("service":"s","state":"ready","address":")" + address +
         R"(","slots":)" + slots + R"(,"sequence":)" + sequence +
         R"(,"born":)" + born;
}

bool isUsable(const fleet::EndpointMessage &message) {
  return std::holds_alternative<Announcement>(message);
}

} // namespace

TEST_CASE("a deeply nested text or a number too large ends no process",
          "[odd-entries]") {
  for (const std::string &text : oddTexts()) {
    std::vector<SettingsFault> faults;
    CHECK_FALSE(parseConfig(text, faults));
    REQUIRE_FALSE(faults.empty());
    CHECK(faults.front().Reason.size() < 200);
    versionOf(text);
    CHECK_FALSE(decodePage(text));
    CHECK_FALSE(decodeEntry(text));
    CHECK_FALSE(decodeLease(text));
    SettingsState state;
    CHECK_FALSE(foldRecord(state, 0, text).Rejected.empty());
    CHECK_FALSE(isUsable(heartbeat(text.substr(1, text.size() - 2))));
  }
}

TEST_CASE("a heartbeat is of use only if all its fields are", "[odd-entries]") {
  std::string born = std::to_string(fleet::wallMicros() / 1'000);
  CHECK(isUsable(heartbeat(fields("10.0.0.1:1", "3", "4", born))));
  CHECK(isUsable(heartbeat(fields("10.0.0.1:65535", "3", "4", born) +
                           R"(,"more":{"a":[1,2,{"b":3}]})")));
  for (const char *address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:4294967297",
        "10.0.0.1:99999999999999999999", "10.0.0.1:", "10.0.0.1"})
    CHECK_FALSE(isUsable(heartbeat(fields(address, "3", "4", born))));
  for (const char *number :
       {"-1", "9223372036854775807", "9223372036854775808",
        "18446744073709551615", "99999999999999999999999", "1e400", "1e30"}) {
    INFO(number);
    CHECK_FALSE(isUsable(heartbeat(fields("10.0.0.1:1", number, "4", born))));
    CHECK_FALSE(isUsable(heartbeat(fields("10.0.0.1:1", "3", number, born))));
    CHECK_FALSE(isUsable(heartbeat(fields("10.0.0.1:1", "3", "4", number))));
  }
  // A start far in the future would make the real server's later heartbeats
  // look outdated.
  std::string nextYear =
      std::to_string(fleet::wallMicros() / 1'000 + 365LL * 24 * 3'600'000);
  CHECK_FALSE(isUsable(heartbeat(fields("10.0.0.1:1", "3", "4", nextYear))));
  CHECK_FALSE(isUsable(heartbeat(fields("10.0.0.1:1", "3", "4", born) +
                                 ",\"more\":" + nested('[', ']'))));
}

TEST_CASE("directory entries with a port out of range name no node",
          "[odd-entries]") {
  for (const char *entry :
       {"10.0.0.9:0 zone-a", "10.0.0.9:65536 zone-a", "10.0.0.9:-7 zone-a",
        "10.0.0.9:99999999999999999999 zone-a", "10.0.0.999:7600 zone-a"})
    CHECK_FALSE(decodeEntry(entry));
}
