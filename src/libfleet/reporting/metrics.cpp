#include "libfleet/reporting/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <mutex>
#include <ranges>
#include <utility>

#include <sys/resource.h>

namespace hickoryglade::fleet {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

/// Bounds the series that one document can add.
constexpr std::ptrdiff_t MaxAdjustmentSeries = 100;

prometheus::Family<prometheus::Counter> &
counterFamily(prometheus::Registry &registry, const char *name,
              const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name,
                         const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

prometheus::Counter &counter(prometheus::Registry &registry, const char *name,
                             const char *help) {
  return counterFamily(registry, name, help).Add({});
}

/// Raises a counter to a value that is counted elsewhere; it never decreases.
void setCounter(prometheus::Counter &counter, double value) {
  counter.Increment(std::max(value - counter.Value(), 0.0));
}

double secondsOf(Micros time) {
  return std::chrono::duration<double>(time).count();
}

double secondsOf(const timeval &time) {
  constexpr double microsPerSecond = 1e6;
  return double(time.tv_sec) + double(time.tv_usec) / microsPerSecond;
}

/// The series of one service, cached to look up their labels only once.
struct ServiceSeries {
  std::map<int, prometheus::Counter *> Answers;
  prometheus::Histogram *Latency = nullptr;
  prometheus::Histogram *Queued = nullptr;
  prometheus::Histogram *AtEndpoint = nullptr;
  prometheus::Counter *EndpointRequests = nullptr;
  /// Exists only while there is a limit.
  prometheus::Gauge *Limit = nullptr;
};

} // namespace

struct Metrics::Families {
  explicit Families(prometheus::Registry &registry)
      : Answers(counterFamily(registry, "hickoryglade_answers_total",
                              "Answers to callers by service and status")),
        EndpointRequests(
            counterFamily(registry, "hickoryglade_endpoint_requests_total",
                          "Requests sent to this node's endpoints by service")),
        Limits(prometheus::BuildGauge()
                   .Name("hickoryglade_endpoint_limit_per_second")
                   .Help("Requests per second that this node's endpoints of a "
                         "service take, while all of them name a limit")
                   .Register(registry)),
        LimitChanges(
            counterFamily(registry, "hickoryglade_endpoint_limit_changes_total",
                          "Limits named, changed and lifted by endpoints")),
        Limited(counterFamily(registry, "hickoryglade_limited_requests_total",
                              "Requests held or refused because of a limit")),
        ReservedWaits(counterFamily(
            registry, "hickoryglade_reserved_slot_waits_total",
            "Requests that wait although a slot is free, since it is reserved "
            "for more urgent ones")),
        Errors(counterFamily(registry, "hickoryglade_errors_total",
                             "Requests refused or failed by kind")),
        Withheld(counterFamily(
            registry, "hickoryglade_withheld_answers_total",
            "Answers of endpoints that callers would take for the statement "
            "that the request has not run, by service and status")),
        QuotaTokens(counterFamily(registry, "hickoryglade_quota_tokens_total",
                                  "Requests within quotas by the source of "
                                  "their tokens")),
        QuotaRefusals(
            counterFamily(registry, "hickoryglade_quota_refusals_total",
                          "Requests refused because of quotas by reason")),
        Retries(counterFamily(registry, "hickoryglade_retry_decisions_total",
                              "Decisions on failed attempts by reason")),
        Comparisons(
            counterFamily(registry, "hickoryglade_gate_comparisons_total",
                          "Comparisons of gates by service and the grant that "
                          "was claimed: the first, a later one or none")),
        Abandoned(counterFamily(registry, "hickoryglade_abandoned_runs_total",
                                "Attempts that their entry no longer waits "
                                "for by reason")),
        Orphaned(counterFamily(registry, "hickoryglade_orphaned_runs_total",
                               "Runs whose entry's link was lost or whose gate "
                               "ends by reason")),
        Standings(counterFamily(registry, "hickoryglade_standings_total",
                                "Changes of an endpoint's standing")),
        Departures(counterFamily(
            registry, "hickoryglade_departures_total",
            "Departures of this node's endpoints: acknowledged, unconfirmed by "
            "the store, or restored from it")),
        Settings(counterFamily(registry, "hickoryglade_settings_total",
                               "Settings records by outcome")),
        Adjusted(prometheus::BuildGauge()
                     .Name("hickoryglade_settings_adjusted")
                     .Help("1 for each value of the settings in force that was "
                           "replaced by the nearest one that can be applied")
                     .Register(registry)),
        SettingsLag(
            prometheus::BuildHistogram()
                .Name("hickoryglade_settings_lag_seconds")
                .Help("Longest possible time from the writing of settings to "
                      "their coming into force on this node")
                .Register(registry)
                .Add({}, LatencyBuckets)),
        LogFailures(counterFamily(registry, "hickoryglade_log_failures_total",
                                  "Failed calls of the log service")),
        Latency(prometheus::BuildHistogram()
                    .Name("hickoryglade_request_seconds")
                    .Help("Time from a request to its answer by service")
                    .Register(registry)),
        Stages(prometheus::BuildHistogram()
                   .Name("hickoryglade_stage_seconds")
                   .Help("Time of a request at a gate by service and stage")
                   .Register(registry)),
        Members(prometheus::BuildGauge()
                    .Name("hickoryglade_members")
                    .Help("Members by state")
                    .Register(registry)),
        SettingsVersion(gauge(registry, "hickoryglade_settings_version",
                              "Version up to which settings are in force")),
        SettingsInForce(gauge(registry,
                              "hickoryglade_settings_in_force_seconds",
                              "Time since the settings in force were taken")),
        SourceAge(gauge(registry, "hickoryglade_settings_source_age_seconds",
                        "Time since the settings' source last answered")),
        SettingsAge(gauge(registry, "hickoryglade_settings_as_of_seconds",
                          "Time since the settings in force are known to have "
                          "been the newest")),
        SourceIncarnation(gauge(registry, "hickoryglade_store_incarnation",
                                "Rises when the store comes back from an older "
                                "copy; 0 if it does not tell")),
        SourceUp(gauge(registry, "hickoryglade_settings_source_up",
                       "1 if the settings' source answered the last call")),
        Traffic(counterFamily(registry, "hickoryglade_node_sent_bytes_total",
                              "Bytes sent to other nodes by cause and whether "
                              "to another data centre")),
        ProcessorTime(counter(registry, "process_cpu_seconds_total",
                              "Processor time of the process")),
        Memory(gauge(registry, "process_max_resident_memory_bytes",
                     "Peak of the process's resident memory")) {}

  ServiceSeries &seriesOf(const std::string &service) {
    auto [it, isNew] = Series.try_emplace(service);
    if (isNew) {
      ServiceSeries &series = it->second;
      series.Latency = &Latency.Add({{"service", service}}, LatencyBuckets);
      series.Queued = &Stages.Add({{"service", service}, {"stage", "queued"}},
                                  LatencyBuckets);
      series.AtEndpoint = &Stages.Add(
          {{"service", service}, {"stage", "endpoint"}}, LatencyBuckets);
      series.EndpointRequests = &EndpointRequests.Add({{"service", service}});
    }
    return it->second;
  }

  std::mutex Mutex;
  std::map<std::string, ServiceSeries> Series;
  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Counter> &EndpointRequests;
  prometheus::Family<prometheus::Gauge> &Limits;
  prometheus::Family<prometheus::Counter> &LimitChanges;
  prometheus::Family<prometheus::Counter> &Limited;
  prometheus::Family<prometheus::Counter> &ReservedWaits;
  prometheus::Family<prometheus::Counter> &Errors;
  prometheus::Family<prometheus::Counter> &Withheld;
  prometheus::Family<prometheus::Counter> &QuotaTokens;
  prometheus::Family<prometheus::Counter> &QuotaRefusals;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &Comparisons;
  prometheus::Family<prometheus::Counter> &Abandoned;
  prometheus::Family<prometheus::Counter> &Orphaned;
  prometheus::Family<prometheus::Counter> &Standings;
  prometheus::Family<prometheus::Counter> &Departures;
  prometheus::Family<prometheus::Counter> &Settings;
  prometheus::Family<prometheus::Gauge> &Adjusted;
  std::vector<prometheus::Gauge *> Adjustments;
  prometheus::Histogram &SettingsLag;
  prometheus::Family<prometheus::Counter> &LogFailures;
  prometheus::Family<prometheus::Histogram> &Latency;
  prometheus::Family<prometheus::Histogram> &Stages;
  prometheus::Family<prometheus::Gauge> &Members;
  prometheus::Gauge &SettingsVersion;
  prometheus::Gauge &SettingsInForce;
  prometheus::Gauge &SourceAge;
  prometheus::Gauge &SettingsAge;
  prometheus::Gauge &SourceIncarnation;
  prometheus::Gauge &SourceUp;
  prometheus::Family<prometheus::Counter> &Traffic;
  prometheus::Counter &ProcessorTime;
  prometheus::Gauge &Memory;
};

Metrics::Metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      All(std::make_unique<Families>(*Registry)) {}

Metrics::~Metrics() = default;

void Metrics::countAnswer(const std::string &service, int status,
                          double seconds) {
  std::lock_guard lock(All->Mutex);
  ServiceSeries &series = All->seriesOf(service);
  prometheus::Counter *&answers = series.Answers[status];
  if (!answers)
    answers = &All->Answers.Add(
        {{"service", service}, {"status", std::to_string(status)}});
  answers->Increment();
  series.Latency->Observe(seconds);
}

void Metrics::observeStage(const std::string &service, Stage stage,
                           Micros time) {
  std::lock_guard lock(All->Mutex);
  ServiceSeries &series = All->seriesOf(service);
  (stage == Stage::Queued ? series.Queued : series.AtEndpoint)
      ->Observe(secondsOf(time));
}

void Metrics::countEndpointRequest(const std::string &service) {
  std::lock_guard lock(All->Mutex);
  All->seriesOf(service).EndpointRequests->Increment();
}

void Metrics::setLimit(const std::string &service,
                       std::optional<double> limit) {
  std::lock_guard lock(All->Mutex);
  prometheus::Gauge *&series = All->seriesOf(service).Limit;
  if (limit && !series)
    series = &All->Limits.Add({{"service", service}});
  if (limit)
    series->Set(*limit);
  else if (series)
    All->Limits.Remove(std::exchange(series, nullptr));
}

void Metrics::countLimitChange(const std::string &service,
                               const std::string &change) {
  All->LimitChanges.Add({{"service", service}, {"change", change}}).Increment();
}

void Metrics::countLimited(const std::string &service,
                           const std::string &effect) {
  All->Limited.Add({{"service", service}, {"effect", effect}}).Increment();
}

void Metrics::countReservedWait(const std::string &service) {
  All->ReservedWaits.Add({{"service", service}}).Increment();
}

void Metrics::countError(const std::string &kind) {
  All->Errors.Add({{"kind", kind}}).Increment();
}

void Metrics::countWithheldAnswer(const std::string &service,
                                  int endpointStatus) {
  All->Withheld
      .Add({{"service", service}, {"status", std::to_string(endpointStatus)}})
      .Increment();
}

void Metrics::countQuotaToken(const std::string &source) {
  All->QuotaTokens.Add({{"source", source}}).Increment();
}

void Metrics::countQuotaRefusal(const std::string &reason) {
  All->QuotaRefusals.Add({{"reason", reason}}).Increment();
}

void Metrics::countRetryDecision(const std::string &reason) {
  All->Retries.Add({{"reason", reason}}).Increment();
}

void Metrics::countComparison(const std::string &service,
                              const std::string &claimed) {
  All->Comparisons.Add({{"service", service}, {"claimed", claimed}})
      .Increment();
}

void Metrics::countAbandonedRun(const std::string &reason) {
  All->Abandoned.Add({{"reason", reason}}).Increment();
}

void Metrics::countOrphanedRun(const std::string &reason) {
  All->Orphaned.Add({{"reason", reason}}).Increment();
}

void Metrics::countStandingChange(const std::string &standing) {
  All->Standings.Add({{"standing", standing}}).Increment();
}

void Metrics::countDeparture(const std::string &outcome, std::size_t n) {
  All->Departures.Add({{"outcome", outcome}}).Increment(double(n));
}

void Metrics::countSettingsRecord(const std::string &outcome) {
  All->Settings.Add({{"outcome", outcome}}).Increment();
}

void Metrics::setSettingsAdjustments(
    const std::vector<SettingsFault> &adjustments) {
  std::lock_guard lock(All->Mutex);
  for (prometheus::Gauge *it : std::exchange(All->Adjustments, {}))
    All->Adjusted.Remove(it);
  for (const SettingsFault &it :
       adjustments | std::views::take(MaxAdjustmentSeries)) {
    prometheus::Gauge &series =
        All->Adjusted.Add({{"where", it.Where}, {"value", it.Reason}});
    series.Set(1);
    // Equal ones share a series.
    if (std::ranges::find(All->Adjustments, &series) == All->Adjustments.end())
      All->Adjustments.push_back(&series);
  }
}

void Metrics::countLogFailure(const std::string &call) {
  All->LogFailures.Add({{"call", call}}).Increment();
}

void Metrics::observeSettingsLag(Micros lag) {
  All->SettingsLag.Observe(secondsOf(lag));
}

std::string Metrics::text(const NodeGauges &node) const {
  for (const auto &[state, n] : node.MembersByState)
    All->Members.Add({{"state", state}}).Set(n);
  All->SettingsVersion.Set(node.SettingsVersion);
  All->SettingsInForce.Set(secondsOf(node.SettingsInForce));
  All->SourceAge.Set(secondsOf(node.SourceAge));
  All->SourceIncarnation.Set(double(node.SourceIncarnation));
  All->SettingsAge.Set(secondsOf(node.SettingsAge));
  All->SourceUp.Set(node.IsSourceReachable ? 1 : 0);
  for (std::size_t i = 0; i < TrafficCauses; ++i)
    for (bool isFar : {false, true}) {
      auto cause = static_cast<TrafficCause>(i);
      setCounter(All->Traffic.Add({{"cause", std::string(toString(cause))},
                                   {"scope", isFar ? "far" : "near"}}),
                 double(Traffic.bytes(cause, isFar)));
    }
  rusage used{};
  if (getrusage(RUSAGE_SELF, &used) == 0) {
    constexpr double bytesPerUnit = 1'024;
    setCounter(All->ProcessorTime,
               secondsOf(used.ru_utime) + secondsOf(used.ru_stime));
    All->Memory.Set(double(used.ru_maxrss) * bytesPerUnit);
  }
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace hickoryglade::fleet
