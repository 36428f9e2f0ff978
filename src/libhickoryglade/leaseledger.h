#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// What a lease gives its holder.
enum class LeaseKind {
  /// The right to keep an endpoint out of rotation.
  Ejection,
  /// Membership in the roster of those who keep idempotency keys.
  Keeper,
};

/// The process that holds a lease.
struct LeaseHolder {
  std::string Node;
  std::int64_t BootId = 0;

  auto operator<=>(const LeaseHolder &) const = default;
};

/// What a lease is about: an endpoint of a service, or a keeper's node.
struct LeaseSubject {
  LeaseKind Kind = LeaseKind::Ejection;
  /// Qualified service name; empty for keepers.
  std::string Service;
  std::string Name;

  auto operator<=>(const LeaseSubject &) const = default;
};

struct Lease {
  LeaseHolder Holder;
  /// Offset of the record that granted it.
  std::int64_t Since = 0;
  /// Offset of a challenge that the holder has not answered.
  std::optional<std::int64_t> ChallengedAt;

  bool operator==(const Lease &) const = default;
};

enum class LeaseAction {
  Acquire,
  /// Answers a challenge and tells late readers that the lease exists.
  Renew,
  Release,
  /// Asks the holder for a sign of life.
  Challenge,
  /// Ends a lease whose challenge has stood unanswered for a whole term.
  Evict,
};

/// A record of the leases stream.
struct LeaseRecord {
  LeaseAction Action = LeaseAction::Acquire;
  LeaseSubject Subject;
  /// Holder; for challenges and evictions, of the lease in question.
  LeaseHolder Holder;
  /// Node that wrote the record.
  std::string Author;
  /// Acquire of an ejection: healthy endpoints that the writer knows besides
  /// the subject, and how many must remain.
  std::vector<std::string> Healthy;
  int Floor = 0;
  /// Evict: offset of the challenge.
  std::int64_t ChallengedAt = 0;

  bool operator==(const LeaseRecord &) const = default;
};

/// Change of a lease, for those who watch the ledger.
struct LeaseEvent {
  LeaseSubject Subject;
  LeaseHolder Holder;
  enum class Change {
    Granted,
    Denied,
    Released,
    Evicted,
    Replaced,
    Challenged
  };
  Change What = Change::Granted;

  bool operator==(const LeaseEvent &) const = default;
};

/// All leases, folded from the stream in offset order: every reader reaches
/// the same result.
struct LeaseLedger {
  std::map<LeaseSubject, Lease> Leases;
  /// Offset of the next record to fold.
  std::int64_t Next = 0;
};

std::string encodeLease(const LeaseRecord &record);
std::optional<LeaseRecord> decodeLease(const std::string &data);

/// Folds the record at an offset; malformed ones change nothing.
std::vector<LeaseEvent> foldLease(LeaseLedger &ledger, std::int64_t offset,
                                  const std::string &data);

/// True if the subject's lease is held by just this process.
bool isHeldBy(const LeaseLedger &ledger, const LeaseSubject &subject,
              const LeaseHolder &holder);

/// Nodes that hold keeper leases, in order of their names.
std::vector<LeaseHolder> keeperRoster(const LeaseLedger &ledger);

/// The only keeper that may challenge and evict the given one: the next in
/// the order of names. Empty if there is no other.
std::string keeperSuccessor(const LeaseLedger &ledger, const std::string &node);

} // namespace hickoryglade
