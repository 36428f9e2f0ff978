#include "libfleet/node/nodesettings.h"

#include "libfleet/base/address.h"
#include "libfleet/node/platformadapter.h"
#include "libhickoryglade/registry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

constexpr int MaxTrafficThreads = 64;
constexpr int MaxSettingsReaders = 1'000;
constexpr int MinSettingsAgeMs = 100;
constexpr int MaxSettingsAgeMs = 60'000;
constexpr double MaxLinkMbps = 1'000'000;
constexpr int MinBodyMegabytes = 8;
constexpr int MaxBodyMegabytes = 1'000'000;
constexpr std::size_t BytesPerMegabyte = 1024 * 1024;
constexpr int MinRetentionMs = 1'000;
constexpr int MaxRetentionMs = 2'000'000'000;
constexpr int MaxDrainMs = 3'600'000;
constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info", "warn",
                                                       "error"};

/// Reads the keys of one JSON object and reports their faults.
class ObjectReader {
public:
  ObjectReader(const json &object, std::string path,
               std::vector<SettingsFault> &faults)
      : Object(object), Path(std::move(path)), Faults(faults) {}

  void readString(const char *key, std::string &out, bool isRequired) {
    const json *value = findKey(key, isRequired);
    if (!value)
      return;
    if (!value->is_string() || value->get<std::string>().empty())
      return fault(key, "must be a non-empty string, not " + value->dump());
    out = value->get<std::string>();
  }

  void readAddress(const char *key, std::string &out, bool isRequired) {
    std::size_t before = Faults.size();
    readString(key, out, isRequired);
    if (Faults.size() == before && !out.empty() && !parseAddress(out))
      fault(key, "must be IP:PORT, not \"" + out + "\"");
  }

  void readInteger(const char *key, int &out, int lowest, int highest) {
    const json *value = findKey(key, false);
    if (!value)
      return;
    if (!value->is_number_integer() || value->get<std::int64_t>() < lowest ||
        value->get<std::int64_t>() > highest)
      return fault(key, "must be an integer from " + std::to_string(lowest) +
                            " to " + std::to_string(highest) + ", not " +
                            value->dump());
    out = value->get<int>();
  }

  void readNumber(const char *key, double &out, double lowest, double highest) {
    const json *value = findKey(key, false);
    if (!value)
      return;
    if (!value->is_number() || value->get<double>() < lowest ||
        value->get<double>() > highest)
      return fault(key, "must be a number from " + json(lowest).dump() +
                            " to " + json(highest).dump() + ", not " +
                            value->dump());
    out = value->get<double>();
  }

  void readBoolean(const char *key, bool &out) {
    const json *value = findKey(key, false);
    if (!value)
      return;
    if (!value->is_boolean())
      return fault(key, "must be true or false, not " + value->dump());
    out = value->get<bool>();
  }

  void readAddresses(const char *key, std::vector<std::string> &out) {
    const json *value = findKey(key, false);
    if (!value)
      return;
    if (!value->is_array())
      return fault(key, "must be a list of IP:PORT");
    for (const json &it : *value) {
      if (it.is_string() && parseAddress(it.get<std::string>()))
        out.push_back(it.get<std::string>());
      else
        fault(key, "must be a list of IP:PORT; " + it.dump() + " is not one");
    }
  }

  void readNumbers(const char *key, std::map<std::string, double> &out) {
    const json *value = findKey(key, false);
    if (!value)
      return;
    bool isTable =
        value->is_object() && std::ranges::all_of(*value, [](const json &it) {
          return it.is_number() || it.is_boolean();
        });
    if (!isTable)
      return fault(key, "must map names to numbers");
    for (const auto &[name, it] : value->items())
      out[name] = it.is_boolean() ? it.get<bool>() : it.get<double>();
  }

  const json *findKey(const char *key, bool isRequired) {
    Known.emplace_back(key);
    auto it = Object.find(key);
    if (it != Object.end())
      return &*it;
    if (isRequired)
      fault(key, "is missing");
    return nullptr;
  }

  void reportUnknown() {
    for (const auto &[key, value] : Object.items())
      if (std::ranges::find(Known, key) == Known.end())
        fault(key, "unknown key");
  }

  void fault(const std::string &key, std::string reason) {
    Faults.push_back({Path + key, std::move(reason)});
  }

private:
  const json &Object;
  std::string Path;
  std::vector<SettingsFault> &Faults;
  std::vector<std::string> Known;
};

void readListen(const json &object, NodeSettings &settings,
                std::vector<SettingsFault> &faults) {
  ObjectReader reader(object, "listen.", faults);
  reader.readAddress("http", settings.HttpAddress, true);
  reader.readAddress("fleet", settings.FleetAddress, true);
  reader.readAddress("admin", settings.AdminAddress, true);
  reader.readAddress("ready", settings.ReadyAddress, false);
  reader.readAddress("metrics", settings.MetricsAddress, false);
  reader.reportUnknown();
}

void readLog(const json &object, NodeSettings &settings,
             std::vector<SettingsFault> &faults) {
  ObjectReader reader(object, "log.", faults);
  reader.readAddress("address", settings.LogAddress, true);
  reader.readString("prefix", settings.StreamPrefix, false);
  int retentionMs = int(settings.LogRetention.count());
  reader.readInteger("retention_ms", retentionMs, MinRetentionMs,
                     MaxRetentionMs);
  settings.LogRetention = Millis(retentionMs);
  reader.reportUnknown();
}

void readPlatform(const json &object, NodeSettings &settings,
                  std::vector<SettingsFault> &faults) {
  ObjectReader reader(object, "platform.", faults);
  reader.readString("adapter", settings.Platform, true);
  reader.readAddress("address", settings.PlatformAddress, true);
  reader.readNumbers("bounds", settings.PlatformBounds);
  auto readDefaults = [&](const char *key, json &out) {
    const json *defaults = reader.findKey(key, false);
    if (!defaults)
      return;
    for (const SettingsFault &it : checkSettingsValue("/", *defaults))
      reader.fault(key, it.Where + " " + it.Reason);
    out = *defaults;
  };
  readDefaults("root_defaults", settings.RootDefaults);
  readDefaults("competing_root_defaults", settings.CompetingRootDefaults);
  if (!settings.Platform.empty() &&
      !Registry<PlatformAdapter>::instance().find(settings.Platform))
    reader.fault("adapter", "unknown adapter " + settings.Platform);
  reader.reportUnknown();
}

void readRoot(const json &root, NodeSettings &settings,
              std::vector<SettingsFault> &faults) {
  ObjectReader reader(root, "", faults);
  reader.readString("node", settings.Node, true);
  reader.readString("data_centre", settings.DataCentre, true);
  reader.readAddress("advertise", settings.AdvertisedAddress, false);
  reader.readAddresses("seeds", settings.Seeds);
  reader.readInteger("traffic_threads", settings.TrafficThreads, 1,
                     MaxTrafficThreads);
  int drainMs = int(settings.DrainLimit.count());
  reader.readInteger("drain_limit_ms", drainMs, 0, MaxDrainMs);
  settings.DrainLimit = Millis(drainMs);
  int gateDrainMs = int(settings.GateDrainLimit.count());
  reader.readInteger("gate_drain_limit_ms", gateDrainMs, 0, MaxDrainMs);
  settings.GateDrainLimit = Millis(gateDrainMs);
  int lingerMs = int(settings.Linger.count());
  reader.readInteger("linger_ms", lingerMs, 0, MaxDrainMs);
  settings.Linger = Millis(lingerMs);
  int announcementMs = int(settings.AnnouncementLimit.count());
  reader.readInteger("announcement_limit_ms", announcementMs, 100, MaxDrainMs);
  settings.AnnouncementLimit = Millis(announcementMs);
  reader.readString("service", settings.Service, false);
  reader.readBoolean("accept_before_ready", settings.AcceptsBeforeReady);
  reader.readInteger("settings_readers", settings.SettingsReaders, 0,
                     MaxSettingsReaders);
  int maxAgeMs = int(settings.SettingsMaxAge.count());
  reader.readInteger("settings_max_age_ms", maxAgeMs, MinSettingsAgeMs,
                     MaxSettingsAgeMs);
  settings.SettingsMaxAge = Millis(maxAgeMs);
  double linkMbps = settings.LinkMbps;
  reader.readNumber("link_mbps", linkMbps, 0, MaxLinkMbps);
  settings.LinkMbps = int(linkMbps);
  int bodyMegabytes = int(settings.BodyBytes / BytesPerMegabyte);
  reader.readInteger("body_memory_mb", bodyMegabytes, MinBodyMegabytes,
                     MaxBodyMegabytes);
  settings.BodyBytes = std::size_t(bodyMegabytes) * BytesPerMegabyte;
  reader.readBoolean("keep_standings_near", settings.KeepsStandingsNear);
  reader.readString("log_level", settings.LogLevel, false);
  if (std::ranges::find(LogLevels, settings.LogLevel) == LogLevels.end())
    reader.fault("log_level", "must be debug, info, warn or error");
  const json *listen = reader.findKey("listen", true);
  const json *platform = reader.findKey("platform", false);
  const json *log = reader.findKey("log", platform == nullptr);
  reader.reportUnknown();
  if (listen && listen->is_object())
    readListen(*listen, settings, faults);
  else if (listen)
    reader.fault("listen", "must be an object");
  if (platform && log)
    reader.fault("platform", "cannot be combined with log");
  if (platform && platform->is_object())
    readPlatform(*platform, settings, faults);
  else if (platform)
    reader.fault("platform", "must be an object");
  if (log && log->is_object())
    readLog(*log, settings, faults);
  else if (log)
    reader.fault("log", "must be an object");
}

} // namespace

json toJson(const NodeSettings &settings) {
  json out = {{"node", settings.Node},
              {"data_centre", settings.DataCentre},
              {"advertise", settings.AdvertisedAddress},
              {"seeds", settings.Seeds},
              {"traffic_threads", settings.TrafficThreads},
              {"drain_limit_ms", settings.DrainLimit.count()},
              {"gate_drain_limit_ms", settings.GateDrainLimit.count()},
              {"linger_ms", settings.Linger.count()},
              {"announcement_limit_ms", settings.AnnouncementLimit.count()},
              {"service", settings.Service},
              {"accept_before_ready", settings.AcceptsBeforeReady},
              {"settings_readers", settings.SettingsReaders},
              {"settings_max_age_ms", settings.SettingsMaxAge.count()},
              {"link_mbps", settings.LinkMbps},
              {"body_memory_mb", settings.BodyBytes / BytesPerMegabyte},
              {"keep_standings_near", settings.KeepsStandingsNear},
              {"log_level", settings.LogLevel},
              {"listen",
               {{"http", settings.HttpAddress},
                {"fleet", settings.FleetAddress},
                {"admin", settings.AdminAddress}}}};
  if (!settings.ReadyAddress.empty())
    out["listen"]["ready"] = settings.ReadyAddress;
  if (!settings.MetricsAddress.empty())
    out["listen"]["metrics"] = settings.MetricsAddress;
  if (settings.Service.empty())
    out.erase("service");
  if (settings.Platform.empty())
    out["log"] = {{"address", settings.LogAddress},
                  {"prefix", settings.StreamPrefix},
                  {"retention_ms", settings.LogRetention.count()}};
  else
    out["platform"] = {
        {"adapter", settings.Platform},
        {"address", settings.PlatformAddress},
        {"bounds", settings.PlatformBounds},
        {"root_defaults", settings.RootDefaults},
        {"competing_root_defaults", settings.CompetingRootDefaults}};
  return out;
}

NodeSettingsResult parseNodeSettings(const std::string &text) {
  NodeSettingsResult result;
  json root;
  try {
    root = json::parse(text, nullptr, true, true);
  } catch (const json::parse_error &fault) {
    std::size_t upTo = std::min<std::size_t>(fault.byte, text.size());
    auto line = 1 + std::count(text.begin(), text.begin() + long(upTo), '\n');
    result.Faults.push_back(
        {"line " + std::to_string(line), "is not valid JSON with comments"});
    return result;
  }
  if (!root.is_object()) {
    result.Faults.push_back({"line 1", "must be an object"});
    return result;
  }
  readRoot(root, result.Settings, result.Faults);
  if (result.Settings.AdvertisedAddress.empty())
    result.Settings.AdvertisedAddress = result.Settings.FleetAddress;
  return result;
}

} // namespace hickoryglade::fleet
