#include "libhickoryglade/settingslog.h"
#include "libhickoryglade/workspaces/keydigest.h"
#include "libhickoryglade/workspaces/workspacetable.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using nlohmann::json;

namespace {

SettingsTree treeOf(std::map<std::string, json> values) {
  SettingsState state;
  replaceTree(state, {1, std::move(values)});
  return state.Tree;
}

json workspace(const std::vector<std::string> &keys) {
  json value = {{"key_digests", json::array()},
                {"workspace_priority", 1},
                {"quota_per_second", 2.5},
                {"quota_burst", 5}};
  for (const std::string &key : keys)
    value["key_digests"].push_back(keyDigest(key));
  return value;
}

} // namespace

// Guards against requests that are accounted to another workspace.
TEST_CASE("a key names its workspace", "[workspaces]") {
  WorkspaceTable table(treeOf({{"/", json::object()},
                               {"/shared", json::object()},
                               {"/a", workspace({"k1", "k2"})},
                               {"/b", workspace({"k3"})}}));
  REQUIRE(table.findByKey("k2"));
  CHECK(*table.findByKey("k2") == Workspace{"a", 1, {2.5, 5}});
  CHECK(table.findByKey("k3")->Name == "b");
  CHECK(table.findByKey("k4") == nullptr);
  CHECK(table.findByKey("") == nullptr);
  CHECK(table.findByKey(keyDigest("k1")) == nullptr);
  CHECK(table.find("a"));
  CHECK(table.find("shared") == nullptr);
}

// Guards against one caller acting for either of two workspaces.
TEST_CASE("a key of two workspaces is not accepted", "[workspaces]") {
  SettingsTree tree = treeOf(
      {{"/a", workspace({"k1", "k2"})}, {"/b", workspace({"k2", "k3"})}});
  WorkspaceTable table(tree);
  CHECK(table.findByKey("k2") == nullptr);
  CHECK(table.findByKey("k1")->Name == "a");
  CHECK(table.findByKey("k3")->Name == "b");
  CHECK(sharedDigests(tree) == std::vector<std::pair<std::string, std::string>>{
                                   {"/b", keyDigest("k2")}});
}

// Guards against keys that remain valid after they were withdrawn.
TEST_CASE("withdrawn keys and removed workspaces are unknown", "[workspaces]") {
  SettingsState state;
  replaceTree(state,
              {1, {{"/a", workspace({"k1"})}, {"/b", workspace({"k2"})}}});
  replaceTree(state, {2, {{"/a", workspace({})}}});
  WorkspaceTable table(state.Tree);
  CHECK(table.findByKey("k1") == nullptr);
  CHECK(table.findByKey("k2") == nullptr);
  CHECK(table.find("a"));
  CHECK_FALSE(table.find("b"));
}

TEST_CASE("a workspace's priority goes before that of the route",
          "[workspaces]") {
  CHECK(combinedPriority(0, 100) < combinedPriority(1, 0));
  CHECK(combinedPriority(1, 0) < combinedPriority(1, 1));
}

TEST_CASE("keys of workspaces are checked and not inherited", "[workspaces]") {
  CHECK(checkSettingsValue("/a", workspace({"k"})).empty());
  CHECK(checkSettingsValue("/a", {{"key_digests", {"plain key"}}}).size() == 1);
  CHECK(checkSettingsValue("/a", {{"quota_per_second", -1}}).size() == 1);
  CHECK(checkSettingsValue("/a", {{"workspace_priority", 101}}).size() == 1);
  CHECK(checkSettingsValue("/", {{"quota_burst", 1}}).size() == 1);
  CHECK(checkSettingsValue("/a/s", {{"key_digests", json::array()}}).size() ==
        1);
  SettingsTree tree = treeOf({{"/a", workspace({"k"})}, {"/a/s", {}}});
  CHECK(effectiveValues(tree, "/a/s").empty());
}
