#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Least wait that a refused caller is told.
constexpr Micros MinRetryAfter = std::chrono::milliseconds(200);

/// Wait that a caller is told while a service has no endpoint here.
constexpr Micros NoEndpointRetryAfter = std::chrono::seconds(1);

/// Spreads callers so that they do not come back together.
Millis jitteredRetryAfter(Gate &gate, Micros wait);

/// Tells the caller of an attempt that it will not run here.
void refuse(GateActions &actions, const std::string &attempt, Error reason);

/// An error of work that has not run.
Error notRun(ErrorKind kind, std::string detail, Millis retryAfter);

/// True for content that has crashed an endpoint and runs one copy at a time.
bool isSerialized(const Gate &gate, const Ticket &ticket, Instant now);

/// A copy that was sent off before its entry knew of the crash must not run
/// beside one that the others have been sent to.
bool isAtWrongGate(const Gate &gate, const GateService &service,
                   const Ticket &ticket, Instant now);

/// Why such a copy is turned away.
Error wrongGateError();

/// True while another copy of such content runs, or news of one may be due.
bool isSerializedBusy(const Gate &gate, GateService &service,
                      const Ticket &ticket, Instant now);

/// True for a repeat beyond this gate's part of the fleet's bound.
bool exceedsRepeatBudget(GateService &service, const Ticket &ticket,
                         Instant now);

/// Asks the admission policy; nothing if the request may wait. Enters the wait
/// that the queue promises into the ticket.
std::optional<Error> admissionError(Gate &gate, GateService &service,
                                    Ticket &ticket, int slots, Instant now);

/// Reasons to refuse a request before any slot is looked for.
std::optional<Error> offerError(const Gate &gate, const Ticket &ticket,
                                Instant now);

} // namespace hickoryglade
