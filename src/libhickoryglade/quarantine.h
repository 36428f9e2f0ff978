#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Crashes of endpoints that ran a request's content. Each node counts the
/// crashes that it has seen; the rules use the sum.
struct CrashRecord {
  std::map<std::string, int> ByNode;
  Instant Expiry;

  bool operator==(const CrashRecord &) const = default;

  int total() const;
};

enum class QuarantineRule { Free, Serialized, Refused };

/// Request contents that have crashed endpoints, by fingerprint.
struct Quarantine {
  std::map<std::uint64_t, CrashRecord> Records;
  /// Fingerprints that an operator has released.
  std::vector<std::uint64_t> Released;
};

/// Number of crashes from which a content is refused.
constexpr int CrashesToRefuse = 2;

/// Rule for a content. The sender may know of more crashes than this node does.
QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now, int knownCrashes = 0);

void noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               const std::string &node, Instant expiry);

/// Merges a record from another node: the higher count of each node and the
/// later expiry apply. Returns true if a count increased.
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
