#pragma once

#include "libhickoryglade/instant.h"
#include "libhickoryglade/memberrecord.h"
#include "libhickoryglade/random.h"
#include "libhickoryglade/settingsfreshness.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Values are part of the protocol. Of two updates with the same version of a
/// record, the one with the higher state wins.
enum class MemberState { Alive, Suspect, Dead };

struct MemberUpdate {
  MemberRecord Record;
  MemberState State = MemberState::Alive;

  bool operator==(const MemberUpdate &) const = default;
};

enum class GossipKind { Ping, Ack, PingRequest, Sync, Updates };

/// Hashes of the member records by bucket; two nodes compare them to find
/// differences cheaply.
constexpr std::size_t SyncBuckets = 64;
using BucketHashes = std::array<std::uint64_t, SyncBuckets>;

/// A datagram of the membership protocol (SWIM with suspicion, piggybacked
/// updates and periodic anti-entropy).
struct GossipMessage {
  GossipKind Kind = GossipKind::Ping;
  std::string Sender;
  std::string SenderAddress;
  std::int64_t Sequence = 0;
  /// Member to probe, or member that has answered a probe.
  std::string Target;
  std::vector<MemberUpdate> Updates;
  BucketHashes Buckets{};
  /// Version up to which the sender has the settings; 0 if not given.
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
  /// Number of times that the latest update has been piggybacked.
  int Transmissions = 0;
  /// True if the member has sent the latest update to many members itself.
  bool IsBroadcast = false;
};

/// One node's view of the membership, its own record included.
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

  /// A probe on behalf of another member that could not reach the target.
  struct Relay {
    std::int64_t OwnSequence = 0;
    std::int64_t TheirSequence = 0;
    std::string Address;
    Instant Expiry;
  };
  std::vector<Relay> Relays;

  /// Version of this node's settings, sent in each message.
  std::int64_t SettingsNext = 0;

  /// The latest settings version among other nodes, and the addresses of some
  /// nodes that have it.
  struct SettingsHolders {
    std::vector<std::string> Addresses;
    std::int64_t Next = 0;
  };
  SettingsHolders NewestSettings;

  /// Records that other members keep of an earlier process of this node.
  std::vector<DepartedRecord> DepartedBeforeRestart;

  std::vector<std::string> ProbeOrder;
  std::int64_t NextSequence = 1;
  Instant StartedAt;
  Instant NextProbe;
  Instant NextSync;
  /// Incremented whenever a record or state changes.
  std::int64_t Revision = 0;
};

Membership makeMembership(MemberRecord self, std::vector<std::string> seeds,
                          std::uint64_t seed, Instant now);

/// Adds addresses to contact while no known member has them.
void addSeeds(Membership &state, const std::vector<std::string> &addresses,
              Instant now);

/// Time of the next probe, timeout or expiry for which tick() must be called.
Instant nextDue(const Membership &state);

/// Replaces the own record and raises its version if anything has changed.
void updateSelf(Membership &state, MemberRecord record);

/// Runs probes, suspicion timeouts and anti-entropy that are due and returns
/// the messages to send.
std::vector<OutgoingGossip> tick(Membership &state, Instant now);

std::vector<OutgoingGossip> receive(Membership &state,
                                    const GossipMessage &message, Instant now);

/// Returns messages that send the own record to several members at once
/// instead of waiting for the next probes.
std::vector<OutgoingGossip> broadcastSelf(Membership &state,
                                          std::size_t fanOut);

/// Members other than this node that are not known to be dead or leaving.
std::vector<const Member *> peers(const Membership &state);

/// Peers in this node's data centre.
std::vector<const Member *> nearPeers(const Membership &state);

/// Rank of this node among the members of its data centre, in an order on which
/// they all agree; used to assign tasks to a few nodes of each data centre.
std::size_t rankInDataCentre(const Membership &state);

/// This node's place in the order in which members read the source of the
/// settings: first one member of each data centre, then the second ones.
ReadingPlace readingPlace(const Membership &state);

/// The first member in rank of each other data centre.
std::vector<const Member *> firstMembersElsewhere(const Membership &state);

BucketHashes bucketHashes(const Membership &state);

std::string_view toString(MemberState state);

} // namespace hickoryglade
