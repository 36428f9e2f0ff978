#include "libhickoryglade/settingsdigest.h"

#include "libhickoryglade/hash.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>

namespace hickoryglade {

namespace {

/// A digest costs 8 bytes a bucket, and one changed value the values of its
/// bucket, so that both grow with the root of the number of values at most.
constexpr std::size_t ValuesPerBucket = 8;
constexpr std::size_t MinBuckets = 64;
constexpr std::size_t MaxBuckets = 4'096;

std::size_t bucketOf(const std::string &path, std::size_t buckets) {
  return stableHash(path) % buckets;
}

std::uint64_t hashOf(const std::string &path, const SettingsNode &node) {
  return node.Hash != 0 ? node.Hash : settingsHash(path, node.Value);
}

bool isLive(const SettingsNode &node) { return !node.Value.is_null(); }

} // namespace

SettingsDigest digestOf(const SettingsTree &tree) {
  std::size_t wanted = std::bit_ceil(tree.Nodes.size() / ValuesPerBucket + 1);
  return digestOf(tree, std::clamp(wanted, MinBuckets, MaxBuckets));
}

SettingsDigest digestOf(const SettingsTree &tree, std::size_t buckets) {
  SettingsDigest digest(buckets);
  for (const auto &[path, node] : tree.Nodes)
    if (isLive(node))
      digest[bucketOf(path, buckets)] ^= hashOf(path, node);
  return digest;
}

std::uint64_t combinedHash(const SettingsDigest &digest) {
  return std::accumulate(digest.begin(), digest.end(), std::uint64_t{0},
                         std::bit_xor<>());
}

SettingsPart differingPart(const SettingsState &state,
                           const SettingsDigest &known) {
  SettingsPart part;
  part.Next = state.Next;
  SettingsDigest own =
      digestOf(state.Tree, std::max<std::size_t>(known.size(), 1));
  part.TreeHash = combinedHash(own);
  part.BucketCount = known.size();
  for (std::size_t i = 0; i < known.size(); ++i)
    if (own[i] != known[i])
      part.Buckets.insert(i);
  auto isPart = [&](const std::string &path) {
    return known.empty() || part.Buckets.contains(bucketOf(path, known.size()));
  };
  for (const auto &[path, node] : state.Tree.Nodes)
    if (isLive(node) && isPart(path))
      part.Nodes.emplace(path, node);
  return part;
}

AdoptResult adoptPart(SettingsState &state, const SettingsPart &part) {
  if (part.Next <= state.Next)
    return AdoptResult::NotNewer;
  auto isReplaced = [&](const std::string &path) {
    return part.BucketCount == 0 ||
           part.Buckets.contains(bucketOf(path, part.BucketCount));
  };
  std::uint64_t hash = 0;
  for (const auto &[path, node] : state.Tree.Nodes)
    if (isLive(node) && !isReplaced(path))
      hash ^= hashOf(path, node);
  for (const auto &[path, node] : part.Nodes)
    hash ^= hashOf(path, node);
  if (hash != part.TreeHash)
    return AdoptResult::Mismatch;
  for (auto &[path, node] : state.Tree.Nodes)
    if (isLive(node) && isReplaced(path) && !part.Nodes.contains(path))
      node = {nullptr, part.Next - 1, 0};
  for (const auto &[path, node] : part.Nodes) {
    SettingsNode &own = state.Tree.Nodes[path];
    if (own.Revision == 0 || own.Value != node.Value)
      own = {node.Value, node.Revision, hashOf(path, node)};
  }
  state.Next = part.Next;
  return AdoptResult::Adopted;
}

} // namespace hickoryglade
