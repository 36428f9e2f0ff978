#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Crashes that a request's content has been present at. Each node counts
/// those that it has seen; the sum is what counts.
struct CrashRecord {
  std::map<std::string, int> ByNode;
  Instant Expiry;

  bool operator==(const CrashRecord &) const = default;

  int total() const;
};

enum class QuarantineRule { Free, Serialized, Refused };

/// Contents that crash the endpoints that run them, by fingerprint.
struct Quarantine {
  std::map<std::uint64_t, CrashRecord> Records;
  /// Fingerprints that an operator has released.
  std::vector<std::uint64_t> Released;
};

/// Crashes after which a content no longer runs.
constexpr int CrashesToRefuse = 2;

/// The rule for a content; its sender may know of more crashes than this
/// node does.
QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now, int knownCrashes = 0);

void noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               const std::string &node, Instant expiry);

/// Takes a record from another node: higher counts and later expiry win.
bool mergeCrash(Quarantine &quarantine, std::uint64_t fingerprint,
                const CrashRecord &record);

/// Drops records whose time is over.
void expireCrashes(Quarantine &quarantine, Instant now);

/// Time until a content may run again.
Micros remainingQuarantine(const Quarantine &quarantine,
                           std::uint64_t fingerprint, Instant now);

/// Form in which logs, reports and settings write a fingerprint.
std::string fingerprintName(std::uint64_t fingerprint);

/// Reads that form; returns 0 for anything else.
std::uint64_t parseFingerprint(const std::string &name);

} // namespace hickoryglade
