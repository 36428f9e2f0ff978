#include "libhickoryglade/settingsschema.h"

#include "libhickoryglade/admissionpolicy.h"
#include "libhickoryglade/healthpolicy.h"
#include "libhickoryglade/registry.h"
#include "libhickoryglade/routerpolicy.h"
#include "libhickoryglade/workspaces/keydigest.h"
#include "libhickoryglade/workspaces/workspacetable.h"

#include <nlohmann/json.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <functional>
#include <variant>

namespace hickoryglade {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNameLength = 100;
constexpr std::size_t MaxDepth = 3;

struct IntegerRule {
  std::int64_t Lowest;
  std::int64_t Highest;
  void (*Apply)(ServicePolicy &, std::int64_t);
};

struct PolicyNameRule {
  std::vector<std::string> (*Names)();
  void (*Apply)(ServicePolicy &, std::string);
};

struct MethodListRule {};
struct DigestListRule {};
struct NumberRule {
  double Highest;
};
/// Read where workspaces are listed, not as a part of a policy.
struct WorkspacePriorityRule {};
struct BooleanRule {
  void (*Apply)(ServicePolicy &, bool);
};
struct HostRule {};
struct SplitRule {};
struct PrefixRule {};
struct WorkspaceRule {};
struct HeaderTextRule {};
struct QuarantineReleaseRule {};

/// A key of the schema and the highest level at which it is allowed.
struct KeyRule {
  std::string_view Key;
  SettingsLevel From;
  std::variant<IntegerRule, PolicyNameRule, MethodListRule, BooleanRule,
               HostRule, PrefixRule, WorkspaceRule, SplitRule,
               QuarantineReleaseRule, DigestListRule, NumberRule,
               WorkspacePriorityRule, HeaderTextRule>
      Rule;
  /// Lowest level at which it is allowed.
  SettingsLevel To = SettingsLevel::Route;
};

constexpr std::int64_t DayMs = 86'400'000;
constexpr std::int64_t MaxWeight = 1'000'000;
constexpr double MaxQuota = 1e9;

const std::vector<KeyRule> &schema() {
  using P = ServicePolicy;
  static const std::vector<KeyRule> it = {
      {"floor", SettingsLevel::Fleet,
       IntegerRule{0, 100'000, [](P &p, std::int64_t v) { p.Floor = int(v); }}},
      {"timeout_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.Timeout = Millis(v); }}},
      {"time_limit_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.TimeLimit = Millis(v); }}},
      {"target_latency_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.TargetLatency = Millis(v); }}},
      {"priority", SettingsLevel::Fleet,
       IntegerRule{0, 100, [](P &p, std::int64_t v) { p.Priority = int(v); }}},
      {"max_attempts", SettingsLevel::Fleet,
       IntegerRule{1, 100,
                   [](P &p, std::int64_t v) { p.MaxAttempts = int(v); }}},
      {"idempotent", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.Idempotent = v; }}},
      {"spill_to_doubtful", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.SpillsToDoubtful = v; }}},
      {"avoid_silent", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.AvoidsSilent = v; }}},
      {"max_header_bytes", SettingsLevel::Fleet,
       IntegerRule{256, 1024 * 1024,
                   [](P &p, std::int64_t v) { p.MaxHeaderBytes = v; }}},
      {"header_timeout_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.HeaderTimeout = Millis(v); }}},
      {"idle_timeout_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.IdleTimeout = Millis(v); }}},
      {"max_body_bytes", SettingsLevel::Fleet,
       IntegerRule{0, 64 * 1024 * 1024,
                   [](P &p, std::int64_t v) { p.MaxBodyBytes = v; }}},
      {"queue_limit", SettingsLevel::Fleet,
       IntegerRule{0, 1'000'000,
                   [](P &p, std::int64_t v) { p.QueueLimit = int(v); }}},
      {"max_wait_ms", SettingsLevel::Fleet,
       IntegerRule{0, DayMs,
                   [](P &p, std::int64_t v) { p.MaxWait = Millis(v); }}},
      {"near_wait_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.NearWait = Millis(v); }}},
      {"long_slots_percent", SettingsLevel::Fleet,
       IntegerRule{1, 100,
                   [](P &p, std::int64_t v) { p.LongSlotsPercent = int(v); }}},
      {"long_after_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.LongAfter = Millis(v); }}},
      {"stall_after_ms", SettingsLevel::Fleet,
       IntegerRule{50, DayMs,
                   [](P &p, std::int64_t v) { p.StallAfter = Millis(v); }}},
      {"key_lifetime_ms", SettingsLevel::Fleet,
       IntegerRule{1'000, DayMs,
                   [](P &p, std::int64_t v) { p.KeyLifetime = Millis(v); }}},
      {"retry_budget_percent", SettingsLevel::Fleet,
       IntegerRule{
           0, 100,
           [](P &p, std::int64_t v) { p.RetryBudgetPercent = int(v); }}},
      {"retry_allowance", SettingsLevel::Fleet,
       IntegerRule{0, 1'000'000,
                   [](P &p, std::int64_t v) { p.RetryAllowance = int(v); }}},
      {"failures_for_doubt", SettingsLevel::Fleet,
       IntegerRule{1, 100,
                   [](P &p, std::int64_t v) { p.FailuresForDoubt = int(v); }}},
      {"sheds_for_doubt", SettingsLevel::Fleet,
       IntegerRule{1, 100,
                   [](P &p, std::int64_t v) { p.ShedsForDoubt = int(v); }}},
      {"first_rest_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.FirstRest = Millis(v); }}},
      {"most_rest_ms", SettingsLevel::Fleet,
       IntegerRule{1, DayMs,
                   [](P &p, std::int64_t v) { p.MostRest = Millis(v); }}},
      {"trial_patience_ms", SettingsLevel::Fleet,
       IntegerRule{
           1, DayMs,
           [](P &p, std::int64_t v) { p.TrialIdleTimeout = Millis(v); }}},
      {"trial_odds", SettingsLevel::Fleet,
       IntegerRule{1, 1'000,
                   [](P &p, std::int64_t v) { p.TrialOdds = int(v); }}},
      {"share", SettingsLevel::Fleet,
       IntegerRule{1, 1'000, [](P &p, std::int64_t v) { p.Share = int(v); }}},
      {"quarantine_ms", SettingsLevel::Fleet,
       IntegerRule{1'000, DayMs,
                   [](P &p, std::int64_t v) { p.QuarantineTerm = Millis(v); }}},
      {"router", SettingsLevel::Fleet,
       PolicyNameRule{[] { return Registry<RouterPolicy>::instance().names(); },
                      [](P &p, std::string v) { p.Router = std::move(v); }}},
      {"admission", SettingsLevel::Fleet,
       PolicyNameRule{
           [] { return Registry<AdmissionPolicy>::instance().names(); },
           [](P &p, std::string v) { p.Admission = std::move(v); }}},
      {"queue_order", SettingsLevel::Fleet,
       PolicyNameRule{queueOrderNames,
                      [](P &p, std::string v) { p.Order = queueOrderOf(v); }}},
      {"health", SettingsLevel::Fleet,
       PolicyNameRule{[] { return Registry<HealthPolicy>::instance().names(); },
                      [](P &p, std::string v) { p.Health = std::move(v); }}},
      {"idempotent_methods", SettingsLevel::Fleet, MethodListRule{}},
      {"quarantine_release", SettingsLevel::Fleet, QuarantineReleaseRule{}},
      {"requires_key", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.RequiresKey = v; }}},
      {"key_max_age_ms", SettingsLevel::Fleet,
       IntegerRule{0, DayMs,
                   [](P &p, std::int64_t v) { p.KeyMaxAge = Millis(v); }}},
      {"reserved_slots_percent", SettingsLevel::Fleet,
       IntegerRule{
           0, 100,
           [](P &p, std::int64_t v) { p.ReservedSlotsPercent = int(v); }}},
      {"shed_comparison", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.ComparesSheds = v; }}},
      {"repeat_reserve_percent", SettingsLevel::Fleet,
       IntegerRule{
           0, 100,
           [](P &p, std::int64_t v) { p.RepeatReservePercent = int(v); }}},
      {"compare_gates", SettingsLevel::Fleet,
       IntegerRule{0, 4,
                   [](P &p, std::int64_t v) { p.CompareGates = int(v); }}},
      {"reuse_connections", SettingsLevel::Fleet,
       BooleanRule{[](P &p, bool v) { p.ReusesConnections = v; }}},
      {"key_digests", SettingsLevel::Workspace, DigestListRule{},
       SettingsLevel::Workspace},
      {"quota_per_second", SettingsLevel::Workspace, NumberRule{MaxQuota},
       SettingsLevel::Workspace},
      {"quota_burst", SettingsLevel::Workspace, NumberRule{MaxQuota},
       SettingsLevel::Workspace},
      {"workspace_priority", SettingsLevel::Workspace, WorkspacePriorityRule{},
       SettingsLevel::Workspace},
      {"workspace_name", SettingsLevel::Workspace, HeaderTextRule{},
       SettingsLevel::Workspace},
      {"host", SettingsLevel::Route, HostRule{}},
      {"prefix", SettingsLevel::Route, PrefixRule{}},
      {"workspace", SettingsLevel::Route, WorkspaceRule{}},
      {"split", SettingsLevel::Route, SplitRule{}},
  };
  return it;
}

constexpr std::size_t MaxHostBytes = 255;
constexpr std::size_t MaxTextBytes = 1'000;

bool isControlChar(char c) {
  constexpr unsigned char firstPrintable = 0x20;
  constexpr unsigned char deleteChar = 0x7f;
  auto byte = static_cast<unsigned char>(c);
  return byte < firstPrintable || byte == deleteChar;
}

/// Host names of operators may have labels that no DNS name has, such as a
/// wildcard, which then match no request.
bool isHost(const std::string &host) {
  return !host.empty() && host.size() <= MaxHostBytes &&
         std::ranges::none_of(host, [](char c) {
           return isControlChar(c) || c == ' ' || c == '/';
         });
}

/// True for a text that can be sent as the value of a header.
bool isHeaderText(const std::string &text) {
  return !text.empty() && text.size() <= MaxTextBytes &&
         std::ranges::none_of(text, isControlChar);
}

std::string fault(const IntegerRule &rule, const json &value) {
  std::string range = "must be an integer from " + std::to_string(rule.Lowest) +
                      " to " + std::to_string(rule.Highest);
  if (!value.is_number_integer())
    return range + ", not " + value.dump();
  auto n = value.get<std::int64_t>();
  return n < rule.Lowest || n > rule.Highest ? range + ", not " + value.dump()
                                             : "";
}

std::string fault(const PolicyNameRule &rule, const json &value) {
  std::vector<std::string> names = rule.Names();
  if (value.is_string() &&
      std::ranges::find(names, value.get<std::string>()) != names.end())
    return "";
  return "must be one of " + absl::StrJoin(names, ", ") + ", not " +
         value.dump();
}

bool isStringList(const json &value) {
  return value.is_array() && std::ranges::all_of(value, [](const json &it) {
           return it.is_string() && !it.get<std::string>().empty();
         });
}

std::string fault(const MethodListRule &, const json &value) {
  return isStringList(value) ? "" : "must be a list of method names";
}

std::string fault(const QuarantineReleaseRule &, const json &value) {
  return isStringList(value) ? "" : "must be a list of fingerprints";
}

std::string fault(const HostRule &, const json &value) {
  return value.is_string() && isHost(value.get<std::string>())
             ? ""
             : "must be a host name";
}

std::string fault(const PrefixRule &, const json &value) {
  return value.is_string() && value.get<std::string>().starts_with('/')
             ? ""
             : "must be a path that starts with '/'";
}

std::string fault(const WorkspaceRule &, const json &value) {
  return value.is_string() && isSettingsName(value.get<std::string>())
             ? ""
             : "must be the name of a workspace";
}

std::string fault(const HeaderTextRule &, const json &value) {
  return value.is_string() && isHeaderText(value.get<std::string>())
             ? ""
             : "must be a text of 1 to 1000 bytes without control characters";
}

std::string fault(const DigestListRule &, const json &value) {
  bool isDigestList =
      value.is_array() && std::ranges::all_of(value, [](const json &it) {
        return it.is_string() && isKeyDigest(it.get<std::string>());
      });
  return isDigestList ? "" : "must be a list of key digests";
}

std::string fault(const NumberRule &rule, const json &value) {
  bool isInRange = value.is_number() && value.get<double>() >= 0 &&
                   value.get<double>() <= rule.Highest;
  return isInRange
             ? ""
             : "must be a number from 0 to 1000000000, not " + value.dump();
}

std::string fault(const WorkspacePriorityRule &, const json &value) {
  bool isInRange = value.is_number_integer() &&
                   value.get<std::int64_t>() >= 0 &&
                   value.get<std::int64_t>() <= MaxWorkspacePriority;
  return isInRange ? ""
                   : "must be an integer from 0 to 100, not " + value.dump();
}

std::string fault(const BooleanRule &, const json &value) {
  return value.is_boolean() ? "" : "must be true or false";
}

bool isWeight(const json &value) {
  return value.is_number_integer() && value.get<std::int64_t>() >= 0 &&
         value.get<std::int64_t>() <= MaxWeight;
}

/// A split maps services of the route's workspace to weights, at least one of
/// which is above 0.
std::string fault(const SplitRule &, const json &value) {
  bool isWellFormed = value.is_object() && !value.empty();
  std::int64_t sum = 0;
  if (isWellFormed)
    for (const auto &[name, weight] : value.items()) {
      isWellFormed = isWellFormed && isSettingsName(name) && isWeight(weight);
      sum += isWellFormed ? weight.get<std::int64_t>() : 0;
    }
  return isWellFormed && sum > 0
             ? ""
             : "must map names of services to weights from 0 to 1000000, one "
               "of them above 0";
}

std::string_view levelName(SettingsLevel level) {
  constexpr std::array<std::string_view, 4> names = {"fleet", "workspace",
                                                     "service", "route"};
  return names[static_cast<std::size_t>(level)];
}

std::string keyFault(const std::string &key, SettingsLevel level,
                     const json &value) {
  auto it = std::ranges::find(schema(), key, &KeyRule::Key);
  if (it == schema().end())
    return "unknown key";
  if (level < it->From)
    return "is allowed at a " + std::string(levelName(it->From)) +
           " only, not at a " + std::string(levelName(level));
  if (level > it->To)
    return "is allowed at a " + std::string(levelName(it->To)) +
           " only, not at a " + std::string(levelName(level));
  return std::visit([&](const auto &rule) { return fault(rule, value); },
                    it->Rule);
}

} // namespace

bool isSettingsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isSettingsName(const std::string &name) {
  return !name.empty() && name.size() <= MaxNameLength &&
         std::ranges::all_of(name, isSettingsNameChar);
}

std::vector<std::string> splitSettingsPath(const std::string &path) {
  std::vector<std::string> names;
  std::size_t start = 1;
  while (start < path.size()) {
    std::size_t end = std::min(path.find('/', start), path.size());
    names.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return names;
}

std::string settingsPathFault(const std::string &path) {
  if (path == "/")
    return "";
  if (!path.starts_with('/') || path.ends_with('/'))
    return "must start with '/' and not end with it";
  std::vector<std::string> names = splitSettingsPath(path);
  if (names.size() > MaxDepth)
    return "must be /, /workspace, /workspace/service or "
           "/workspace/service/route";
  if (!std::ranges::all_of(names, isSettingsName))
    return "names hold 1 to 100 letters, digits, '-', '_' or '.'";
  return "";
}

SettingsLevel settingsLevel(const std::string &path) {
  return static_cast<SettingsLevel>(splitSettingsPath(path).size());
}

std::vector<SettingsFault> checkSettingsValue(const std::string &path,
                                              const json &value) {
  if (std::string reason = settingsPathFault(path); !reason.empty())
    return {{path, reason}};
  if (!value.is_object())
    return {{path, "must be an object"}};
  SettingsLevel level = settingsLevel(path);
  std::vector<SettingsFault> faults;
  for (const auto &[key, item] : value.items()) {
    std::string reason = keyFault(key, level, item);
    if (!reason.empty())
      faults.push_back({absl::StrCat(path, ": ", key), reason});
  }
  if (level == SettingsLevel::Route && !value.contains("host"))
    faults.push_back({path + ": host", "is missing"});
  return faults;
}

ServicePolicy applySettings(ServicePolicy base, const json &value) {
  for (const KeyRule &rule : schema()) {
    auto it = value.find(rule.Key);
    if (it == value.end())
      continue;
    if (const auto *integer = std::get_if<IntegerRule>(&rule.Rule))
      integer->Apply(base, it->get<std::int64_t>());
    if (const auto *name = std::get_if<PolicyNameRule>(&rule.Rule))
      name->Apply(base, it->get<std::string>());
    if (const auto *boolean = std::get_if<BooleanRule>(&rule.Rule))
      boolean->Apply(base, it->get<bool>());
    if (std::holds_alternative<MethodListRule>(rule.Rule))
      base.IdempotentMethods = it->get<std::vector<std::string>>();
  }
  return base;
}

} // namespace hickoryglade
