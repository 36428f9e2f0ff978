#include "libhickoryglade/errorkind.h"

#include <array>
#include <cstddef>

namespace hickoryglade {

namespace {

constexpr RunState NotRun = RunState::NotRun;
constexpr RunState Unknown = RunState::Unknown;

constexpr std::array<ErrorInfo, 32> Answers{{
    {ErrorKind::BadRequest, "bad_request", 400, NotRun, false,
     "The request is malformed"},
    {ErrorKind::HeadersTooLarge, "headers_too_large", 431, NotRun, false,
     "The request headers exceed the limit"},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, NotRun, false,
     "The request body exceeds the limit"},
    {ErrorKind::NoRoute, "no_route", 404, NotRun, false,
     "No route matches the host and path"},
    {ErrorKind::NoSettings, "no_settings", 503, NotRun, true,
     "The node has not received the settings yet"},
    {ErrorKind::NoEndpoint, "no_endpoint", 503, NotRun, true,
     "No endpoint of the service is able to serve"},
    {ErrorKind::Overloaded, "overloaded", 503, NotRun, true,
     "The expected wait exceeds the deadline"},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Unknown, true,
     "The deadline passed"},
    {ErrorKind::EndpointFailed, "endpoint_failed", 502, Unknown, true,
     "The endpoint failed while serving"},
    {ErrorKind::AnswerTruncated, "answer_truncated", 502, Unknown, true,
     "The endpoint broke off its answer"},
    {ErrorKind::GateLost, "gate_lost", 502, Unknown, true,
     "The node in front of the endpoint was lost"},
    {ErrorKind::GrantLapsed, "grant_lapsed", 503, NotRun, true,
     "The slot held for the request lapsed"},
    {ErrorKind::WrongGeneration, "wrong_generation", 503, NotRun, true,
     "The node or endpoint has been replaced"},
    {ErrorKind::Quarantined, "quarantined", 422, NotRun, true,
     "The request has crashed endpoints and is quarantined"},
    {ErrorKind::KeyReused, "key_reused", 422, NotRun, false,
     "The idempotency key belongs to another request"},
    {ErrorKind::KeyUnvouched, "key_unvouched", 409, Unknown, true,
     "Whether the idempotency key has run cannot be known"},
    {ErrorKind::KeyAnswerGone, "key_answer_gone", 409, Unknown, false,
     "The work has run; its answer is no longer kept"},
    {ErrorKind::KeeperUnavailable, "keeper_unavailable", 503, NotRun, true,
     "The keeper of the idempotency key cannot be reached"},
    {ErrorKind::ShuttingDown, "shutting_down", 503, NotRun, true,
     "The node is shutting down"},
    {ErrorKind::Cancelled, "cancelled", 499, Unknown, false,
     "The caller went away"},
    {ErrorKind::EndpointShed, "endpoint_shed", 503, NotRun, true,
     "The endpoint refused the request without running it"},
    {ErrorKind::Internal, "internal", 500, Unknown, true,
     "The fleet failed in an unforeseen way"},
    {ErrorKind::SlotTaken, "slot_taken", 503, NotRun, true,
     "The slot that was thought free has been taken"},
    {ErrorKind::RequestTimeout, "request_timeout", 408, NotRun, true,
     "The caller took too long to send the request"},
    {ErrorKind::EndpointDoubtful, "endpoint_doubtful", 503, NotRun, true,
     "The endpoint fails and takes only trials"},
    {ErrorKind::RetriesExhausted, "retries_exhausted", 503, NotRun, true,
     "The service's endpoints see too many retries"},
    {ErrorKind::ContentSuspect, "content_suspect", 503, NotRun, true,
     "The content has crashed an endpoint and runs at one gate only"},
    {ErrorKind::EndpointLimited, "endpoint_limited", 503, NotRun, true,
     "The limits that the endpoints name let it start too late"},
    {ErrorKind::AnswerTooLong, "answer_too_long", 502, Unknown, true,
     "The endpoint's answer exceeds the memory for answers"},
    {ErrorKind::UnknownKey, "unknown_key", 401, NotRun, false,
     "The route requires the key of a workspace"},
    {ErrorKind::QuotaExceeded, "quota_exceeded", 429, NotRun, true,
     "The workspace has used up its quota"},
    {ErrorKind::KeysUnconfirmed, "keys_unconfirmed", 503, NotRun, true,
     "The node cannot confirm that its keys are current"},
}};

} // namespace

const ErrorInfo &errorInfo(ErrorKind kind) {
  return Answers[static_cast<std::size_t>(kind)];
}

ErrorKind errorKindFromWire(int value) {
  if (value < 0 || value >= static_cast<int>(Answers.size()))
    return ErrorKind::Internal;
  return static_cast<ErrorKind>(value);
}

Error makeError(ErrorKind kind, std::string detail, Millis retryAfter) {
  return {kind, errorInfo(kind).DefaultRun, std::move(detail), retryAfter};
}

int statusOf(const Error &error) {
  constexpr int badGateway = 502;
  constexpr int unavailable = 503;
  constexpr int gatewayTimeout = 504;
  int status = errorInfo(error.Kind).Status;
  bool impliesNotRun = status == unavailable || status == 408 || status == 429;
  bool impliesUnknown = status == badGateway || status == gatewayTimeout;
  if (error.Run == RunState::Unknown && impliesNotRun)
    return badGateway;
  if (error.Run == RunState::NotRun && impliesUnknown)
    return unavailable;
  return status;
}

std::string_view toString(RunState run) {
  return run == RunState::NotRun ? "not_run" : "unknown";
}

} // namespace hickoryglade
