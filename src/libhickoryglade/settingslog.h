#pragma once

#include "libhickoryglade/settingsschema.h"
#include "libhickoryglade/settingstree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// An operator's change, as it stands in the log.
struct SettingsChange {
  /// Unique id; a second record with the same id changes nothing.
  std::string Id;
  std::string Path;
  /// Revision of the path that the operator saw.
  std::int64_t Base = 0;
  /// Null removes the node.
  nlohmann::json Value;
  std::string Author;
  /// When the record was written, by the writer's wall clock in milliseconds.
  /// Only a hint for refreshing; no verdict depends on it.
  std::int64_t AtMs = 0;

  bool operator==(const SettingsChange &) const = default;
};

/// A node's value still in force, appended anew before its record expires.
struct SettingsRefresh {
  std::string Path;
  nlohmann::json Value;
  /// Original revision, so that nothing goes back.
  std::int64_t Revision = 0;
  /// Offset up to which the writer had read when it made the record.
  std::int64_t AsOf = 0;
  /// As in SettingsChange.
  std::int64_t AtMs = 0;

  bool operator==(const SettingsRefresh &) const = default;
};

enum class ChangeOutcome { Accepted, Conflict, Invalid, Duplicate };

/// What became of a change; every reader reaches the same verdict.
struct ChangeVerdict {
  std::string Id;
  std::string Path;
  ChangeOutcome Outcome = ChangeOutcome::Accepted;
  /// Revision in force at the path after the change was judged.
  std::int64_t Revision = 0;
  std::vector<SettingsFault> Faults;

  bool operator==(const ChangeVerdict &) const = default;
};

/// Where and when a path's newest record was written.
struct RecordPosition {
  std::int64_t Offset = 0;
  std::int64_t AtMs = 0;

  bool operator==(const RecordPosition &) const = default;
};

/// Result of folding the settings stream up to an offset.
struct SettingsState {
  SettingsTree Tree;
  /// Offset of the next record to fold.
  std::int64_t Next = 0;
  /// Each path's newest record, for refreshing.
  std::map<std::string, RecordPosition> LastWritten;
  /// Paths whose change was accepted without knowledge of its base.
  std::map<std::string, std::int64_t> Provisional;
  /// Verdicts by change id, oldest dropped first.
  std::map<std::string, ChangeVerdict> Verdicts;
  std::vector<std::string> VerdictOrder;
  /// True if records before the first folded one had expired.
  bool StartedLate = false;
};

/// Result of folding one record.
struct FoldResult {
  std::optional<ChangeVerdict> Verdict;
  /// Reason why the record was passed over; empty if it was well formed.
  std::string Rejected;
  bool IsTreeChanged = false;
};

std::string encodeChange(const SettingsChange &change);
std::string encodeRefresh(const SettingsRefresh &refresh);

/// Folds the record at an offset. Records must come in offset order; an
/// offset below state.Next is ignored.
FoldResult foldRecord(SettingsState &state, std::int64_t offset,
                      const std::string &data);

/// Takes a peer's state: per path, the higher revision wins.
bool mergeSnapshot(SettingsState &state, const SettingsState &peer);

/// A whole tree of settings, published at once under a rising version.
struct SettingsDocument {
  std::int64_t Version = 0;
  /// Own values by path.
  std::map<std::string, nlohmann::json> Values;

  bool operator==(const SettingsDocument &) const = default;
};

/// Faults that make a document unusable as a whole.
std::vector<SettingsFault> checkDocument(const SettingsDocument &document);

/// Takes a peer's tree in place of the own if it comes from a later document.
/// Returns true if it did.
bool adoptSnapshot(SettingsState &state, const SettingsState &peer);

/// Puts a checked document in the place of the tree. Returns false, and changes
/// nothing, if its version is not above the one in force.
bool replaceTree(SettingsState &state, const SettingsDocument &document);

/// Marks that records below an offset are no longer kept.
void skipTo(SettingsState &state, std::int64_t first);

/// The value that most needs to be written again because its newest record
/// is below the given place in offset or in time, if any.
std::optional<SettingsRefresh> dueRefresh(const SettingsState &state,
                                          const RecordPosition &oldestSafe);

std::string_view toString(ChangeOutcome outcome);

} // namespace hickoryglade
