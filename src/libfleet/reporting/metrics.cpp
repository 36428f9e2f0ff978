#include "libfleet/reporting/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hickoryglade::fleet {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

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

} // namespace

struct Metrics::Families {
  explicit Families(prometheus::Registry &registry)
      : Answers(counterFamily(registry, "hickoryglade_answers_total",
                              "Answers to callers by service and status")),
        Errors(counterFamily(registry, "hickoryglade_errors_total",
                             "Requests refused or failed by kind")),
        Retries(counterFamily(registry, "hickoryglade_retry_decisions_total",
                              "Decisions on failed attempts by reason")),
        Standings(counterFamily(registry, "hickoryglade_standings_total",
                                "Changes of an endpoint's standing")),
        Settings(counterFamily(registry, "hickoryglade_settings_total",
                               "Settings records by outcome")),
        LogFailures(counterFamily(registry, "hickoryglade_log_failures_total",
                                  "Failed calls of the log service")),
        Latency(prometheus::BuildHistogram()
                    .Name("hickoryglade_request_seconds")
                    .Help("Time from a request to its answer by service")
                    .Register(registry)),
        Members(gauge(registry, "hickoryglade_members",
                      "Members that are not known to be dead")),
        SettingsNext(gauge(registry, "hickoryglade_settings_next_offset",
                           "Offset up to which settings are in force")) {}

  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Counter> &Errors;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &Standings;
  prometheus::Family<prometheus::Counter> &Settings;
  prometheus::Family<prometheus::Counter> &LogFailures;
  prometheus::Family<prometheus::Histogram> &Latency;
  prometheus::Gauge &Members;
  prometheus::Gauge &SettingsNext;
};

Metrics::Metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      All(std::make_unique<Families>(*Registry)) {}

Metrics::~Metrics() = default;

void Metrics::countAnswer(const std::string &service, int status,
                          double seconds) {
  All->Answers.Add({{"service", service}, {"status", std::to_string(status)}})
      .Increment();
  All->Latency.Add({{"service", service}}, LatencyBuckets).Observe(seconds);
}

void Metrics::countError(const std::string &kind) {
  All->Errors.Add({{"kind", kind}}).Increment();
}

void Metrics::countRetry(const std::string &reason) {
  All->Retries.Add({{"reason", reason}}).Increment();
}

void Metrics::countStanding(const std::string &standing) {
  All->Standings.Add({{"standing", standing}}).Increment();
}

void Metrics::countSettings(const std::string &outcome) {
  All->Settings.Add({{"outcome", outcome}}).Increment();
}

void Metrics::countLogFailure(const std::string &what) {
  All->LogFailures.Add({{"call", what}}).Increment();
}

void Metrics::setMembers(double alive) { All->Members.Set(alive); }

void Metrics::setSettingsNext(double offset) { All->SettingsNext.Set(offset); }

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace hickoryglade::fleet
