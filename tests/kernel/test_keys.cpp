#include "libhickoryglade/keyplacement.h"
#include "libhickoryglade/keytable.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using std::chrono::seconds;

namespace {

Instant at(int s) { return Instant(seconds(s)); }

KeyEntry running(const std::string &request, std::uint64_t fingerprint = 1) {
  KeyEntry entry;
  entry.RequestId = request;
  entry.Fingerprint = fingerprint;
  entry.Expiry = at(600);
  return entry;
}

KeyEntry done(const std::string &request, std::size_t bytes) {
  KeyEntry entry = running(request);
  entry.State = KeyState::Done;
  auto answer = std::make_shared<KeptAnswer>();
  answer->Content = std::make_shared<const std::string>(bytes, 'x');
  entry.Answer = answer;
  return entry;
}

std::vector<LeaseHolder> roster(std::initializer_list<const char *> names) {
  std::vector<LeaseHolder> all;
  for (const char *name : names)
    all.push_back({name, 1});
  return all;
}

} // namespace

TEST_CASE("a key is granted to the first request and to its repeats") {
  KeyTable table;
  table.put("k", running("r1"));
  const KeyEntry &entry = table.put("k", running("r2"));
  CHECK(evaluateKey(entry, "r2", 1) == KeyVerdict::Running);
  CHECK(evaluateKey(entry, "r1", 1) == KeyVerdict::Granted);
  CHECK(evaluateKey(entry, "r1", 2) == KeyVerdict::Reused);
}

TEST_CASE("a record of an ended run does not return to running") {
  KeyTable table;
  table.put("k", running("r1"));
  table.put("k", done("r1", 10));
  const KeyEntry &entry = table.put("k", running("r1"));
  CHECK(evaluateKey(entry, "r1", 1) == KeyVerdict::Done);
  table.release("k", "r1");
  CHECK(table.find("k") != nullptr);
}

TEST_CASE("a released key may be used again, an expired one is removed") {
  KeyTable table;
  table.put("k", running("r1"));
  table.release("k", "r1");
  CHECK(table.find("k") == nullptr);
  table.put("k", running("r2"));
  table.expire(at(601));
  CHECK(table.size() == 0);
}

TEST_CASE("large answers are dropped, but the end of the run stays known") {
  KeyTable table;
  table.put("big", done("r1", KeyTable::MaxAnswerBytes + 1));
  CHECK(evaluateKey(*table.find("big"), "r2", 1) == KeyVerdict::AnswerGone);
  int n = int(KeyTable::MaxBytes / KeyTable::MaxAnswerBytes) + 2;
  for (int i = 0; i < n; ++i)
    table.put("k" + std::to_string(i), done("r", KeyTable::MaxAnswerBytes));
  CHECK(evaluateKey(*table.find("k0"), "r2", 1) == KeyVerdict::AnswerGone);
  CHECK(evaluateKey(*table.find("k" + std::to_string(n - 1)), "r2", 1) ==
        KeyVerdict::Done);
}

TEST_CASE("a removed keeper is replaced by the holder of the second copy") {
  auto all = roster({"a", "b", "c", "d", "e"});
  for (int i = 0; i < 100; ++i) {
    std::string key = "key" + std::to_string(i);
    auto before = rankKeepers(all, key);
    auto without = all;
    std::erase(without, before[0]);
    CHECK(rankKeepers(without, key)[0] == before[1]);
  }
}

TEST_CASE("lost records are detected unless their keeper handed them on") {
  auto all = roster({"a", "b", "c", "d"});
  auto ranked = rankKeepers(all, "key");
  auto rest = all;
  std::erase(rest, ranked[0]);
  std::erase(rest, ranked[1]);
  std::vector<LeaseHolder> asked{ranked[2], ranked[3]};

  KeyPlacement crashed;
  crashed.note(all, {}, at(0));
  crashed.note(rest, {}, at(10));
  CHECK(!crashed.formerKeepersToQuery("key", asked, seconds(600), at(20)));
  CHECK(crashed.formerKeepersToQuery("key", asked, seconds(600), at(700)));

  KeyPlacement left;
  left.note(all, {}, at(0));
  left.note(rest, {ranked[0]}, at(10));
  auto more = left.formerKeepersToQuery("key", asked, seconds(600), at(20));
  REQUIRE(more);
  CHECK(more->empty());
}

TEST_CASE("after two joins a former keeper is queried as well") {
  auto all = roster({"a", "b", "c", "d", "e", "f"});
  auto ranked = rankKeepers(all, "key");
  std::vector<LeaseHolder> before(ranked.begin() + 2, ranked.end());
  KeyPlacement placement;
  placement.note(before, {}, at(0));
  placement.note(all, {}, at(10));
  auto more = placement.formerKeepersToQuery("key", {ranked[0], ranked[1]},
                                             seconds(600), at(20));
  REQUIRE(more);
  REQUIRE(more->size() == 1);
  CHECK(more->front() == ranked[2]);
}

TEST_CASE("records of a restarted keeper count as lost") {
  auto all = roster({"a", "b"});
  auto restarted = all;
  restarted[0].BootId = 2;
  restarted[1].BootId = 2;
  KeyPlacement placement;
  placement.note(all, {}, at(0));
  placement.note(restarted, {}, at(5));
  CHECK(!placement.formerKeepersToQuery("key", restarted, seconds(600), at(6)));
}
