#pragma once

#include "libhickoryglade/gate.h"

namespace hickoryglade {

/// Lower bound of the retry delay that refused callers receive.
constexpr Micros MinRetryAfter = std::chrono::milliseconds(200);

/// Retry delay for callers while a service has no endpoint at this gate.
constexpr Micros NoEndpointRetryAfter = std::chrono::seconds(1);

/// Retry delay with random jitter of up to 100 %, so that refused callers do
/// not retry at the same time.
Millis jitteredRetryAfter(Gate &gate, Micros wait);

/// Appends the refusal of an attempt.
void refuse(GateActions &actions, const std::string &attempt, Error reason);

/// Error for an attempt that has not run.
Error notRun(ErrorKind kind, std::string detail, Millis retryAfter);

/// True for content that has crashed an endpoint and runs one copy at a time.
bool isSerialized(const Gate &gate, const Ticket &ticket, Instant now);

/// True for a request with serialized content that its entry sent here before
/// it knew of the crash. Later copies go to the one gate that serializes them,
/// so this one must not run here at the same time.
bool isAtWrongGate(const Gate &gate, const GateService &service,
                   const Ticket &ticket, Instant now);

/// Error for a request for which isAtWrongGate holds.
Error wrongGateError();

/// True while another copy of serialized content runs, or while a crash report
/// of an earlier copy may still arrive.
bool isSerializedBusy(const Gate &gate, GateService &service,
                      const Ticket &ticket, Instant now);

/// Why the request cannot take a slot that is free; nothing if none is.
std::optional<HoldReason> holdReason(const Gate &gate,
                                     const GateService &service,
                                     const Ticket &ticket, Instant now);

/// Detail of the refusal of a request that must not wait.
std::string noSlotText(std::optional<HoldReason> hold);

/// True for a retry beyond this gate's part of the fleet's retry budget.
bool exceedsRepeatBudget(GateService &service, const Ticket &ticket,
                         Instant now);

/// Error of the admission policy, or nothing if the request may wait. Stores
/// the estimated wait in the ticket.
std::optional<Error> admissionError(Gate &gate, GateService &service,
                                    Ticket &ticket, Instant now);

/// Error of a request that is refused before a slot is looked for.
std::optional<Error> offerError(const Gate &gate, const Ticket &ticket,
                                Instant now);

} // namespace hickoryglade
