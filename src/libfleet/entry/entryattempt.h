#pragma once

#include "libfleet/entry/entry.h"
#include "libhickoryglade/retry.h"

namespace hickoryglade::fleet {

/// An entry waits this much longer than the caller for word of what became of
/// the request.
constexpr Micros ResultGrace = std::chrono::milliseconds(30);

/// Between tries to reach a gate that owes word of an attempt, and between
/// looks for a gate that can take a request.
constexpr Micros ResolvePause = std::chrono::milliseconds(20);

/// Key of a gate's load for a service.
std::string loadKey(const std::string &node, const std::string &service);

/// One try of a request: the gates asked, and the streams open to them.
struct Entry::Attempt {
  struct Target {
    GateView Gate;
    NodeView Node;
    std::shared_ptr<GateClient> Client;
    std::int64_t Stream = 0;
    bool IsOpen = false;
  };

  /// A question to the gate that another node passes on.
  struct RelayedQuery {
    std::string Node;
    std::shared_ptr<GateClient> Client;
    std::int64_t Stream = 0;
  };

  RequestContext *Request = nullptr;
  std::string Id;
  std::vector<Target> Targets;
  /// Questions through other nodes about what became of the attempt.
  std::vector<RelayedQuery> Relayed;
  std::shared_ptr<StreamMailbox> Box;
  bool AwaitsGrant = false;
  bool OnlyIfFree = false;
  bool IsWaitBounded = false;
  bool IsSpill = false;
  bool IsSerialized = false;
  /// A gate has granted a slot.
  bool IsGranted = false;
  /// It has been told that the node ends.
  bool IsStopped = false;

  /// True until a gate may have started it.
  bool isWaiting() const { return AwaitsGrant && !IsGranted; }

  /// Asks a gate what became of the attempt.
  wire::Revoke makeRevoke(std::size_t target) const;

  Instant waitUntil() const { return Request->Deadline + ResultGrace; }
};

} // namespace hickoryglade::fleet
