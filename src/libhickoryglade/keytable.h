#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// An answer kept for resent requests.
struct KeptAnswer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::shared_ptr<const std::string> Content;
};

/// Values are part of the protocol between nodes.
enum class KeyState {
  /// The first run has not ended as far as the keeper knows.
  Running,
  /// It has ended; the answer is kept.
  Done,
  /// It has ended; the answer was too large or has been dropped.
  AnswerGone,
  /// It has ended in a way that does not tell whether the work ran.
  Unclear,
};

/// What is known of an idempotency key.
struct KeyEntry {
  /// Request that holds the key.
  std::string RequestId;
  std::uint64_t Fingerprint = 0;
  KeyState State = KeyState::Running;
  std::shared_ptr<const KeptAnswer> Answer;
  Instant Expiry;
};

/// Values are part of the protocol between nodes.
enum class KeyVerdict {
  /// The request holds the key and may run.
  Granted,
  Running,
  Done,
  AnswerGone,
  Unclear,
  /// The key belongs to a request with other content.
  Reused,
  /// This node does not keep the key, or not yet.
  NotKeeper,
  /// Records that would tell have been lost.
  Unvouched,
  /// The second copy cannot be made now.
  NoCopy,
};

/// Keys kept by one node, for itself or as the second copy.
class KeyTable {
public:
  /// Greatest answer that is kept, and all of them together.
  static constexpr std::size_t MaxAnswerBytes = 64 * 1024;
  static constexpr std::size_t MaxBytes = 8 * 1024 * 1024;

  const KeyEntry *find(const std::string &key) const;

  /// Takes a record; what is known to have ended is not undone. Returns the
  /// record in force.
  const KeyEntry &put(const std::string &key, KeyEntry entry);

  /// Frees a key whose request is known not to have run.
  void release(const std::string &key, const std::string &requestId);

  void expire(Instant now);

  std::size_t size() const { return Entries.size(); }
  const std::map<std::string, KeyEntry> &entries() const { return Entries; }

private:
  void shrink();

  std::map<std::string, KeyEntry> Entries;
  std::multimap<Instant, std::string> ByExpiry;
  std::size_t Bytes = 0;
};

/// Verdict for a request that meets an entry.
KeyVerdict evaluateKey(const KeyEntry &entry, const std::string &requestId,
                       std::uint64_t fingerprint);

} // namespace hickoryglade
