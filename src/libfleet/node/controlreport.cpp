#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// Status report and gauges of a node's control plane.

namespace hickoryglade::fleet {

namespace {

using nlohmann::json;

/// Long enough to keep this log's volume far below that of requests.
constexpr Micros TrafficLogPeriod = std::chrono::seconds(10);

json endpointJson(const EndpointRecord &it) {
  return {{"name", it.Name},
          {"service", it.Service},
          {"slots", it.Slots},
          {"generation", it.Generation},
          {"standing", toString(it.State)}};
}

json memberJson(const Member &member) {
  const MemberRecord &record = member.Record;
  json endpoints = json::array();
  std::ranges::transform(record.Endpoints, std::back_inserter(endpoints),
                         endpointJson);
  return {{"node", record.Node},
          {"boot_id", record.BootId},
          {"state", toString(member.State)},
          {"leaving", record.IsLeaving},
          {"data_centre", record.DataCentre},
          {"fleet", record.FleetAddress},
          {"admin", record.AdminAddress},
          {"settings_next", record.SettingsNext},
          {"endpoints", std::move(endpoints)}};
}

/// Services with the gates and slots that entries choose from, by the view that
/// was last published to them.
json routesJson(const FleetView &view) {
  json all = json::array();
  for (const auto &[name, service] : view.Services) {
    int slots = 0;
    for (const GateView &it : service.Gates)
      slots += it.Slots;
    all.push_back(
        {{"service", name}, {"gates", service.Gates.size()}, {"slots", slots}});
  }
  return all;
}

} // namespace

NodeGauges Control::gauges() const {
  NodeGauges out;
  for (MemberState it :
       {MemberState::Alive, MemberState::Suspect, MemberState::Dead})
    out.MembersByState[std::string(toString(it))] = 0;
  for (const auto &[node, member] : Members.state().Members)
    ++out.MembersByState[std::string(toString(member.State))];
  out.SettingsVersion = double(Settings.state().Next);
  out.SettingsInForce = now() - Settings.inForceSince();
  out.SourceAge = now() - Settings.sourceAnsweredAt();
  out.SettingsAge = now() - Settings.freshness().AsOf;
  out.SourceIncarnation = Settings.sourceIncarnation();
  out.IsSourceReachable = Settings.isLogReachable();
  return out;
}

/// Returns the bytes of membership messages sent.
std::uint64_t Control::gossipBytes() const {
  return Traffic.bytes(TrafficCause::Membership, false) +
         Traffic.bytes(TrafficCause::Membership, true);
}

/// Periodically logs the bytes sent so far for each cause, to other data
/// centres and within the own.
void Control::logTraffic() {
  TrafficTimer.expires_after(TrafficLogPeriod);
  TrafficTimer.async_wait([this](const error_code &ec) {
    if (ec)
      return;
    json far = json::object();
    json near = json::object();
    for (std::size_t i = 0; i < TrafficCauses; ++i) {
      auto cause = static_cast<TrafficCause>(i);
      std::string name(toString(cause));
      if (std::uint64_t n = Traffic.bytes(cause, true))
        far[name] = n;
      if (std::uint64_t n = Traffic.bytes(cause, false))
        near[name] = n;
    }
    logEvent(LogLevel::Info, "traffic",
             {{"far_bytes", std::move(far)}, {"near_bytes", std::move(near)}});
    logTraffic();
  });
}

nlohmann::json Control::report() const {
  json members = json::array();
  for (const auto &[node, member] : Members.state().Members)
    members.push_back(memberJson(member));
  json crashes = json::array();
  for (const auto &[fingerprint, it] : Crashes.Records)
    crashes.push_back({{"fingerprint", fingerprintName(fingerprint)},
                       {"crashes", it.unexplained()},
                       {"remaining_ms", toMillis(it.Expiry - now()).count()}});
  json keepers = json::array();
  for (const LeaseHolder &it : keeperRoster(Leases.agent().Ledger))
    keepers.push_back(it.Node);
  json ejections = json::array();
  for (const auto &[subject, lease] : Leases.agent().Ledger.Leases)
    if (subject.Kind == LeaseKind::Ejection)
      ejections.push_back({{"service", subject.Service},
                           {"endpoint", subject.Name},
                           {"holder", lease.Holder.Node}});
  json refused;
  if (const auto &it = Settings.refused())
    refused = {{"version", it->Version},
               {"where", it->Faults.front().Where},
               {"reason", it->Faults.front().Reason},
               {"faults", it->Faults.size()},
               {"ms_ago", toMillis(now() - it->At).count()}};
  return {
      {"settings_refused", std::move(refused)},
      {"keepers", std::move(keepers)},
      {"ejections", std::move(ejections)},
      {"node", Config.Node},
      {"ready", IsReady},
      {"routes", routesJson(*View)},
      {"settings_next", Settings.state().Next},
      {"gossip_bytes_sent", gossipBytes()},
      {"settings_loaded", Settings.isLoaded()},
      {"settings_in_force_ms",
       toMillis(now() - Settings.inForceSince()).count()},
      {"source_age_ms", toMillis(now() - Settings.sourceAnsweredAt()).count()},
      {"settings_as_of_ms",
       toMillis(now() - Settings.freshness().AsOf).count()},
      {"store_incarnation", Settings.sourceIncarnation()},
      {"log_reachable", Settings.isLogReachable()},
      {"members", std::move(members)},
      {"quarantine", std::move(crashes)}};
}

} // namespace hickoryglade::fleet
