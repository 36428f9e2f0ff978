#pragma once

#include "libhickoryglade/ticket.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryglade {

/// Virtual time of start-time fair queueing between the workspaces of one
/// priority, in microseconds of slot time per share.
struct FairClock {
  /// Start tag of the latest start.
  double Now = 0;
  /// By workspace, the virtual time at which its latest start ends. Those that
  /// are not ahead of the clock are dropped.
  std::map<std::string, double> Finish;
};

/// State of the queue order `workspace`.
struct WorkspaceOrder {
  /// By priority.
  std::map<int, FairClock> Clocks;
  /// Latest starts in a row that passed over the longest-waiting ticket.
  int PassedOver = 0;
  Instant StartedAt;
};

/// The order in which waiting tickets are tried for a start: by priority, then
/// by the virtual time of their workspaces, then by target. When the turn of
/// the longest-waiting ones has come, those that can meet their deadlines go
/// first and are marked as due; the mark of all others is cleared.
std::vector<Ticket *> inStartOrder(const WorkspaceOrder &order,
                                   const std::vector<Ticket *> &waiting,
                                   Instant now);

/// Records the start of one of the waiting tickets, which has this slot time
/// and whose workspace has this share.
void noteStart(WorkspaceOrder &order, const Ticket &started,
               const std::vector<Ticket *> &waiting, Micros cost, int share,
               Instant now);

} // namespace hickoryglade
