#pragma once

#include "libfleet/http/httpmessage.h"
#include "libhickoryglade/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// Names and forms of what a node says to callers and endpoints beside the
/// requests and answers themselves. An empty name means that it is not said.
struct HttpDialect {
  /// Carries the request's id in answers to callers.
  std::string RequestIdHeader = "Request-Id";
  /// True if callers choose the id, which then goes to the endpoint as it is,
  /// and endpoints repeat it in their answers.
  bool IsIdFromCaller = false;
  /// Time that a caller allows, in milliseconds.
  std::string TimeoutHeader = "Request-Timeout-Ms";
  /// Time left when the request is sent to the endpoint, in milliseconds.
  std::string DeadlineHeader = "Request-Deadline-Ms";
  /// Name of the endpoint that is to run the request.
  std::string ExpectedEndpointHeader;
  /// Service on whose VM the request began.
  std::string CallerServiceHeader;
  /// Present in every answer that an endpoint has made to a request that it
  /// ran to a good end.
  std::string ProofHeader;
  /// True if an answer's body may end with its connection.
  bool MayLackLength = false;
  /// True if Retry-After may hold fractions of a second.
  bool IsRetryAfterFractional = false;
  /// True for an endpoint's answer that says that it has not run the request.
  bool (*IsNotRun)(const HttpResponse &answer) = nullptr;
};

/// The product's own dialect, see docs/CONTRACT.md.
const HttpDialect &defaultDialect();

/// Whether an answer read from an endpoint's connection belongs to a request.
enum class ResponseMatch {
  Own,
  /// A late answer to an earlier request.
  Late,
  /// Not what a sound endpoint would say.
  Unusable,
};

ResponseMatch matchResponse(const HttpDialect &dialect,
                            const HttpResponse &answer,
                            const std::string &requestId);

/// True if an answer repeats the request's id. Only then may its connection be
/// used again: a late second copy of it could not be told from the next answer.
bool repeatsId(const HttpDialect &dialect, const HttpResponse &answer,
               const std::string &requestId);

/// Value of a Retry-After header.
std::string formatRetryAfter(const HttpDialect &dialect, Millis wait);

/// Drops the headers that only a node may set.
void dropNodeHeaders(const HttpDialect &dialect,
                     std::vector<HttpHeader> &headers);

} // namespace hickoryglade::fleet
