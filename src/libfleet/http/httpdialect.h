#pragma once

#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// Header names and conventions that a node uses towards callers and endpoints.
/// A header whose name is empty is not used.
struct HttpDialect {
  /// Carries the request id in responses to callers.
  std::string RequestIdHeader = "Request-Id";
  /// True if callers set the request id, which is forwarded unchanged, and
  /// endpoints repeat it in their responses.
  bool IsIdFromCaller = false;
  /// The caller's timeout in milliseconds.
  std::string TimeoutHeader = "Request-Timeout-Ms";
  /// Time left when the request is sent to the endpoint, in milliseconds.
  std::string DeadlineHeader = "Request-Deadline-Ms";
  /// Name of the endpoint that is to run the request.
  std::string ExpectedEndpointHeader;
  /// Service on whose VM the caller runs.
  std::string CallerServiceHeader;
  /// The caller's key, where settings require one. Never sent to endpoints.
  std::string KeyHeader = "Workspace-Key";
  /// Name of the caller's workspace, for endpoints.
  std::string WorkspaceHeader = "Workspace";
  /// Present in every response of an endpoint to a request that it executed
  /// successfully.
  std::string ProofHeader;
  /// Requests per second that an endpoint takes, in its responses.
  std::string LimitHeader = "Endpoint-Limit";
  /// Set to 1 in the responses of an endpoint that is about to stop.
  std::string LeavingHeader = "Endpoint-Leaving";
  /// True if a response body may be delimited by the end of its connection.
  bool MayLackLength = false;
  /// True if Retry-After may hold fractions of a second.
  bool IsRetryAfterFractional = false;
  /// True for a response in which an endpoint reports that it has not run the
  /// request.
  bool (*IsNotRun)(const HttpResponse &response) = nullptr;
  /// True for a status that tells callers that their request has not run and
  /// will not run. Not set if no status by itself does.
  bool (*ImpliesNotRun)(int status) = nullptr;
};

/// The product's default dialect, see docs/CONTRACT.md.
const HttpDialect &defaultDialect();

/// Whether a response read from an endpoint's connection belongs to a request.
enum class ResponseMatch {
  Own,
  /// A late response to an earlier request.
  Late,
  /// A response that a correct endpoint would not send.
  Unusable,
};

ResponseMatch matchResponse(const HttpDialect &dialect,
                            const HttpResponse &response,
                            const std::string &requestId);

/// True if a response repeats the request id. Only then may its connection be
/// reused: without an id, a late duplicate could not be distinguished from the
/// next response.
bool repeatsId(const HttpDialect &dialect, const HttpResponse &response,
               const std::string &requestId);

/// True if callers would take a status for the statement that the request has
/// not run.
bool impliesNotRun(const HttpDialect &dialect, int status);

/// Value of a Retry-After header.
std::string formatRetryAfter(const HttpDialect &dialect, Millis wait);

/// Removes the headers that only a node may set.
void dropNodeHeaders(const HttpDialect &dialect,
                     std::vector<HttpHeader> &headers);

} // namespace hickoryglade::fleet
