#pragma once

#include "libfleet/reporting/trafficcounters.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/settingsschema.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace hickoryglade::fleet {

/// Parts of a request's time at a gate.
enum class Stage { Queued, AtEndpoint };

/// A node's state at the time of a scrape.
struct NodeGauges {
  std::map<std::string, int> MembersByState;
  double SettingsVersion = 0;
  Micros SettingsInForce{0};
  Micros SourceAge{0};
  /// Time since the settings in force are known to have been the newest.
  Micros SettingsAge{0};
  std::int64_t SourceIncarnation = 0;
  bool IsSourceReachable = false;
};

/// A node's metrics. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void countAnswer(const std::string &service, int status, double seconds);
  void observeStage(const std::string &service, Stage stage, Micros time);
  void countEndpointRequest(const std::string &service);
  /// Sets the limit that a service's endpoints at this node name together.
  void setLimit(const std::string &service, std::optional<double> limit);
  void countLimitChange(const std::string &service, const std::string &change);
  /// Counts a request that a limit holds back, by effect: held or refused.
  void countLimited(const std::string &service, const std::string &effect);
  /// Counts a request that waits although a slot is free, since the slot is
  /// reserved for more urgent ones.
  void countReservedWait(const std::string &service);
  void countError(const std::string &kind);
  /// Counts an endpoint's answer that did not reach the caller, since its
  /// status would have told that the request has not run.
  void countWithheldAnswer(const std::string &service, int endpointStatus);
  /// Counts a request within its workspace's quota, by who admitted it.
  void countQuotaToken(const std::string &source);
  /// Counts a request above its workspace's quota, by who refused it.
  void countQuotaRefusal(const std::string &reason);
  void countRetryDecision(const std::string &reason);
  /// Counts a comparison of gates by the grant that was claimed: the first, a
  /// later one or none.
  void countComparison(const std::string &service, const std::string &claimed);
  /// Counts a run that its entry no longer waits for.
  void countAbandonedRun(const std::string &reason);
  /// Counts a run that has no entry or no gate any more: its entry's link was
  /// lost, or the process of its gate ends.
  void countOrphanedRun(const std::string &reason);
  void countStandingChange(const std::string &standing);
  /// Counts departures of endpoints: acknowledged, unconfirmed by the store, or
  /// restored from it.
  void countDeparture(const std::string &outcome, std::size_t n = 1);
  void countSettingsRecord(const std::string &outcome);
  /// Shows the values of the settings in force that were replaced by the
  /// nearest ones that can be applied.
  void setSettingsAdjustments(const std::vector<SettingsFault> &adjustments);
  void countLogFailure(const std::string &call);
  /// Observes the longest time that settings which have come into force can
  /// have been known to their source.
  void observeSettingsLag(Micros lag);
  TrafficCounters &traffic() { return Traffic; }

  /// Returns all metrics in the Prometheus text format, with the process's
  /// current resource usage.
  std::string text(const NodeGauges &node) const;

private:
  TrafficCounters Traffic;
  struct Families;
  std::shared_ptr<prometheus::Registry> Registry;
  std::unique_ptr<Families> All;
};

} // namespace hickoryglade::fleet
