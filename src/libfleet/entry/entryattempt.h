#pragma once

#include "libfleet/entry/entry.h"
#include "libhickoryglade/retry.h"

namespace hickoryglade::fleet {

/// How long past the caller's deadline an entry waits for the result of an
/// attempt.
constexpr Micros ResultGrace = std::chrono::milliseconds(30);

/// Pause between queries for the outcome of an attempt while the gate is
/// unreachable, and between searches for a candidate gate.
constexpr Micros ResolvePause = std::chrono::milliseconds(20);

/// Key of a gate's load for a service.
std::string loadKey(const std::string &node, const std::string &service);

/// Number of gates whose loads may be compared for a request; 0 if none.
int comparedGates(const RequestContext &context);

/// Error of a request that the node cannot complete before it exits.
Error shutdownError(RunState run);

/// True for a response that goes to the caller as it is. A server error is
/// retried first if the request is idempotent.
bool isFinalResponse(const EntryResult &result, bool isIdempotent);

/// One attempt of a request: its target gates and the streams opened to them.
struct Entry::Attempt {
  struct Target {
    GateView Gate;
    NodeView Node;
    std::shared_ptr<GateClient> Client;
    std::int64_t Stream = 0;
    bool IsOpen = false;
  };

  /// An outcome query that another node forwards to the gate.
  struct RelayedQuery {
    std::string Node;
    std::shared_ptr<GateClient> Client;
    std::int64_t Stream = 0;
  };

  RequestContext *Request = nullptr;
  std::string Id;
  std::vector<Target> Targets;
  /// Outcome queries sent through other nodes.
  std::vector<RelayedQuery> Relayed;
  std::shared_ptr<StreamMailbox> Box;
  /// Set while another attempt is under way because this one is overdue.
  std::shared_ptr<Replacement> ActiveReplacement;
  bool AwaitsGrant = false;
  bool OnlyIfFree = false;
  bool IsWaitBounded = false;
  bool IsSpill = false;
  bool IsSerialized = false;
  /// The grants of all targets are compared.
  bool IsComparison = false;
  /// A gate has granted a slot.
  bool IsGranted = false;
  /// When the request itself was sent to a gate.
  std::optional<Instant> SentAt;
  /// When the link to the gate was lost; the entry then asks the gate for the
  /// outcome.
  std::optional<Instant> LostAt;
  /// The gate was reached and asked after the loss.
  bool IsAsked = false;
  /// Why no other attempt started beside the lost one; empty if one did.
  std::string_view NotReplaced;
  /// Why the latest attempt beside this one has failed.
  std::optional<Error> ReplacementError;
  /// A StoppedEvent has been put into the mailbox.
  bool IsStopped = false;

  /// True while no gate can have started the attempt.
  bool isWaiting() const { return AwaitsGrant && !IsGranted; }

  /// True once the caller has disconnected or the node is about to exit.
  bool isOver() const { return IsStopped || Request->Scope->IsCancelled; }

  /// True while the gate has to be reached for the outcome.
  bool isSearching() const { return LostAt && !IsAsked; }

  /// How long to wait for an event before the entry looks for the gate again.
  Instant nextLook() const;

  /// Builds the frame that queries a gate for the outcome of the attempt.
  wire::Revoke makeRevoke(std::size_t target) const;

  Instant waitUntil() const { return Request->Deadline + ResultGrace; }
};

/// An attempt beside one that is overdue or may be lost, with its own copy of
/// the request, which may outlast the original.
struct Entry::Replacement {
  RequestContext Request;
  /// Counts of the request when the attempt started.
  int RunsBefore = 0;
  int ArrivalsBefore = 0;
  int CrashesBefore = 0;
  EntryResult Result = Error{};
};

} // namespace hickoryglade::fleet
