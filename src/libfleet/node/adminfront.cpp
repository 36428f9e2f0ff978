#include "libfleet/node/adminfront.h"

#include "libfleet/base/address.h"
#include "libfleet/base/clock.h"
#include "libfleet/node/control.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/jsontext.h"
#include "libhickoryglade/routetable.h"

#include <nlohmann/json.hpp>

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

constexpr int HeartbeatMs = 1'000;
constexpr int MaxSlots = 10'000;
constexpr std::size_t MaxNameBytes = 200;
constexpr Millis PublishTimeout = std::chrono::seconds(10);
constexpr std::string_view EndpointsPath = "/v1/endpoints";
constexpr std::string_view SettingsPath = "/v1/settings";

HttpResponse jsonAnswer(int status, const json &body) {
  HttpResponse answer;
  answer.Status = status;
  answer.Headers.push_back({"Content-Type", "application/json"});
  answer.Content = std::make_shared<const std::string>(
      body.dump(-1, ' ', false, json::error_handler_t::replace));
  return answer;
}

HttpResponse errorAnswer(int status, const std::string &reason) {
  return jsonAnswer(status, {{"error", reason}});
}

/// Returns a string member of a JSON object. Sets the reason if the member is
/// missing or not a string of allowed length.
std::string textOf(const json &object, const char *key, std::string &reason) {
  auto it = object.find(key);
  if (it != object.end() && it->is_string()) {
    auto text = it->get<std::string>();
    if (!text.empty() && text.size() <= MaxNameBytes)
      return text;
  }
  reason = std::string(key) + " must be a text of 1 to 200 bytes";
  return "";
}

std::optional<Announcement> parseAnnouncement(const std::string &body,
                                              std::string &reason) {
  json object = parseJson(body);
  if (!object.is_object()) {
    reason = "must be a JSON object";
    return std::nullopt;
  }
  Announcement out;
  out.Name = textOf(object, "name", reason);
  out.Service = qualifiedService(textOf(object, "workspace", reason),
                                 textOf(object, "service", reason));
  out.Address = textOf(object, "address", reason);
  if (reason.empty() && !parseAddress(out.Address))
    reason = "address must be IP:PORT";
  auto slots = object.find("slots");
  if (slots == object.end() || !slots->is_number_integer() ||
      slots->get<std::int64_t>() < 1 || slots->get<std::int64_t>() > MaxSlots)
    reason = "slots must be an integer from 1 to 10000";
  else
    out.Slots = slots->get<int>();
  auto incarnation = object.find("incarnation");
  if (incarnation == object.end() ||
      !(incarnation->is_string() || incarnation->is_number()))
    reason = "incarnation is missing";
  else
    out.Incarnation = incarnation->dump();
  std::string state = textOf(object, "state", reason);
  if (state != "ready" && state != "draining" && reason.empty())
    reason = "state must be ready or draining";
  out.IsDraining = state == "draining";
  return reason.empty() ? std::optional(out) : std::nullopt;
}

json faultsJson(const std::vector<SettingsFault> &faults) {
  json all = json::array();
  for (const SettingsFault &it : faults)
    all.push_back({{"where", it.Where}, {"reason", it.Reason}});
  return all;
}

std::optional<SettingsChange> parseChange(const std::string &body,
                                          std::string &reason) {
  json object = parseJson(body, JsonComments::Ignored);
  if (!object.is_object()) {
    reason = "must be a JSON object";
    return std::nullopt;
  }
  SettingsChange change;
  change.Id = textOf(object, "id", reason);
  change.Path = textOf(object, "path", reason);
  change.Author = object.value("author", std::string());
  auto base = object.find("base");
  if (base == object.end() || !base->is_number_integer())
    reason = "base must be an integer";
  else
    change.Base = base->get<std::int64_t>();
  if (!object.contains("value"))
    reason = "value is missing";
  else
    change.Value = object["value"];
  return reason.empty() ? std::optional(change) : std::nullopt;
}

HttpResponse invalidAnswer(const std::vector<SettingsFault> &faults) {
  return jsonAnswer(422,
                    {{"outcome", "invalid"}, {"faults", faultsJson(faults)}});
}

HttpResponse verdictAnswer(const std::optional<ChangeVerdict> &verdict) {
  if (!verdict)
    return jsonAnswer(
        503, {{"outcome", "unknown"},
              {"error", "the log did not answer in time; the change may still "
                        "take effect: publish it again with the same id"}});
  int status = verdict->Outcome == ChangeOutcome::Accepted ? 200 : 409;
  if (verdict->Outcome == ChangeOutcome::Invalid)
    status = 422;
  return jsonAnswer(status, {{"outcome", toString(verdict->Outcome)},
                             {"id", verdict->Id},
                             {"path", verdict->Path},
                             {"revision", verdict->Revision},
                             {"faults", faultsJson(verdict->Faults)}});
}

HttpResponse unavailableAnswer(const absl::Status &status) {
  return errorAnswer(503, std::string(status.message()));
}

HttpResponse announcedAnswer(const absl::StatusOr<std::int64_t> &generation) {
  if (!generation.ok())
    return unavailableAnswer(generation.status());
  return jsonAnswer(
      200, {{"generation", *generation}, {"heartbeat_ms", HeartbeatMs}});
}

HttpResponse metricsAnswer(const Metrics &metrics, const NodeGauges &node) {
  HttpResponse answer;
  answer.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  answer.Content = std::make_shared<const std::string>(metrics.text(node));
  return answer;
}

} // namespace

AdminFront::AdminFront(asio::io_context &io, Control &control, Metrics &metrics,
                       Events events)
    : Io(io), NodeControl(control), Counters(metrics),
      Handlers(std::move(events)) {}

asio::awaitable<HttpResponse> AdminFront::serve(HttpRequest request) {
  const std::string &target = request.Target;
  if (Handlers.ParseMessage) {
    EndpointMessage message = Handlers.ParseMessage(request);
    if (!std::holds_alternative<std::monostate>(message))
      co_return co_await handleEndpointMessage(std::move(message));
  }
  if (target == EndpointsPath && request.Method == "POST")
    co_return co_await announce(request);
  if (target.starts_with("/v1/endpoints/") && request.Method == "DELETE")
    co_return withdraw(target);
  json endpoints = Handlers.ReportGate();
  co_return co_await asio::co_spawn(
      Io, serveOperator(std::move(request), std::move(endpoints)),
      asio::use_awaitable);
}

asio::awaitable<HttpResponse> AdminFront::serveOperator(HttpRequest request,
                                                        json endpoints) {
  const std::string &target = request.Target;
  bool isGet = request.Method == "GET";
  if (target == "/v1/changes" && request.Method == "POST")
    co_return co_await change(request);
  if (target.starts_with(SettingsPath) && isGet)
    co_return settings(target);
  if (target == "/v1/status" && isGet)
    co_return jsonAnswer(200, status(std::move(endpoints)));
  if (target == "/metrics" && isGet)
    co_return metricsAnswer(Counters, NodeControl.gauges());
  co_return errorAnswer(404, "no such resource");
}

asio::awaitable<HttpResponse> AdminFront::serveMetrics(HttpRequest request) {
  bool isMetricsRequest =
      request.Target == "/metrics" && request.Method == "GET";
  if (!isMetricsRequest)
    co_return errorAnswer(404, "no such resource");
  co_return co_await asio::co_spawn(
      Io, serveOperator(std::move(request), json::array()),
      asio::use_awaitable);
}

json AdminFront::status(json endpoints) const {
  json all = NodeControl.report();
  all["own_endpoints"] = std::move(endpoints);
  return all;
}

asio::awaitable<HttpResponse> AdminFront::announce(const HttpRequest &request) {
  std::string reason;
  std::optional<Announcement> announcement =
      parseAnnouncement(*request.Content, reason);
  if (!announcement)
    co_return errorAnswer(400, reason);
  absl::StatusOr<std::int64_t> generation =
      co_await Handlers.OnAnnounce(std::move(*announcement));
  co_return announcedAnswer(generation);
}

asio::awaitable<HttpResponse>
AdminFront::handleEndpointMessage(EndpointMessage message) {
  if (auto *malformed = std::get_if<MalformedAnnouncement>(&message)) {
    logEvent(LogLevel::Warn, "announcement_malformed",
             {{"reason", malformed->Reason}});
    co_return errorAnswer(400, malformed->Reason);
  }
  if (auto *departure = std::get_if<Departure>(&message)) {
    DepartedRecord departed{departure->Name, departure->StartedAtMs};
    absl::Status status = co_await Handlers.OnDepart(std::move(departed));
    co_return status.ok() ? jsonAnswer(200, json::object())
                          : unavailableAnswer(status);
  }
  absl::StatusOr<std::int64_t> generation =
      co_await Handlers.OnAnnounce(std::get<Announcement>(std::move(message)));
  co_return announcedAnswer(generation);
}

HttpResponse AdminFront::withdraw(const std::string &target) {
  Handlers.OnWithdraw(target.substr(EndpointsPath.size() + 1));
  return jsonAnswer(200, json::object());
}

asio::awaitable<HttpResponse> AdminFront::change(const HttpRequest &request) {
  std::string reason;
  std::optional<SettingsChange> parsed = parseChange(*request.Content, reason);
  if (!parsed)
    co_return errorAnswer(400, reason);
  std::vector<SettingsFault> faults;
  if (!parsed->Value.is_null())
    faults = checkSettingsValue(parsed->Path, parsed->Value);
  if (!faults.empty())
    co_return invalidAnswer(faults);
  std::optional<ChangeVerdict> verdict =
      co_await NodeControl.settings().publish(*parsed, PublishTimeout);
  co_return verdictAnswer(verdict);
}

HttpResponse AdminFront::settings(const std::string &target) const {
  std::string path = target.substr(SettingsPath.size());
  if (path.empty())
    path = "/";
  if (std::string reason = settingsPathFault(path); !reason.empty())
    return errorAnswer(400, path + ": " + reason);
  const SettingsTree &tree = NodeControl.settings().state().Tree;
  json keys = json::object();
  for (const EffectiveValue &it : effectiveValues(tree, path))
    keys[it.Key] = {
        {"value", it.Value}, {"from", it.From}, {"revision", it.Revision}};
  auto node = tree.Nodes.find(path);
  json own = node == tree.Nodes.end() ? json() : node->second.Value;
  json children = json::array();
  std::string below = path == "/" ? path : path + "/";
  for (const auto &[at, it] : tree.Nodes)
    if (at != path && at.starts_with(below) && !it.Value.is_null())
      children.push_back(at);
  return jsonAnswer(200, {{"path", path},
                          {"revision", revisionOf(tree, path)},
                          {"own", own},
                          {"effective", keys},
                          {"below", children}});
}

} // namespace hickoryglade::fleet
