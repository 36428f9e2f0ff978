#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// Bounds the lines of each event in a second, so that a load cannot fill the
/// log with one kind of line.
class LogBudget {
public:
  /// Lines of one event that were left out in a second.
  struct Dropped {
    std::string Event;
    int Lines = 0;

    bool operator==(const Dropped &) const = default;
  };

  /// True if the line may be written.
  bool tryAcquire(const std::string &event, bool isFailure,
                  std::int64_t second);

  /// What was left out before a second; each is given once.
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
