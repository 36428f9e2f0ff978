#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Limits the lines of each event per second, so that a burst cannot fill the
/// log with one event.
class LogBudget {
public:
  /// Dropped lines of one event.
  struct Dropped {
    std::string Event;
    int Lines = 0;

    bool operator==(const Dropped &) const = default;
  };

  /// Counts a line and returns true if it may be written.
  bool tryAcquire(const std::string &event, bool isFailure,
                  std::int64_t second);

  /// Returns the lines dropped before a second, each of them once.
  std::vector<Dropped> takeDropped(std::int64_t second);

private:
  struct Count {
    std::int64_t Second = 0;
    int Written = 0;
    int Unreported = 0;
  };

  std::map<std::string, Count> ByEvent;
};

} // namespace hickoryglade::fleet
