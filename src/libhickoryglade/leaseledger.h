#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// The right that a lease grants.
enum class LeaseKind {
  /// The right to keep an endpoint out of rotation.
  Ejection,
  /// A place in the roster of keepers of idempotency keys.
  Keeper,
};

/// The process that holds a lease.
struct LeaseHolder {
  std::string Node;
  std::int64_t BootId = 0;

  auto operator<=>(const LeaseHolder &) const = default;
};

/// The object of a lease: an endpoint of a service, or the node of a keeper.
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
  /// Answers a challenge and shows the lease to readers that started late.
  Renew,
  Release,
  /// Requires the holder to renew the lease.
  Challenge,
  /// Ends a lease whose challenge has not been answered within ChallengeTerm.
  Evict,
};

/// A record of the leases stream.
struct LeaseRecord {
  LeaseAction Action = LeaseAction::Acquire;
  LeaseSubject Subject;
  /// The holder; for challenges and evictions, the holder of the challenged
  /// lease.
  LeaseHolder Holder;
  /// Node that wrote the record.
  std::string Author;
  /// Acquire of an ejection: healthy endpoints known to the author besides the
  /// subject, and the number that must remain.
  std::vector<std::string> Healthy;
  int Floor = 0;
  /// Evict: offset of the challenge.
  std::int64_t ChallengedAt = 0;

  bool operator==(const LeaseRecord &) const = default;
};

/// Change of a lease, as reported to observers of the ledger.
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

/// All leases, computed from the stream in offset order, so that every reader
/// gets the same result.
struct LeaseLedger {
  std::map<LeaseSubject, Lease> Leases;
  /// Offset of the next record to apply.
  std::int64_t Next = 0;
};

std::string encodeLease(const LeaseRecord &record);
std::optional<LeaseRecord> decodeLease(const std::string &data);

/// Applies the record at an offset. Malformed records change nothing.
std::vector<LeaseEvent> foldLease(LeaseLedger &ledger, std::int64_t offset,
                                  const std::string &data);

/// True if exactly this process holds the lease of the subject.
bool isHeldBy(const LeaseLedger &ledger, const LeaseSubject &subject,
              const LeaseHolder &holder);

/// Holders of keeper leases, ordered by node name.
std::vector<LeaseHolder> keeperRoster(const LeaseLedger &ledger);

/// The only keeper that may challenge and evict the given one: the next by node
/// name, wrapping around. Empty if there is no other keeper.
std::string keeperSuccessor(const LeaseLedger &ledger, const std::string &node);

} // namespace hickoryglade
