#pragma once

#include "libhickoryglade/overload/workspaceorder.h"
#include "libhickoryglade/queueorder.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade {

/// Queue of the requests that wait for slots of one service. It divides slot
/// time between workspaces by start-time fair queueing.
class FairQueue {
public:
  void push(Ticket ticket, int share, QueueOrder order);

  /// Removes and returns the next ticket that may run, first from the workspace
  /// that has received the least slot time per share.
  std::optional<Ticket> pop(const std::function<bool(const Ticket &)> &mayRun);

  /// The same in the order `workspace`.
  std::optional<Ticket>
  popRanked(const std::function<bool(const Ticket &)> &mayRun, Instant now);

  /// Returns false if the attempt is not in the queue.
  bool remove(const std::string &attempt);

  /// Marks a waiting ticket as the last try of its request.
  void markLastTry(const std::string &attempt);

  /// Removes and returns the tickets whose deadline leaves no time to run.
  std::vector<Ticket> takeExpired(Instant now);

  std::vector<Ticket>
  takeWhere(const std::function<bool(const Ticket &)> &isTaken);

  std::vector<Ticket> takeAll();

  /// Slot time of the waiting tickets of the same class that would run before
  /// a new ticket.
  Micros costAhead(const Ticket &ticket, int share, QueueOrder order) const;

  /// Number of waiting tickets that would run before a new ticket.
  std::size_t countAhead(const Ticket &ticket, int share,
                         QueueOrder order) const;

  std::size_t size() const { return Count; }
  bool hasShort() const;

private:
  /// Waiting tickets of one workspace.
  struct Flow {
    std::deque<Ticket> Tickets;
    int Share = 1;
    /// Slot time received per share, in microseconds.
    double VirtualTime = 0;
    /// Sums of the costs of waiting short and long tickets.
    std::array<Micros, 2> PendingCost{};
  };

  /// Virtual time of a new flow: that of the busy flows, so that a workspace
  /// gains no credit while it is idle.
  double startVirtualTime() const;
  void removeEmpty(const std::string &workspace);

  /// Sum of a measure over the waiting tickets that the order `workspace` puts
  /// before a new ticket; `least` is the measure of the smallest ticket.
  double
  rankedAhead(const Ticket &ticket, int share, double least,
              const std::function<double(const Ticket &)> &measure) const;

  std::map<std::string, Flow> Flows;
  std::size_t Count = 0;
  double LastVirtualTime = 0;
  WorkspaceOrder Ranked;
};

} // namespace hickoryglade
