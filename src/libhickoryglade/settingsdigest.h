#pragma once

#include "libhickoryglade/settingslog.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickoryglade {

/// Hashes of the live values of a settings tree, one for each bucket of paths.
/// Two nodes compare them to find the parts of their trees that differ.
using SettingsDigest = std::vector<std::uint64_t>;

/// Digest of a tree, with a number of buckets that suits its size.
SettingsDigest digestOf(const SettingsTree &tree);
SettingsDigest digestOf(const SettingsTree &tree, std::size_t buckets);

/// Hash of a whole tree, the same for digests of any size.
std::uint64_t combinedHash(const SettingsDigest &digest);

/// The live values in some buckets of a tree of documents, or in all.
struct SettingsPart {
  /// Version of the tree that the part was taken from, plus one.
  std::int64_t Next = 0;
  /// Number of buckets of which the part has some; 0 if it has the whole tree.
  std::size_t BucketCount = 0;
  std::set<std::size_t> Buckets;
  std::map<std::string, SettingsNode> Nodes;
  /// Combined hash of the whole tree.
  std::uint64_t TreeHash = 0;

  bool operator==(const SettingsPart &) const = default;
};

/// The part of a tree that differs from one with the given digest; the whole
/// tree if the digest is empty.
SettingsPart differingPart(const SettingsState &state,
                           const SettingsDigest &known);

enum class AdoptResult {
  Adopted,
  /// The own tree is of the same or a later version.
  NotNewer,
  /// The own tree would not become the one that the part was taken from.
  Mismatch,
};

/// Replaces the buckets that the part has, so that the own tree becomes the one
/// that the part was taken from. Otherwise changes nothing.
AdoptResult adoptPart(SettingsState &state, const SettingsPart &part);

} // namespace hickoryglade
