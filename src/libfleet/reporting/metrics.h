#pragma once

#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace hickoryglade::fleet {

/// What a node counts. Safe to use from every thread.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void countAnswer(const std::string &service, int status, double seconds);
  void countError(const std::string &kind);
  void countRetry(const std::string &reason);
  void countStanding(const std::string &standing);
  void countSettings(const std::string &outcome);
  void countLogFailure(const std::string &what);
  void setMembers(double alive);
  void setSettingsNext(double offset);

  /// Prometheus text format.
  std::string text() const;

private:
  struct Families;
  std::shared_ptr<prometheus::Registry> Registry;
  std::unique_ptr<Families> All;
};

} // namespace hickoryglade::fleet
