#pragma once

#include "libhickoryglade/instant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// An answer stored for resent requests.
struct KeptAnswer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::shared_ptr<const std::string> Content;
};

/// Values are part of the protocol between nodes.
enum class KeyState {
  /// The keeper has not been notified of the end of the first run.
  Running,
  /// The first run has ended; its answer is stored.
  Done,
  /// The first run has ended; its answer was too large or has been dropped.
  AnswerGone,
  /// The first run has ended; whether the work was done is unknown.
  Unclear,
};

/// Record of an idempotency key.
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
  /// The key belongs to a request with different content.
  Reused,
  /// This node is not the keeper of the key, or not yet.
  NotKeeper,
  /// All copies of an earlier record may have been lost.
  Unvouched,
  /// The second copy cannot be written now.
  NoCopy,
};

/// Key records stored on one node, as the keeper's or as the second copy.
class KeyTable {
public:
  /// Limits of the size of one stored answer and of all of them together.
  static constexpr std::size_t MaxAnswerBytes = 64 * 1024;
  static constexpr std::size_t MaxBytes = 8 * 1024 * 1024;

  const KeyEntry *find(const std::string &key) const;

  /// Stores a record, unless the key belongs to another request or its run is
  /// known to have ended. Returns the record in force.
  const KeyEntry &put(const std::string &key, KeyEntry entry);

  /// Removes a key whose request is known not to have run.
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

/// Verdict on a request whose key has an entry.
KeyVerdict evaluateKey(const KeyEntry &entry, const std::string &requestId,
                       std::uint64_t fingerprint);

} // namespace hickoryglade
