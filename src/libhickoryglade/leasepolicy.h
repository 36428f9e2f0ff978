#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/leaseledger.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// A lease is in force for this long after its holder last began a read of
/// the stream that showed no unanswered challenge.
constexpr Micros LeaseTerm = std::chrono::seconds(10);

/// A challenger waits this long for an answer: longer than any lease that
/// was in force when the challenge was made can last by a clock that runs a
/// little slower.
constexpr Micros ChallengeTerm = std::chrono::seconds(15);

/// Leases are renewed this often, so that late readers learn of them.
constexpr Micros RenewPeriod = std::chrono::seconds(60);

/// A node's own part in the ledger.
struct LeaseAgent {
  LeaseHolder Self;
  Instant StartedAt;
  LeaseLedger Ledger;
  /// When the last read that succeeded began.
  std::optional<Instant> ReadAt;
  /// When the last voucher was asked for that the successor has given.
  std::optional<Instant> SuccessorPromisedAt;
  /// Challenges of our own, by subject: when the log had taken them.
  std::map<LeaseSubject, Instant> Challenges;
  /// Promises not to challenge a keeper before the given time.
  std::map<std::string, Instant> Promises;
  std::map<LeaseSubject, Instant> RenewedAt;
  /// Challenges that we have written but not yet read back.
  std::map<LeaseSubject, Instant> UnreadRecords;
};

/// Notes a read of the stream that began at a given time and has succeeded.
void noteRead(LeaseAgent &agent, Instant beganAt);

/// Notes that the successor promised not to challenge this keeper; the
/// promise was asked for at the given time.
void noteSuccessorPromise(LeaseAgent &agent, Instant askedAt);

/// Folds one record and gives what changed.
std::vector<LeaseEvent> applyLeaseRecord(LeaseAgent &agent, std::int64_t offset,
                                         const std::string &data, Instant now);

/// End of a lease of our own by our clock; nothing if it is not held.
std::optional<Instant> leaseEnd(const LeaseAgent &agent,
                                const LeaseSubject &subject);

/// Renewals that are due, and answers to challenges.
std::vector<LeaseRecord> dueRenewals(LeaseAgent &agent, Instant now);

/// A holder of which no member has been heard for this long is gone.
constexpr Micros UnknownHolderTimeout = std::chrono::seconds(60);

/// A member as far as the ledger is concerned.
struct LedgerMember {
  /// The latest process under the node's name.
  LeaseHolder Holder;
  /// Offset up to which it says that it has read the ledger.
  std::int64_t LedgerNext = 0;
  bool IsDead = false;
};

/// Challenges and evictions against holders that are dead, replaced by a
/// later process, or were never heard of.
std::vector<LeaseRecord> dueChallenges(LeaseAgent &agent,
                                       const std::vector<LedgerMember> &members,
                                       Instant now);

/// Promises not to challenge a keeper for a whole challenge term; refuses if
/// this node is not the successor or has challenged already.
bool promise(LeaseAgent &agent, const LeaseHolder &keeper, Instant now);

} // namespace hickoryglade
