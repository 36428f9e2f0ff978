#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/log/logclient.h"
#include "libhickoryglade/leasepolicy.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

class Metrics;

/// Takes part in the lease ledger on the control thread: follows the stream,
/// holds this node's leases, challenges those of the dead.
class LeaseService {
public:
  struct Events {
    /// The ledger, or the time until which own leases hold, has changed.
    std::function<void()> OnChange;
    std::function<std::vector<LedgerMember>()> Members;
    /// Healthy endpoints of a service besides the given one, and its floor.
    std::function<LeaseRecord(const LeaseSubject &)> DescribeEjection;
    /// Asks the successor for a promise.
    std::function<asio::awaitable<bool>(std::string node)> RequestVoucher;
  };

  LeaseService(asio::io_context &io, std::string logAddress, std::string stream,
               LeaseHolder self, Metrics &metrics, Events events);

  void start();

  const LeaseAgent &agent() const { return Agent; }

  /// Asks for an ejection lease, or gives it back.
  void updateEjectionLease(const LeaseSubject &subject, bool isWanted);

  /// Ends of the ejection leases held, by endpoint.
  std::map<std::string, Instant> ejections() const;

  std::optional<Instant> keeperLeaseEnd() const;

  /// Keepers that have left in order.
  const std::vector<LeaseHolder> &handedOn() const { return HandedOn; }

  /// Answers a keeper that asks this node for a promise.
  bool vouch(const LeaseHolder &keeper);

  /// Gives the keeper lease back; ends once the log has taken that, or the
  /// limit has passed.
  asio::awaitable<bool> resign(Millis limit);

private:
  asio::awaitable<void> follow();
  asio::awaitable<void> maintainLeases();
  asio::awaitable<void> renewVoucher();
  asio::awaitable<bool> append(LeaseRecord record);
  asio::awaitable<void> pause(Millis wait);
  std::vector<LeaseRecord> dueRecords();
  std::vector<LeaseSubject> ejectionsToRelease();
  LeaseRecord ownRecord(LeaseAction action, const LeaseSubject &subject) const;

  asio::io_context &Io;
  LogClient Reader;
  LogClient Writer;
  Metrics &Counters;
  Events Handlers;
  LeaseAgent Agent;
  LeaseSubject Keeper;
  std::map<LeaseSubject, Instant> WantedEjections;
  std::vector<LeaseHolder> HandedOn;
  Instant KeeperRequestedAt;
  bool HasReachedTail = false;
  bool IsResigned = false;
};

} // namespace hickoryglade::fleet
