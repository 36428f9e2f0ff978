#include "libhickoryglade/leasepolicy.h"

#include <catch2/catch.hpp>

using namespace hickoryglade;
using std::chrono::seconds;

namespace {

Instant at(int s) { return Instant(seconds(s)); }

const LeaseSubject EndpointA{LeaseKind::Ejection, "w/s", "a"};
const LeaseSubject EndpointB{LeaseKind::Ejection, "w/s", "b"};

LeaseRecord acquire(const LeaseSubject &subject, const std::string &node,
                    std::vector<std::string> healthy, int floor) {
  LeaseRecord record;
  record.Subject = subject;
  record.Holder = {node, 1};
  record.Author = node;
  record.Healthy = std::move(healthy);
  record.Floor = floor;
  return record;
}

LeaseEvent::Change fold(LeaseLedger &ledger, const LeaseRecord &record) {
  auto events = foldLease(ledger, ledger.Next, encodeLease(record));
  REQUIRE(!events.empty());
  return events.back().What;
}

LeaseRecord acquireKeeper(const std::string &node, std::int64_t boot) {
  LeaseRecord record;
  record.Subject = {LeaseKind::Keeper, "", node};
  record.Holder = {node, boot};
  record.Author = node;
  return record;
}

LeaseAgent agentOf(const std::string &node, const LeaseLedger &ledger) {
  LeaseAgent agent;
  agent.Self = {node, 1};
  agent.Ledger = ledger;
  return agent;
}

} // namespace

TEST_CASE("two nodes that eject at the same time cannot go below the floor") {
  LeaseLedger ledger;
  CHECK(fold(ledger, acquire(EndpointA, "n1", {"b", "c", "d"}, 3)) ==
        LeaseEvent::Change::Granted);
  CHECK(fold(ledger, acquire(EndpointB, "n2", {"a", "c", "d"}, 3)) ==
        LeaseEvent::Change::Denied);
}

TEST_CASE("the last healthy endpoint is never ejected") {
  LeaseLedger ledger;
  CHECK(fold(ledger, acquire(EndpointA, "n1", {}, 0)) ==
        LeaseEvent::Change::Denied);
}

TEST_CASE("the lease of a paused holder ends a term after its last read") {
  LeaseAgent agent;
  agent.Self = {"n1", 1};
  applyLeaseRecord(agent, 0, encodeLease(acquire(EndpointA, "n1", {"b"}, 1)),
                   at(0));
  noteRead(agent, at(1));
  REQUIRE(leaseEnd(agent, EndpointA));
  CHECK(*leaseEnd(agent, EndpointA) == at(1) + LeaseTerm);
  CHECK(*leaseEnd(agent, EndpointA) < at(60));
}

TEST_CASE("an eviction waits for the whole challenge term") {
  LeaseLedger ledger;
  fold(ledger, acquire(EndpointA, "dead", {"b"}, 1));
  LeaseAgent agent = agentOf("n2", ledger);
  std::vector<LedgerMember> members{{{"dead", 1}, 0, true}};
  auto due = dueChallenges(agent, members, at(0));
  REQUIRE(due.size() == 1);
  CHECK(due[0].Action == LeaseAction::Challenge);
  applyLeaseRecord(agent, 1, encodeLease(due[0]), at(1));
  CHECK(dueChallenges(agent, members, at(10)).empty());
  due = dueChallenges(agent, members, at(1) + ChallengeTerm);
  REQUIRE(due.size() == 1);
  CHECK(due[0].Action == LeaseAction::Evict);
  applyLeaseRecord(agent, 2, encodeLease(due[0]), at(17));
  CHECK(agent.Ledger.Leases.empty());
}

TEST_CASE("a renewal cancels a challenge and the eviction based on it") {
  LeaseLedger ledger;
  fold(ledger, acquire(EndpointA, "n1", {"b"}, 1));
  LeaseAgent holder = agentOf("n1", ledger);
  LeaseAgent other = agentOf("n2", ledger);
  auto challenge = dueChallenges(other, {{{"n1", 1}, 0, true}}, at(0));
  std::string bytes = encodeLease(challenge.at(0));
  applyLeaseRecord(holder, 1, bytes, at(1));
  applyLeaseRecord(other, 1, bytes, at(1));
  auto renewals = dueRenewals(holder, at(1));
  REQUIRE(renewals.size() == 1);
  applyLeaseRecord(other, 2, encodeLease(renewals[0]), at(2));
  LeaseRecord evict = challenge[0];
  evict.Action = LeaseAction::Evict;
  evict.ChallengedAt = 1;
  CHECK(applyLeaseRecord(other, 3, encodeLease(evict), at(30)).empty());
  CHECK(isHeldBy(other.Ledger, EndpointA, {"n1", 1}));
}

TEST_CASE("only its successor challenges a keeper") {
  LeaseLedger ledger;
  for (const char *node : {"k1", "k2", "k3"})
    fold(ledger, acquireKeeper(node, 1));
  std::vector<LedgerMember> members{
      {{"k1", 1}, 9, true}, {{"k2", 1}, 9}, {{"k3", 1}, 9}};
  LeaseAgent third = agentOf("k3", ledger);
  CHECK(dueChallenges(third, members, at(0)).empty());
  LeaseAgent second = agentOf("k2", ledger);
  CHECK(dueChallenges(second, members, at(0)).size() == 1);
}

TEST_CASE("a successor does not challenge after a promise or promise after a "
          "challenge") {
  LeaseLedger ledger;
  for (const char *node : {"k1", "k2"})
    fold(ledger, acquireKeeper(node, 1));
  std::vector<LedgerMember> members{{{"k1", 1}, 9, true}, {{"k2", 1}, 9}};
  LeaseAgent second = agentOf("k2", ledger);
  REQUIRE(promise(second, {"k1", 1}, at(0)));
  CHECK(dueChallenges(second, members, at(5)).empty());
  CHECK(dueChallenges(second, members, at(16)).size() == 1);
  CHECK(!promise(second, {"k1", 1}, at(17)));
}

TEST_CASE("a new successor waits until the former one has read its grant") {
  LeaseLedger ledger;
  for (const char *node : {"k1", "k3", "k2"})
    fold(ledger, acquireKeeper(node, 1));
  LeaseAgent joined = agentOf("k2", ledger);
  std::vector<LedgerMember> members{
      {{"k1", 1}, 3, true}, {{"k2", 1}, 3}, {{"k3", 1}, 2}};
  CHECK(dueChallenges(joined, members, at(0)).empty());
  members[2].LedgerNext = 3;
  CHECK(dueChallenges(joined, members, at(0)).size() == 1);
}

TEST_CASE("a holder unknown to the membership is challenged after a timeout") {
  LeaseLedger ledger;
  fold(ledger, acquire(EndpointA, "unheard", {"b"}, 1));
  LeaseAgent agent = agentOf("n2", ledger);
  agent.StartedAt = at(100);
  CHECK(dueChallenges(agent, {}, at(101)).empty());
  CHECK(dueChallenges(agent, {}, at(161)).size() == 1);
  agent.UnreadRecords.clear();
  CHECK(dueChallenges(agent, {{{"unheard", 2}, 0}}, at(101)).size() == 1);
}

TEST_CASE("a renewal shows the lease to a reader that started late") {
  LeaseLedger late;
  late.Next = 10;
  LeaseRecord renewal = acquire(EndpointA, "n1", {}, 0);
  renewal.Action = LeaseAction::Renew;
  fold(late, renewal);
  CHECK(isHeldBy(late, EndpointA, {"n1", 1}));
}

TEST_CASE("malformed lease records change nothing") {
  LeaseLedger ledger;
  for (const char *bytes : {"", "{}", "[1]", R"({"action":"acquire"})"})
    CHECK(foldLease(ledger, ledger.Next, bytes).empty());
  CHECK(ledger.Leases.empty());
  CHECK(ledger.Next == 4);
}
