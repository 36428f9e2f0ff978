#include "libhickoryglade/membership.h"

#include <catch2/catch.hpp>

#include <functional>
#include <queue>

using namespace hickoryglade;
using std::chrono::milliseconds;

namespace {

constexpr Micros Step = milliseconds(10);

/// Members that exchange datagrams over a network with injectable faults.
struct TestNetwork {
  std::map<std::string, Membership> Nodes;
  std::function<bool(const std::string &, const std::string &)> IsCut =
      [](const std::string &, const std::string &) { return false; };
  Instant Now{milliseconds(1'000)};
  std::size_t Messages = 0;

  void add(const std::string &name, std::int64_t boot = 1) {
    MemberRecord record;
    record.Node = name;
    record.BootId = boot;
    record.Version = 1;
    record.FleetAddress = name;
    Nodes.insert_or_assign(
        name, makeMembership(record, {"a"}, Nodes.size() + 1, Now));
  }

  void deliver(const std::string &from,
               const std::vector<OutgoingGossip> &messages) {
    for (const OutgoingGossip &it : messages) {
      ++Messages;
      auto to = Nodes.find(it.Address);
      if (to != Nodes.end() && !IsCut(from, it.Address))
        deliver(it.Address, receive(to->second, it.Message, Now));
    }
  }

  void run(Micros time) {
    for (Instant end = Now + time; Now < end; Now += Step) {
      std::vector<std::string> names;
      for (auto &[name, node] : Nodes)
        names.push_back(name);
      for (const std::string &name : names)
        deliver(name, tick(Nodes.at(name), Now));
    }
  }

  MemberState stateOf(const std::string &at, const std::string &of) {
    return Nodes.at(at).Members.at(of).State;
  }
};

TestNetwork fleetOf(int n) {
  TestNetwork net;
  for (int i = 0; i < n; ++i)
    net.add(std::string(1, char('a' + i)));
  net.run(std::chrono::seconds(15));
  return net;
}

} // namespace

TEST_CASE("nodes with one common seed discover each other") {
  TestNetwork net = fleetOf(8);
  for (const auto &[name, node] : net.Nodes)
    CHECK(peers(node).size() == 7);
}

TEST_CASE("a crashed node becomes dead and is alive again after a restart") {
  TestNetwork net = fleetOf(6);
  net.Nodes.erase("f");
  net.run(std::chrono::seconds(15));
  CHECK(net.stateOf("b", "f") == MemberState::Dead);
  net.add("f", 2);
  net.run(std::chrono::seconds(15));
  CHECK(net.stateOf("b", "f") == MemberState::Alive);
}

TEST_CASE("a one-way link failure makes neither node dead") {
  TestNetwork net = fleetOf(6);
  net.IsCut = [](const std::string &from, const std::string &to) {
    return from == "b" && to == "c";
  };
  net.run(std::chrono::seconds(30));
  for (const char *at : {"a", "b", "c", "d"})
    for (const char *of : {"b", "c"})
      CHECK(net.stateOf(at, of) != MemberState::Dead);
}

TEST_CASE("a change reaches all members within 5 s") {
  TestNetwork net = fleetOf(16);
  MemberRecord record = net.Nodes.at("c").Members.at("c").Record;
  record.SettingsNext = 42;
  updateSelf(net.Nodes.at("c"), record);
  net.run(std::chrono::seconds(5));
  for (auto &[name, node] : net.Nodes)
    CHECK(node.Members.at("c").Record.SettingsNext == 42);
}

TEST_CASE("members find each other again after a network partition") {
  TestNetwork net = fleetOf(6);
  net.IsCut = [](const std::string &from, const std::string &to) {
    return (from < "d") != (to < "d");
  };
  net.run(std::chrono::seconds(30));
  REQUIRE(net.stateOf("a", "e") == MemberState::Dead);
  net.IsCut = [](const std::string &, const std::string &) { return false; };
  net.run(std::chrono::seconds(30));
  for (const auto &[name, node] : net.Nodes)
    CHECK(peers(node).size() == 5);
}

TEST_CASE("a node that resumes after a pause becomes alive again") {
  TestNetwork net = fleetOf(6);
  Membership paused = net.Nodes.at("e");
  net.Nodes.erase("e");
  net.run(std::chrono::seconds(20));
  REQUIRE(net.stateOf("a", "e") == MemberState::Dead);
  net.Nodes.emplace("e", paused);
  net.run(std::chrono::seconds(15));
  CHECK(net.stateOf("a", "e") == MemberState::Alive);
}
