#pragma once

#include "libhickoryglade/settingsschema.h"
#include "libhickoryglade/settingstree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// An operator's change, as written to the log.
struct SettingsChange {
  /// Unique id; a second record with the same id changes nothing.
  std::string Id;
  std::string Path;
  /// Revision of the path on which the operator based the change.
  std::int64_t Base = 0;
  /// Null removes the tree node.
  nlohmann::json Value;
  std::string Author;
  /// Time of writing by the writer's wall clock, in milliseconds. It only
  /// affects refreshing; no verdict depends on it.
  std::int64_t AtMs = 0;

  bool operator==(const SettingsChange &) const = default;
};

/// A value in force, appended again before its record expires.
struct SettingsRefresh {
  std::string Path;
  nlohmann::json Value;
  /// Original revision, so that a refresh cannot overwrite a newer value.
  std::int64_t Revision = 0;
  /// Offset up to which the writer had read the log.
  std::int64_t AsOf = 0;
  /// As in SettingsChange.
  std::int64_t AtMs = 0;

  bool operator==(const SettingsRefresh &) const = default;
};

enum class ChangeOutcome { Accepted, Conflict, Invalid, Duplicate };

/// Result of a change. Every reader computes the same verdict.
struct ChangeVerdict {
  std::string Id;
  std::string Path;
  ChangeOutcome Outcome = ChangeOutcome::Accepted;
  /// Revision in force at the path after the change.
  std::int64_t Revision = 0;
  std::vector<SettingsFault> Faults;

  bool operator==(const ChangeVerdict &) const = default;
};

/// Offset and time of a path's newest record.
struct RecordPosition {
  std::int64_t Offset = 0;
  std::int64_t AtMs = 0;

  bool operator==(const RecordPosition &) const = default;
};

/// The settings as computed from the stream up to an offset.
struct SettingsState {
  SettingsTree Tree;
  /// Offset of the next record to apply.
  std::int64_t Next = 0;
  /// Each path's newest record, for refreshing.
  std::map<std::string, RecordPosition> LastWritten;
  /// Paths whose change was accepted although its base was unknown, with the
  /// change's offset.
  std::map<std::string, std::int64_t> Provisional;
  /// Verdicts by change id; the oldest are dropped first.
  std::map<std::string, ChangeVerdict> Verdicts;
  std::vector<std::string> VerdictOrder;
  /// True if records before the first one that was read had expired.
  bool StartedLate = false;
};

/// Result of applying one record.
struct FoldResult {
  std::optional<ChangeVerdict> Verdict;
  /// Reason for skipping the record; empty if it was well formed.
  std::string Rejected;
  bool IsTreeChanged = false;
};

std::string encodeChange(const SettingsChange &change);
std::string encodeRefresh(const SettingsRefresh &refresh);

/// Applies the record at an offset. Records must be passed in offset order; an
/// offset below state.Next is ignored.
FoldResult foldRecord(SettingsState &state, std::int64_t offset,
                      const std::string &data);

/// Merges a peer's state; for each path, the higher revision wins. Returns true
/// if the tree has changed.
bool mergeSnapshot(SettingsState &state, const SettingsState &peer);

/// A whole tree of settings, published at once under an increasing version.
struct SettingsDocument {
  std::int64_t Version = 0;
  /// Own values by path.
  std::map<std::string, nlohmann::json> Values;

  bool operator==(const SettingsDocument &) const = default;
};

/// Faults that make a document unusable as a whole.
std::vector<SettingsFault> checkDocument(const SettingsDocument &document);

/// Replaces the own tree by a peer's if that is from a later document. Returns
/// true if it was replaced.
bool adoptSnapshot(SettingsState &state, const SettingsState &peer);

/// Replaces the tree by a checked document. Returns false and changes nothing
/// if the document's version is not above the one in force.
bool replaceTree(SettingsState &state, const SettingsDocument &document);

/// True if the tree holds just what the document says.
bool holdsDocument(const SettingsState &state,
                   const SettingsDocument &document);

/// Continues at the first retained record if records before it have expired.
void skipTo(SettingsState &state, std::int64_t first);

/// Returns a value whose newest record is older than the given position, in
/// offset or in time, and must be written again; nothing if there is none.
std::optional<SettingsRefresh> dueRefresh(const SettingsState &state,
                                          const RecordPosition &oldestSafe);

std::string_view toString(ChangeOutcome outcome);

} // namespace hickoryglade
