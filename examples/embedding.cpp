#include "libhickoryglade/gate.h"

#include <iostream>

/// Minimal use of the kernel: one gate, one endpoint, one request.

int main() {
  using namespace hickoryglade;
  Instant now{std::chrono::seconds(1)};
  Gate gate;
  announce(gate, {"endpoint-1", "shop/orders", "127.0.0.1:80", 3, "1", false},
           now);
  Ticket ticket;
  ticket.AttemptId = "request-1/1";
  ticket.Workspace = "shop";
  ticket.Service = "shop/orders";
  ticket.Deadline = now + std::chrono::seconds(5);
  for (const GateAction &action : offer(gate, ticket, now))
    if (const auto *start = std::get_if<StartAction>(&action))
      std::cout << "send " << start->AttemptId << " to " << start->Endpoint
                << "\n";
  complete(gate, ticket.AttemptId, AttemptOutcome::Answered, now);
  return isIdle(gate) ? 0 : 1;
}
