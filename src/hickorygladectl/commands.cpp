#include "hickorygladectl/commands.h"

#include "hickorygladectl/adminclient.h"
#include "libhickoryglade/settingsschema.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace hickoryglade::ctl {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds RequestTimeout{3'000};
constexpr std::chrono::milliseconds PublishTimeout{12'000};
constexpr std::chrono::milliseconds PollPeriod{100};
constexpr std::chrono::milliseconds WatchPeriod{500};

int reportUnreachable(const absl::Status &status) {
  std::cerr << "hickorygladectl: " << status.message() << "\n";
  return ExitUnreachable;
}

int reportUsageError(const std::string &reason) {
  std::cerr << "hickorygladectl: " << reason << "\n";
  return ExitUsage;
}

std::string textOf(const json &value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Loads the value that the options name. Prints an error and returns nothing
/// if it is invalid.
std::optional<json> loadValue(const Options &options) {
  if (options.IsRemoval)
    return json();
  std::string text = options.Value;
  if (!options.File.empty()) {
    std::ifstream in(options.File);
    if (!in) {
      std::cerr << options.File << ": cannot be read\n";
      return std::nullopt;
    }
    std::stringstream all;
    all << in.rdbuf();
    text = all.str();
  }
  if (text.empty()) {
    std::cerr
        << "hickorygladectl: one of --value, --file or --remove is required\n";
    return std::nullopt;
  }
  json value = json::parse(text, nullptr, false, true);
  if (value.is_discarded()) {
    std::cerr << "hickorygladectl: the value is not valid JSON\n";
    return std::nullopt;
  }
  return value;
}

void printFaults(const std::vector<SettingsFault> &faults, bool isJson) {
  if (isJson) {
    json all = json::array();
    for (const SettingsFault &it : faults)
      all.push_back({{"where", it.Where}, {"reason", it.Reason}});
    std::cout << json{{"outcome", "invalid"}, {"faults", all}}.dump() << "\n";
    return;
  }
  for (const SettingsFault &it : faults)
    std::cerr << it.Where << ": " << it.Reason << "\n";
}

std::string makeId() {
  std::random_device seed;
  std::stringstream out;
  out << std::hex << seed() << seed() << seed() << seed();
  return out.str();
}

/// Returns members that are neither dead nor leaving and have not read up to a
/// revision.
std::vector<std::string> laggingMembers(const json &report,
                                        std::int64_t revision) {
  std::vector<std::string> nodes;
  for (const json &it : report["members"])
    if (it["state"] != "dead" && !it["leaving"].get<bool>() &&
        it["settings_next"].get<std::int64_t>() < revision)
      nodes.push_back(it["node"]);
  return nodes;
}

/// Waits until every member has a revision in force; returns those that are
/// still behind at the end of the wait.
std::vector<std::string> awaitMembers(const Options &options,
                                      std::int64_t revision) {
  auto until = Clock::now() + options.Wait;
  std::vector<std::string> behind{options.Node};
  while (!behind.empty()) {
    auto reply =
        sendAdminRequest(options.Node, "GET", "/v1/status", "", RequestTimeout);
    if (reply.ok() && reply->Status == 200)
      behind = laggingMembers(reply->Body, revision);
    if (behind.empty() || Clock::now() >= until)
      break;
    std::this_thread::sleep_for(PollPeriod);
  }
  return behind;
}

int reportVerdict(const Options &options, const AdminReply &reply) {
  const json &body = reply.Body;
  std::string outcome = body.value("outcome", "unknown");
  if (outcome == "accepted") {
    auto revision = body["revision"].get<std::int64_t>();
    std::vector<std::string> behind = awaitMembers(options, revision);
    json out = {{"outcome", outcome},
                {"revision", revision},
                {"id", body["id"]},
                {"behind", behind}};
    if (options.IsJson)
      std::cout << out.dump() << "\n";
    else
      std::cout << "accepted as revision " << revision
                << (behind.empty() ? ", in force on every member"
                                   : ", not yet in force everywhere")
                << "\n";
    for (const std::string &node : behind)
      std::cerr << "behind: " << node << "\n";
    return behind.empty() ? ExitDone : ExitNotYetInForce;
  }
  if (options.IsJson)
    std::cout << body.dump() << "\n";
  if (outcome == "conflict") {
    std::cerr << "conflict: another change is in force, revision "
              << body["revision"] << "; review it and publish again\n";
    return ExitConflict;
  }
  for (const json &it : body.value("faults", json::array()))
    std::cerr << textOf(it["where"]) << ": " << textOf(it["reason"]) << "\n";
  if (body.contains("error"))
    std::cerr << textOf(body["error"]) << "\n";
  return outcome == "invalid" || reply.Status == 400 ? ExitInvalid
                                                     : ExitUnreachable;
}

json withoutVolatileFields(const json &report) {
  json copy = report;
  copy.erase("gossip_bytes_sent");
  for (json &it : copy["quarantine"])
    it.erase("remaining_ms");
  return copy;
}

/// The limit that an own endpoint names, with the wait that it causes.
std::string limitText(const json &endpoint) {
  const json &limit = endpoint["limit"];
  if (limit.is_null())
    return "";
  return ", limit " + limit.dump() + " requests/s, next in " +
         endpoint["limit_wait_ms"].dump() + " ms";
}

void printStatus(const json &report, bool isJson) {
  if (isJson) {
    std::cout << report.dump() << std::endl;
    return;
  }
  std::cout << "settings up to version " << report["settings_next"]
            << ", in force for " << report["settings_in_force_ms"]
            << " ms; their source is "
            << (report["log_reachable"].get<bool>() ? "reachable" : "away")
            << ", last answered " << report["source_age_ms"] << " ms ago\n";
  if (const json &it = report["settings_refused"]; it.is_object())
    std::cout << "refused settings version " << it["version"] << " "
              << it["ms_ago"] << " ms ago: " << it["where"].get<std::string>()
              << ": " << it["reason"].get<std::string>() << "\n";
  for (const json &it : report["own_endpoints"])
    std::cout << "own endpoint " << textOf(it["name"]) << "  "
              << textOf(it["service"]) << "  " << it["busy"] << " of "
              << it["slots"] << " slots busy  " << textOf(it["standing"])
              << " for " << it["for_ms"] << " ms: " << textOf(it["reason"])
              << limitText(it) << "\n";
  for (const json &member : report["members"]) {
    std::cout << textOf(member["node"]) << "  " << textOf(member["state"])
              << (member["leaving"].get<bool>() ? " leaving" : "") << "  "
              << textOf(member["data_centre"]) << "  settings "
              << member["settings_next"] << "\n";
    for (const json &it : member["endpoints"])
      std::cout << "    " << textOf(it["name"]) << "  " << textOf(it["service"])
                << "  " << it["slots"] << " slots  " << textOf(it["standing"])
                << "\n";
  }
  for (const json &it : report["quarantine"])
    std::cout << "quarantine " << textOf(it["fingerprint"]) << "  "
              << it["crashes"] << " crashes, " << it["remaining_ms"]
              << " ms left\n";
  std::cout << std::flush;
}

} // namespace

int publish(const Options &options) {
  if (options.Arguments.size() != 1)
    return reportUsageError("publish requires exactly one path");
  const std::string &path = options.Arguments[0];
  std::optional<json> value = loadValue(options);
  if (!value)
    return ExitUsage;
  std::int64_t base = options.Base.value_or(0);
  if (!options.Base) {
    auto present = sendAdminRequest(options.Node, "GET", "/v1/settings" + path,
                                    "", RequestTimeout);
    if (!present.ok())
      return reportUnreachable(present.status());
    if (present->Status != 200)
      return reportVerdict(options, *present);
    base = present->Body["revision"].get<std::int64_t>();
  }
  const char *user = std::getenv("USER");
  json change = {{"id", options.Id.empty() ? makeId() : options.Id},
                 {"path", path},
                 {"base", base},
                 {"value", *value},
                 {"author", user ? user : ""}};
  auto reply = sendAdminRequest(options.Node, "POST", "/v1/changes",
                                change.dump(), PublishTimeout);
  if (!reply.ok())
    return reportUnreachable(reply.status());
  return reportVerdict(options, *reply);
}

int get(const Options &options) {
  if (options.Arguments.empty() || options.Arguments.size() > 2)
    return reportUsageError("get requires a path and accepts one key");
  auto reply = sendAdminRequest(options.Node, "GET",
                                "/v1/settings" + options.Arguments[0], "",
                                RequestTimeout);
  if (!reply.ok())
    return reportUnreachable(reply.status());
  if (reply->Status != 200) {
    std::cerr << textOf(reply->Body.value("error", json("refused"))) << "\n";
    return ExitInvalid;
  }
  json keys = reply->Body["effective"];
  if (options.Arguments.size() == 2) {
    const std::string &key = options.Arguments[1];
    if (!keys.contains(key)) {
      std::cerr << key << ": not set at this path or a parent of it\n";
      return ExitInvalid;
    }
    keys = json{{key, keys[key]}};
  }
  if (options.IsJson) {
    std::cout << keys.dump() << "\n";
    return ExitDone;
  }
  for (const auto &[key, it] : keys.items())
    std::cout << key << " = " << it["value"].dump() << "  (from "
              << textOf(it["from"]) << ", revision " << it["revision"] << ")\n";
  return ExitDone;
}

int validate(const Options &options) {
  if (options.Arguments.size() != 1)
    return reportUsageError("validate requires exactly one path");
  std::optional<json> value = loadValue(options);
  if (!value)
    return ExitUsage;
  std::vector<SettingsFault> faults =
      checkSettingsValue(options.Arguments[0], *value);
  if (!faults.empty()) {
    printFaults(faults, options.IsJson);
    return ExitInvalid;
  }
  std::cout << (options.IsJson ? R"({"outcome":"valid"})" : "valid") << "\n";
  return ExitDone;
}

int status(const Options &options) {
  auto reply =
      sendAdminRequest(options.Node, "GET", "/v1/status", "", RequestTimeout);
  if (!reply.ok())
    return reportUnreachable(reply.status());
  printStatus(reply->Body, options.IsJson);
  return ExitDone;
}

int watch(const Options &options) {
  json last;
  for (int n = 0; options.Count == 0 || n < options.Count;) {
    auto reply =
        sendAdminRequest(options.Node, "GET", "/v1/status", "", RequestTimeout);
    if (!reply.ok())
      return reportUnreachable(reply.status());
    if (withoutVolatileFields(reply->Body) != last) {
      last = withoutVolatileFields(reply->Body);
      printStatus(reply->Body, options.IsJson);
      ++n;
    }
    std::this_thread::sleep_for(WatchPeriod);
  }
  return ExitDone;
}

} // namespace hickoryglade::ctl
