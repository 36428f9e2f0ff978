#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/memberrecord.h"
#include "libhickoryglade/random.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Values are part of the protocol; of two beliefs about one version of a
/// record, the higher state wins.
enum class MemberState { Alive, Suspect, Dead };

struct MemberUpdate {
  MemberRecord Record;
  MemberState State = MemberState::Alive;

  bool operator==(const MemberUpdate &) const = default;
};

enum class GossipKind { Ping, Ack, PingRequest, Sync, Updates };

/// Hashes of a node's records by bucket, to find differences cheaply.
constexpr std::size_t SyncBuckets = 64;
using BucketHashes = std::array<std::uint64_t, SyncBuckets>;

/// A datagram of the membership protocol (SWIM with suspicion, piggybacked
/// updates and periodic anti-entropy).
struct GossipMessage {
  GossipKind Kind = GossipKind::Ping;
  std::string Sender;
  std::string SenderAddress;
  std::int64_t Sequence = 0;
  /// Member to probe, or that has answered a probe.
  std::string Target;
  std::vector<MemberUpdate> Updates;
  BucketHashes Buckets{};
  /// Version up to which the sender has the settings; 0 if it does not say.
  std::int64_t SettingsNext = 0;

  bool operator==(const GossipMessage &) const = default;
};

struct OutgoingGossip {
  std::string Address;
  GossipMessage Message;

  bool operator==(const OutgoingGossip &) const = default;
};

struct Member {
  MemberRecord Record;
  MemberState State = MemberState::Alive;
  Instant StateSince;
  /// Times that the latest belief has been passed on.
  int Transmissions = 0;
  /// True if its subject has told many members of it itself.
  bool IsBroadcast = false;
};

/// Membership as one node sees it, its own record included.
struct Membership {
  std::string Self;
  std::map<std::string, Member> Members;
  std::vector<std::string> Seeds;
  Random Rng{1};

  struct Probe {
    std::string Target;
    std::int64_t Sequence = 0;
    Instant SentAt;
    bool IsIndirect = false;
  };
  std::optional<Probe> Pending;

  /// A probe made for another member that could not reach the target.
  struct Relay {
    std::int64_t OwnSequence = 0;
    std::int64_t TheirSequence = 0;
    std::string Address;
    Instant Expiry;
  };
  std::vector<Relay> Relays;

  /// What this node says of its settings in each message.
  std::int64_t SettingsNext = 0;

  /// The latest settings that other nodes have said to have, and some of those
  /// nodes' addresses.
  struct SettingsHolders {
    std::vector<std::string> Addresses;
    std::int64_t Next = 0;
  };
  SettingsHolders NewestSettings;

  /// What others have told of an earlier process of this node.
  std::vector<DepartedRecord> DepartedBeforeRestart;

  std::vector<std::string> ProbeOrder;
  std::int64_t NextSequence = 1;
  Instant StartedAt;
  Instant NextProbe;
  Instant NextSync;
  /// Raised whenever a belief changes.
  std::int64_t Revision = 0;
};

Membership makeMembership(MemberRecord self, std::vector<std::string> seeds,
                          std::uint64_t seed, Instant now);

/// Addresses to ask as well while they are not those of known members.
void addSeeds(Membership &state, const std::vector<std::string> &addresses,
              Instant now);

/// Time of the next probe, answer or expiry that tick() has to see to.
Instant nextDue(const Membership &state);

/// Replaces the own record; its version is raised if anything changed.
void updateSelf(Membership &state, MemberRecord record);

/// Probes, suspicions and anti-entropy that are due.
std::vector<OutgoingGossip> tick(Membership &state, Instant now);

std::vector<OutgoingGossip> receive(Membership &state,
                                    const GossipMessage &message, Instant now);

/// Messages that tell several members of the latest changes at once instead
/// of waiting for the next probes.
std::vector<OutgoingGossip> broadcastSelf(Membership &state,
                                          std::size_t fanOut);

/// Members other than this node that are not known to be dead or leaving.
std::vector<const Member *> peers(const Membership &state);

/// Those of the peers that are in this node's data centre.
std::vector<const Member *> nearPeers(const Membership &state);

/// Place of this node among the members of its data centre in an order on which
/// they agree, for duties that a few of each data centre have.
std::size_t rankInDataCentre(const Membership &state);

BucketHashes bucketHashes(const Membership &state);

std::string_view toString(MemberState state);

} // namespace hickoryglade
