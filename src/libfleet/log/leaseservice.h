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

/// This node's part in the lease ledger, on the control thread. Reads the
/// ledger's stream, acquires and renews this node's leases, and challenges the
/// leases of dead nodes.
class LeaseService {
public:
  struct Events {
    /// Called when the ledger or the end of an own lease has changed.
    std::function<void()> OnChange;
    std::function<std::vector<LedgerMember>()> Members;
    /// Fills in the floor of a service and its healthy endpoints other than the
    /// given one.
    std::function<LeaseRecord(const LeaseSubject &)> MakeEjectionRecord;
    /// Requests a voucher from this keeper's successor: its promise not to
    /// challenge the lease for a while.
    std::function<asio::awaitable<bool>(std::string node)> RequestVoucher;
  };

  LeaseService(asio::io_context &io, std::string logAddress, std::string stream,
               LeaseHolder self, Metrics &metrics, Events events);

  void start();

  const LeaseAgent &agent() const { return Agent; }

  /// Starts to acquire an ejection lease, or releases it.
  void updateEjectionLease(const LeaseSubject &subject, bool isWanted);

  /// Ends of the ejection leases held, by endpoint.
  std::map<std::string, Instant> ejections() const;

  std::optional<Instant> keeperLeaseEnd() const;

  /// Keepers that released their lease when they left.
  const std::vector<LeaseHolder> &handedOn() const { return HandedOn; }

  /// Handles a keeper's request for a voucher. Returns whether this node gives
  /// it.
  bool vouch(const LeaseHolder &keeper);

  /// Releases the keeper lease. Returns true once the log has the record, false
  /// if it does not within the limit.
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
