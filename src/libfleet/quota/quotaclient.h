#pragma once

#include "libfleet/base/mailbox.h"
#include "libfleet/peers/peerlinks.h"
#include "libhickoryglade/errorkind.h"
#include "libhickoryglade/quota/quotalease.h"
#include "libhickoryglade/quota/quotaowners.h"
#include "libhickoryglade/random.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

class Metrics;

/// Keeps the requests of one entry within the quotas of their workspaces.
/// Has at most one message in flight for each workspace.
class QuotaClient {
public:
  QuotaClient(asio::any_io_executor ex, PeerLinks &links,
              const FleetViewPtr &view, Metrics &metrics);

  /// Takes a token for a request. Returns the refusal if there is none. Takes
  /// at most 200 ms and not longer than until the deadline.
  asio::awaitable<std::optional<Error>> admit(std::string workspace,
                                              Instant deadline);

  /// Returns the token of a request that reached no endpoint and was not run.
  void noteResult(const std::string &workspace, Instant takenAt, int arrivals,
                  const Error *error);

private:
  /// Decision on one request.
  struct Decision {
    bool IsAdmitted = false;
    std::string_view Source;
    Millis RetryAfter{0};
  };
  using Box = Mailbox<Decision>;

  struct Waiter {
    Instant ArrivedAt;
    std::shared_ptr<Box> Reply;
  };

  struct Record {
    QuotaLease Lease;
    std::list<Waiter> Waiting;
    bool IsAsking = false;
    bool IsOwnerLost = false;
  };

  /// Answer of one node, and the requests that the message was for.
  struct Answer {
    QuotaGrant Grant;
    Instant AskedAt;
  };

  asio::awaitable<void> serveWaiting(std::string workspace,
                                     std::shared_ptr<Record> record);
  asio::awaitable<bool> serveFrom(std::string workspace,
                                  std::shared_ptr<Record> record,
                                  std::string owner, bool isFallback);
  asio::awaitable<std::optional<Answer>> askNode(std::string workspace,
                                                 std::shared_ptr<Record> record,
                                                 std::string node,
                                                 bool isFallback);
  Decision decideAlone(const std::string &workspace, Record &record);
  std::optional<Error> report(const std::string &workspace,
                              const Decision &decision);
  void noteOwner(const std::string &workspace, Record &record,
                 const std::string &owner, bool isLost);
  asio::awaitable<void> dropIdle();

  asio::any_io_executor Executor;
  PeerLinks &Links;
  /// Reference to the entry's current view, which may be replaced while a
  /// request waits.
  const FleetViewPtr &View;
  Metrics &Counters;
  Random Rng;
  std::map<std::string, std::shared_ptr<Record>> Records;
  std::map<std::string, QuotaPath> Paths;
  bool IsDropping = false;
};

} // namespace hickoryglade::fleet
