#include "libhickoryglade/routetable.h"
#include "libhickoryglade/settingslog.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using nlohmann::json;

namespace {

std::string change(const std::string &id, const std::string &path,
                   std::int64_t base, json value) {
  return encodeChange({id, path, base, std::move(value), "test", 0});
}

ChangeOutcome outcome(const FoldResult &result) {
  REQUIRE(result.Verdict);
  return result.Verdict->Outcome;
}

} // namespace

TEST_CASE("settings are inherited and overridden along the path") {
  SettingsState state;
  foldRecord(state, 0, change("1", "/", 0, {{"timeout_ms", 5000}}));
  foldRecord(state, 1, change("2", "/w/s", 0, {{"floor", 3}}));
  foldRecord(state, 2,
             change("3", "/w/s/r", 0, {{"host", "h"}, {"timeout_ms", 100}}));
  CHECK(policyAt(state.Tree, "/w/s").Timeout == Millis(5000));
  CHECK(policyAt(state.Tree, "/w/s/r").Timeout == Millis(100));
  CHECK(policyAt(state.Tree, "/w/s/r").Floor == 3);
  auto values = effectiveValues(state.Tree, "/w/s/r");
  auto floor = std::ranges::find(values, "floor", &EffectiveValue::Key);
  REQUIRE(floor != values.end());
  CHECK(floor->From == "/w/s");
}

TEST_CASE("of two changes with the same base, the second is a conflict") {
  SettingsState state;
  CHECK(outcome(foldRecord(state, 0, change("a", "/", 0, {{"floor", 1}}))) ==
        ChangeOutcome::Accepted);
  FoldResult second = foldRecord(state, 1, change("b", "/", 0, {{"floor", 2}}));
  CHECK(outcome(second) == ChangeOutcome::Conflict);
  CHECK(second.Verdict->Revision == 1);
  CHECK(policyAt(state.Tree, "/").Floor == 1);
}

TEST_CASE("a change appended twice after a lost reply is applied once") {
  SettingsState state;
  std::string record = change("a", "/", 0, {{"floor", 1}});
  foldRecord(state, 0, record);
  foldRecord(state, 1, change("b", "/", 1, {{"floor", 2}}));
  FoldResult copy = foldRecord(state, 2, record);
  CHECK(outcome(copy) == ChangeOutcome::Accepted);
  CHECK(copy.Verdict->Revision == 1);
  CHECK(policyAt(state.Tree, "/").Floor == 2);
}

TEST_CASE(
    "a change with invalid values reports all faults and is not applied") {
  SettingsState state;
  FoldResult result = foldRecord(
      state, 0,
      change("a", "/w/s", 0,
             {{"floor", -1}, {"router", "farthest"}, {"colour", 1}}));
  CHECK(outcome(result) == ChangeOutcome::Invalid);
  CHECK(result.Verdict->Faults.size() == 3);
  CHECK(state.Tree.Nodes.empty());
}

TEST_CASE("malformed settings records are skipped") {
  SettingsState state;
  for (const char *bytes :
       {"", "{", "[]", "{\"type\":\"change\"}", "\xff\xfe",
        R"({"type":"change","path":"/","id":7,"base":0,"value":{}})",
        R"({"type":"refresh","path":"/","value":{},"revision":99,"as_of":0})"})
    CHECK(!foldRecord(state, state.Next, bytes).Rejected.empty());
  CHECK(state.Tree.Nodes.empty());
  CHECK(state.Next == 7);
}

TEST_CASE("a refresh keeps its revision and does not replace a newer value") {
  SettingsState state;
  foldRecord(state, 0, change("a", "/", 0, {{"floor", 1}}));
  auto due = dueRefresh(state, {1, 0});
  REQUIRE(due);
  CHECK(due->Revision == 1);
  std::string record = encodeRefresh(*due);
  foldRecord(state, 1, change("b", "/", 1, {{"floor", 2}}));
  foldRecord(state, 2, record);
  CHECK(policyAt(state.Tree, "/").Floor == 2);
  CHECK(revisionOf(state.Tree, "/") == 2);
}

TEST_CASE("a refresh corrects a change that a late reader could not check") {
  SettingsState late;
  skipTo(late, 5);
  foldRecord(late, 5, change("loser", "/", 3, {{"floor", 9}}));
  CHECK(policyAt(late.Tree, "/").Floor == 9);
  foldRecord(late, 6, encodeRefresh({"/", {{"floor", 1}}, 5, 6, 0}));
  CHECK(policyAt(late.Tree, "/").Floor == 1);
  CHECK(revisionOf(late.Tree, "/") == 5);
}

TEST_CASE("merging a snapshot adds verdicts and keeps newer values") {
  SettingsState peer;
  foldRecord(peer, 0, change("a", "/", 0, {{"floor", 1}}));
  SettingsState state;
  CHECK(mergeSnapshot(state, peer));
  CHECK(state.Verdicts.contains("a"));
  CHECK(state.Next == 1);
  foldRecord(state, 1, change("b", "/", 1, {{"floor", 2}}));
  CHECK(!mergeSnapshot(state, peer));
  CHECK(policyAt(state.Tree, "/").Floor == 2);
}

TEST_CASE("routes match whole path segments, longest prefix first") {
  SettingsState state;
  foldRecord(state, 0, change("1", "/w/s/all", 0, {{"host", "h"}}));
  foldRecord(state, 1,
             change("2", "/w/t/a", 0,
                    {{"host", "h"}, {"prefix", "/a"}, {"workspace", "v"}}));
  RouteTable table(state.Tree);
  REQUIRE(table.size() == 2);
  CHECK(table.find("h:80", "/a/b")->Service == "w/t");
  CHECK(table.find("h", "/a?x=1")->Workspace == "v");
  CHECK(table.find("h", "/ab")->Service == "w/s");
  CHECK(table.find("other", "/") == nullptr);
}
