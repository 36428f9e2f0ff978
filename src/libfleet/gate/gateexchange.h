#pragma once

#include "libfleet/base/clock.h"
#include "libfleet/gate/gateservice.h"

namespace hickoryglade::fleet {

/// A request at this gate, from its ticket or call to its end.
struct GateService::Exchange {
  Ticket Request;
  StreamRef Origin;
  /// Streams that queried the result after the original link broke.
  std::vector<StreamRef> Followers;
  HttpRequest Http;
  std::string Content;
  /// Set once the body arrives in parts.
  std::optional<HeldBytes> Held;
  std::size_t ExpectedBytes = 0;
  bool HasCall = false;
  bool IsGranted = false;
  bool IsDone = false;
  std::string Endpoint;
  std::shared_ptr<ExchangeHandle> Handle = std::make_shared<ExchangeHandle>();
  Instant ArrivedAt = now();
  /// When the link to the entry was found to be lost.
  std::optional<Instant> LostAt;
  /// When the request was sent to the endpoint.
  std::optional<Instant> SentAt;
};

} // namespace hickoryglade::fleet
