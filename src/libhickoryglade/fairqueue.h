#pragma once

#include "libhickoryglade/queueorder.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Requests that wait for slots of one service, shared fairly between
/// workspaces by start-time fair queueing over slot time.
class FairQueue {
public:
  void push(Ticket ticket, int share, QueueOrder order);

  /// Takes the next ticket that may run; a workspace that has received less
  /// slot time per share goes first.
  std::optional<Ticket> pop(const std::function<bool(const Ticket &)> &mayRun);

  /// Returns false if the attempt does not wait here.
  bool remove(const std::string &attempt);

  /// Takes out the tickets whose deadline leaves no time to run.
  std::vector<Ticket> takeExpired(Instant now);

  std::vector<Ticket>
  takeWhere(const std::function<bool(const Ticket &)> &isTaken);

  std::vector<Ticket> takeAll();

  /// Slot time of the waiting tickets of its class that would run before a new
  /// one.
  Micros costAhead(const Ticket &ticket, int share, QueueOrder order) const;

  std::size_t size() const { return Count; }
  bool hasShort() const;

private:
  struct Flow {
    std::deque<Ticket> Tickets;
    int Share = 1;
    /// Slot time received per share, in microseconds.
    double VirtualTime = 0;
    /// Slot time that short and long tickets wait for.
    std::array<Micros, 2> PendingCost{};
  };

  /// A workspace that was idle starts level with the busy ones.
  double startVirtualTime() const;
  void removeEmpty(const std::string &workspace);

  std::map<std::string, Flow> Flows;
  std::size_t Count = 0;
  double LastVirtualTime = 0;
};

} // namespace hickoryglade
