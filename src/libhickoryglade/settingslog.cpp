#include "libhickoryglade/settingslog.h"
#include "libhickoryglade/jsontext.h"

#include <algorithm>
#include <array>

namespace hickoryglade {

namespace {

using nlohmann::json;

constexpr std::size_t MaxVerdicts = 4'096;

void recordVerdict(SettingsState &state, const ChangeVerdict &verdict) {
  if (state.VerdictOrder.size() >= MaxVerdicts) {
    state.Verdicts.erase(state.VerdictOrder.front());
    state.VerdictOrder.erase(state.VerdictOrder.begin());
  }
  state.Verdicts.emplace(verdict.Id, verdict);
  state.VerdictOrder.push_back(verdict.Id);
}

std::int64_t atMs(const json &record) {
  auto it = record.find("at_ms");
  return it != record.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : 0;
}

std::optional<SettingsChange> parseChange(const json &record) {
  if (!record.contains("id") || !record["id"].is_string() ||
      !record.contains("base") || !record["base"].is_number_integer() ||
      !record.contains("value"))
    return std::nullopt;
  return SettingsChange{record["id"],
                        record["path"],
                        record["base"],
                        record["value"],
                        record.contains("author") &&
                                record["author"].is_string()
                            ? record["author"].get<std::string>()
                            : "",
                        atMs(record)};
}

std::optional<SettingsRefresh> parseRefresh(const json &record) {
  if (!record.contains("revision") || !record["revision"].is_number_integer() ||
      !record.contains("as_of") || !record["as_of"].is_number_integer() ||
      !record.contains("value"))
    return std::nullopt;
  return SettingsRefresh{record["path"], record["value"], record["revision"],
                         record["as_of"], atMs(record)};
}

/// A revision is the record's offset + 1, so that 0 means "never set".
std::int64_t revisionAt(std::int64_t offset) { return offset + 1; }

ChangeVerdict evaluateChange(const SettingsState &state,
                             const SettingsChange &change) {
  ChangeVerdict verdict{change.Id,
                        change.Path,
                        ChangeOutcome::Accepted,
                        revisionOf(state.Tree, change.Path),
                        {}};
  if (change.Value.is_null()) {
    if (std::string reason = settingsPathFault(change.Path); !reason.empty())
      verdict.Faults = {{change.Path, reason}};
  } else {
    verdict.Faults = checkSettingsValue(change.Path, change.Value);
  }
  if (!verdict.Faults.empty()) {
    verdict.Outcome = ChangeOutcome::Invalid;
    return verdict;
  }
  bool isBaseUnknown = state.StartedLate && verdict.Revision == 0;
  if (change.Base != verdict.Revision && !isBaseUnknown)
    verdict.Outcome = ChangeOutcome::Conflict;
  return verdict;
}

FoldResult foldChange(SettingsState &state, std::int64_t offset,
                      const SettingsChange &change) {
  FoldResult result;
  if (auto it = state.Verdicts.find(change.Id); it != state.Verdicts.end()) {
    result.Verdict = it->second;
    return result;
  }
  ChangeVerdict verdict = evaluateChange(state, change);
  if (verdict.Outcome == ChangeOutcome::Accepted) {
    bool isUncertain = state.StartedLate && verdict.Revision == 0;
    verdict.Revision = revisionAt(offset);
    state.Tree.Nodes[change.Path] = {change.Value, verdict.Revision, 0};
    state.LastWritten[change.Path] = {offset, change.AtMs};
    if (isUncertain)
      state.Provisional[change.Path] = offset;
    result.IsTreeChanged = true;
  }
  recordVerdict(state, verdict);
  result.Verdict = verdict;
  return result;
}

/// A refresh written after a provisional change shows whether readers that
/// knew its base have accepted it.
bool overridesProvisional(const SettingsState &state,
                          const SettingsRefresh &refresh) {
  auto it = state.Provisional.find(refresh.Path);
  return it != state.Provisional.end() && refresh.AsOf > it->second;
}

FoldResult foldRefresh(SettingsState &state, std::int64_t offset,
                       const SettingsRefresh &refresh) {
  FoldResult result;
  std::int64_t own = revisionOf(state.Tree, refresh.Path);
  bool isOverride = overridesProvisional(state, refresh);
  if (refresh.Revision == own)
    state.LastWritten[refresh.Path] = {offset, refresh.AtMs};
  if (refresh.Revision > own || (isOverride && refresh.Revision != own)) {
    state.Tree.Nodes[refresh.Path] = {refresh.Value, refresh.Revision, 0};
    state.LastWritten[refresh.Path] = {offset, refresh.AtMs};
    result.IsTreeChanged = true;
  }
  if (isOverride)
    state.Provisional.erase(refresh.Path);
  return result;
}

bool isValidRefresh(const SettingsRefresh &refresh, std::int64_t offset) {
  bool isPast = refresh.Revision > 0 && refresh.Revision <= offset;
  return isPast && settingsPathFault(refresh.Path).empty() &&
         (refresh.Value.is_null() ||
          checkSettingsValue(refresh.Path, refresh.Value).empty());
}

FoldResult rejected(std::string reason) {
  FoldResult result;
  result.Rejected = std::move(reason);
  return result;
}

} // namespace

std::string encodeChange(const SettingsChange &change) {
  return json{{"type", "change"},      {"id", change.Id},
              {"path", change.Path},   {"base", change.Base},
              {"value", change.Value}, {"author", change.Author},
              {"at_ms", change.AtMs}}
      .dump();
}

std::string encodeRefresh(const SettingsRefresh &refresh) {
  return json{{"type", "refresh"},      {"path", refresh.Path},
              {"value", refresh.Value}, {"revision", refresh.Revision},
              {"as_of", refresh.AsOf},  {"at_ms", refresh.AtMs}}
      .dump();
}

FoldResult foldRecord(SettingsState &state, std::int64_t offset,
                      const std::string &data) {
  if (offset < state.Next)
    return {};
  state.Next = offset + 1;
  json record = parseJson(data);
  if (!record.is_object() || !record.contains("type") ||
      !record.contains("path") || !record["path"].is_string())
    return rejected("not a settings record");
  if (record["type"] == "change") {
    std::optional<SettingsChange> change = parseChange(record);
    return change ? foldChange(state, offset, *change)
                  : rejected("change record lacks id, base or value");
  }
  if (record["type"] == "refresh") {
    std::optional<SettingsRefresh> refresh = parseRefresh(record);
    if (!refresh || !isValidRefresh(*refresh, offset))
      return rejected("malformed refresh record");
    return foldRefresh(state, offset, *refresh);
  }
  return rejected("unknown record type");
}

bool mergeSnapshot(SettingsState &state, const SettingsState &peer) {
  bool isChanged = false;
  for (const auto &[path, node] : peer.Tree.Nodes) {
    if (node.Revision <= revisionOf(state.Tree, path))
      continue;
    state.Tree.Nodes[path] = node;
    auto place = peer.LastWritten.find(path);
    state.LastWritten[path] = place == peer.LastWritten.end()
                                  ? RecordPosition{node.Revision - 1, 0}
                                  : place->second;
    state.Provisional.erase(path);
    isChanged = true;
  }
  for (const std::string &id : peer.VerdictOrder)
    if (!state.Verdicts.contains(id))
      recordVerdict(state, peer.Verdicts.at(id));
  state.Next = std::max(state.Next, peer.Next);
  return isChanged;
}

bool adoptSnapshot(SettingsState &state, const SettingsState &peer) {
  if (peer.Next <= state.Next)
    return false;
  state.Next = peer.Next;
  // A peer that started after a tree node was removed does not list it at all,
  // so tree nodes that are missing from its tree are removed here too.
  for (auto &[path, node] : state.Tree.Nodes)
    if (!node.Value.is_null() && !peer.Tree.Nodes.contains(path))
      node = {nullptr, peer.Next - 1, 0};
  for (const auto &[path, node] : peer.Tree.Nodes)
    state.Tree.Nodes[path] = node;
  return true;
}

std::vector<SettingsFault> checkDocument(const SettingsDocument &document) {
  std::vector<SettingsFault> faults;
  for (const auto &[path, value] : document.Values)
    std::ranges::move(checkSettingsValue(path, value),
                      std::back_inserter(faults));
  return faults;
}

bool replaceTree(SettingsState &state, const SettingsDocument &document) {
  if (document.Version < state.Next)
    return false;
  state.Next = document.Version + 1;
  for (auto &[path, node] : state.Tree.Nodes)
    if (!node.Value.is_null() && !document.Values.contains(path))
      node = {nullptr, document.Version, 0};
  for (const auto &[path, value] : document.Values) {
    SettingsNode &node = state.Tree.Nodes[path];
    if (node.Revision == 0 || node.Value != value)
      node = {value, document.Version, settingsHash(path, value)};
  }
  return true;
}

bool holdsDocument(const SettingsState &state,
                   const SettingsDocument &document) {
  std::map<std::string, nlohmann::json> held;
  for (const auto &[path, node] : state.Tree.Nodes)
    if (!node.Value.is_null())
      held.emplace(path, node.Value);
  return held == document.Values;
}

void skipTo(SettingsState &state, std::int64_t first) {
  if (first <= state.Next)
    return;
  state.StartedLate = true;
  state.Next = first;
}

std::optional<SettingsRefresh> dueRefresh(const SettingsState &state,
                                          const RecordPosition &oldestSafe) {
  auto isDue = [&](const auto &it) {
    return it.second.Offset < oldestSafe.Offset ||
           it.second.AtMs < oldestSafe.AtMs;
  };
  auto due = std::ranges::find_if(state.LastWritten, isDue);
  if (due == state.LastWritten.end())
    return std::nullopt;
  auto node = state.Tree.Nodes.find(due->first);
  if (node == state.Tree.Nodes.end())
    return std::nullopt;
  return SettingsRefresh{due->first, node->second.Value, node->second.Revision,
                         state.Next, 0};
}

std::string_view toString(ChangeOutcome outcome) {
  constexpr std::array<std::string_view, 4> names = {"accepted", "conflict",
                                                     "invalid", "duplicate"};
  return names[static_cast<std::size_t>(outcome)];
}

} // namespace hickoryglade
