#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickoryglade {

/// Crashes of endpoints that ran a request's content. A crash is evidence
/// against each content that ran there, until the content completes again.
struct CrashRecord {
  /// When each crash was noticed, by the incarnation of the endpoint, so that
  /// nodes and requests that notice the same crash count it once.
  std::map<std::string, Instant> Crashes;
  /// When the content was last known to be completed by an endpoint.
  std::optional<Instant> CompletedAt;
  Instant Expiry;

  bool operator==(const CrashRecord &) const = default;

  /// Crashes since the content was last completed.
  int unexplained() const;
};

enum class QuarantineRule { Free, Serialized, Refused };

/// Request contents that have crashed endpoints, by fingerprint.
struct Quarantine {
  std::map<std::uint64_t, CrashRecord> Records;
  /// Fingerprints that an operator has released.
  std::vector<std::uint64_t> Released;
  /// When contents were last completed here, of the most recent ones.
  std::map<std::uint64_t, Instant> Completions;
  /// The same in order of time, with entries that are out of date.
  std::deque<std::pair<Instant, std::uint64_t>> CompletionOrder;
};

/// Number of crashes from which a content is refused that is not known to have
/// ever been completed. After the first one it is serialized.
constexpr int CrashesToRefuse = 2;

/// The same for a content that has been completed before. Its copies run at
/// many endpoints, and at times at one that crashes for another reason.
constexpr int CrashesToRefuseCompleted = 3;

/// Name of a crash: an endpoint ends once in each incarnation.
std::string crashName(const std::string &endpoint,
                      const std::string &incarnation);

/// Rule for a content. The sender may know of more crashes than this node does.
QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now, int knownCrashes = 0);

/// Records a crash that was noticed at a time; returns false if it is known.
bool noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               const std::string &crash, Instant noticedAt, Instant expiry);

/// Records that an endpoint completed a content. Returns true if this changes a
/// crash record, so that other nodes have to know.
bool noteContentCompleted(Quarantine &quarantine, std::uint64_t fingerprint,
                          Instant now);

/// Merges a record from another node: all crashes, and the latest completion
/// and expiry, apply. Returns true if it changes what is known of the content.
bool mergeCrash(Quarantine &quarantine, std::uint64_t fingerprint,
                const CrashRecord &record);

/// Removes expired records.
void expireCrashes(Quarantine &quarantine, Instant now);

/// Time until a content may run again.
Micros remainingQuarantine(const Quarantine &quarantine,
                           std::uint64_t fingerprint, Instant now);

/// Hexadecimal form of a fingerprint in logs, reports and settings.
std::string fingerprintName(std::uint64_t fingerprint);

/// Parses that form; returns 0 if it is invalid.
std::uint64_t parseFingerprint(const std::string &name);

} // namespace hickoryglade
