#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/leaseledger.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Validity of a lease, counted from the start of the holder's last read of the
/// stream that showed no unanswered challenge.
constexpr Micros LeaseTerm = std::chrono::seconds(10);

/// Time that a challenger waits for an answer. It exceeds LeaseTerm, so that a
/// lease in force at the challenge has ended even by a slightly slower clock.
constexpr Micros ChallengeTerm = std::chrono::seconds(15);

/// Renewal period, so that readers that start late see all leases.
constexpr Micros RenewPeriod = std::chrono::seconds(60);

/// State of a node that reads the ledger and writes lease records.
struct LeaseAgent {
  LeaseHolder Self;
  Instant StartedAt;
  LeaseLedger Ledger;
  /// Start of the last successful read.
  std::optional<Instant> ReadAt;
  /// Time of the last request for a promise that the successor has given.
  std::optional<Instant> SuccessorPromisedAt;
  /// Time at which each open challenge was read from the stream.
  std::map<LeaseSubject, Instant> Challenges;
  /// Keepers that this node has promised not to challenge, and until when.
  std::map<std::string, Instant> Promises;
  std::map<LeaseSubject, Instant> RenewedAt;
  /// Challenges and evictions that have been written but not yet read back.
  std::map<LeaseSubject, Instant> UnreadRecords;
};

/// Records a successful read of the stream that started at the given time.
void noteRead(LeaseAgent &agent, Instant startedAt);

/// Records that the successor has promised not to challenge this keeper; the
/// promise was requested at the given time.
void noteSuccessorPromise(LeaseAgent &agent, Instant requestedAt);

/// Applies one record and returns the changes.
std::vector<LeaseEvent> applyLeaseRecord(LeaseAgent &agent, std::int64_t offset,
                                         const std::string &data, Instant now);

/// End of this node's lease by its own clock; nothing if the lease is not held.
std::optional<Instant> leaseEnd(const LeaseAgent &agent,
                                const LeaseSubject &subject);

/// Returns renewals that are due and answers to challenges.
std::vector<LeaseRecord> dueRenewals(LeaseAgent &agent, Instant now);

/// A holder whose node has not become a known member within this time after the
/// start is considered gone.
constexpr Micros UnknownHolderTimeout = std::chrono::seconds(60);

/// The properties of a member that matter for leases.
struct LedgerMember {
  /// The node's latest process.
  LeaseHolder Holder;
  /// Offset up to which the node reports to have read the ledger.
  std::int64_t LedgerNext = 0;
  bool IsDead = false;
};

/// Returns challenges and evictions of holders that are dead, replaced by a
/// later process, or unknown to the membership.
std::vector<LeaseRecord> dueChallenges(LeaseAgent &agent,
                                       const std::vector<LedgerMember> &members,
                                       Instant now);

/// Promises not to challenge a keeper for ChallengeTerm. Returns false if this
/// node is not the successor or has already challenged the keeper.
bool promise(LeaseAgent &agent, const LeaseHolder &keeper, Instant now);

} // namespace hickoryglade
