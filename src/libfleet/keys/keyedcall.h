#pragma once

#include "libfleet/entry/entry.h"
#include "libhickoryglade/keytable.h"

#include <functional>

namespace hickoryglade::fleet {

/// Runs a request that carries an idempotency key. Reserves the key at its
/// keeper first; a retry of a request that has already run gets the stored
/// answer.
class KeyedCall {
public:
  using Run = std::function<asio::awaitable<EntryResult>(RequestContext &)>;

  KeyedCall(asio::any_io_executor ex, PeerLinks &links,
            const FleetViewPtr &view);

  asio::awaitable<EntryResult> perform(RequestContext &context, Run run);

private:
  /// Sends a request to the key's keeper. Returns nothing if the keeper is not
  /// known or does not reply in time.
  asio::awaitable<std::optional<wire::KeyReply>>
  callKeeper(const RequestContext &context, wire::KeyRequest request,
             Instant until);
  asio::awaitable<EntryResult> runAndRecord(RequestContext &context, Run run);
  asio::awaitable<void> record(const RequestContext &context,
                               const EntryResult &result);
  wire::KeyRequest makeRequest(const RequestContext &context,
                               wire::KeyOperation::type operation) const;

  asio::any_io_executor Executor;
  PeerLinks &Links;
  /// Reference to the entry's current view, which may be replaced while a call
  /// waits.
  const FleetViewPtr &View;
};

/// Result of a request whose key a keeper has stored a response for.
/// KeyAnswerGone if the response is not valid.
EntryResult replayStored(const wire::StoredAnswer &stored);

} // namespace hickoryglade::fleet
