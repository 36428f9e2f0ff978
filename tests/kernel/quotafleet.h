#pragma once

#include "libhickoryglade/quota/quotabucket.h"
#include "libhickoryglade/quota/quotalease.h"
#include "libhickoryglade/quota/quotaowners.h"
#include "libhickoryglade/random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace hickoryglade {

/// Entries and owners of a fleet whose messages pass through an event queue.
/// Views, links and settings of the nodes change by the functions that a test
/// sets.
class QuotaFleet {
public:
  QuotaFleet(std::size_t nodes, std::uint64_t seed);

  static std::string nameOf(std::size_t node);
  std::size_t ownerOf(const std::string &workspace, std::size_t rank = 0) const;

  /// State of a node as another one sees it.
  enum class Seen { Alive, Suspect, Leaving, Gone };
  std::function<Seen(std::size_t viewer, std::size_t node, Instant)> View;
  /// True if a message sent now arrives.
  std::function<bool(std::size_t from, std::size_t to, Instant)> Link;
  std::function<Micros(std::size_t from, std::size_t to)> Delay;
  std::function<bool(std::size_t node, Instant)> IsUp;
  /// True if other nodes notice at once that a node's process has ended.
  bool AreEndsNoticed = false;
  std::function<Quota(std::size_t node, const std::string &workspace, Instant)>
      Settings;

  /// Sends requests with exponential intervals to random nodes that are up.
  void send(const std::string &workspace, double perSecond, Instant from,
            Instant to);
  /// As send(), but only those requests that a bucket admits.
  void sendWithin(const std::string &workspace, double perSecond, Quota quota,
                  Instant from, Instant to);
  void at(Instant time, std::function<void()> action);
  /// Forgets all that a node knows.
  void restart(std::size_t node, Instant now);
  void run(Instant end);

  struct Request {
    Instant At;
    Instant DecidedAt;
    std::size_t Node;
    bool IsAdmitted;
  };
  std::map<std::string, std::vector<Request>> Requests;
  std::size_t Messages = 0;
  std::size_t buckets() const;
  std::size_t leases() const;
  Random Rng;

private:
  struct Waiter {
    Instant At;
    std::uint64_t Id;
  };
  struct Entry {
    QuotaLease Lease;
    std::deque<Waiter> Waiting;
    bool IsAsking = false;
    std::uint64_t Ask = 0;
  };
  struct Node {
    std::vector<Seen> Known;
    std::vector<QuotaNode> View;
    std::map<std::string, std::vector<QuotaNode>> Ranked;
    FleetPresence Presence;
    QuotaBuckets Buckets;
    std::map<std::string, std::shared_ptr<Entry>> Entries;
    std::map<std::string, QuotaPath> Paths;
    std::int64_t BootId = 1;
    Instant StartedAt;
  };
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &other) const {
      return std::pair(other.At, other.Order) < std::pair(At, Order);
    }
  };

  void updateView(std::size_t node);
  const std::vector<QuotaNode> &rankedBy(std::size_t node,
                                         const std::string &workspace);
  void tick();
  void arrive(const std::string &workspace, std::size_t node);
  void serve(std::size_t node, const std::string &workspace, std::size_t step,
             Instant startedAt);
  void take(std::size_t node, const std::string &workspace, std::size_t step,
            Instant startedAt, Instant askedAt, const QuotaLender &from,
            std::optional<QuotaGrant> grant);
  void decide(std::size_t node, const std::string &workspace,
              const Waiter &waiter, bool isAdmitted);
  bool alone(std::size_t node, const std::string &workspace, Entry &entry);
  double draw();

  std::vector<Node> Nodes;
  std::map<std::string, std::size_t> Indices;
  std::priority_queue<Event> Events;
  int Ticks = 0;
  std::uint64_t Order = 0;
  Instant Now;
};

} // namespace hickoryglade
