#pragma once

#include "libfleet/entry/entry.h"
#include "libhickoryglade/keytable.h"

#include <functional>

namespace hickoryglade::fleet {

/// Runs a request that carries an idempotency key: asks the key's keeper
/// first, and gives the first run's answer to resent copies.
class KeyedCall {
public:
  using Run = std::function<asio::awaitable<EntryResult>(Inquiry &)>;

  KeyedCall(asio::any_io_executor ex, PeerLinks &links,
            const FleetViewPtr &view);

  asio::awaitable<EntryResult> perform(Inquiry &inquiry, Run run);

private:
  /// What the keeper said; nothing if it could not be asked.
  asio::awaitable<std::optional<wire::KeyReply>>
  callKeeper(const Inquiry &inquiry, wire::KeyRequest request, Instant until);
  asio::awaitable<EntryResult> runAndRecord(Inquiry &inquiry, Run run);
  asio::awaitable<void> record(const Inquiry &inquiry,
                               const EntryResult &result);
  wire::KeyRequest makeRequest(const Inquiry &inquiry,
                               wire::KeyOperation::type operation) const;

  asio::any_io_executor Executor;
  PeerLinks &Links;
  /// The entry's present view, which may change while a call waits.
  const FleetViewPtr &View;
};

} // namespace hickoryglade::fleet
