#include "libfleet/http/httpdialect.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace hickoryglade::fleet {

namespace {

constexpr double MillisPerSecond = 1'000;
constexpr int ServiceUnavailable = 503;

bool isDefaultNotRun(const HttpResponse &response) {
  return response.Status == ServiceUnavailable &&
         headerValue(response.Headers, "Endpoint-Shed") == "not-run";
}

HttpDialect makeDefaultDialect() {
  HttpDialect dialect;
  dialect.IsNotRun = isDefaultNotRun;
  return dialect;
}

bool isSuccess(const HttpResponse &response) {
  return response.Status / 100 == 2;
}

} // namespace

const HttpDialect &defaultDialect() {
  static const HttpDialect it = makeDefaultDialect();
  return it;
}

ResponseMatch matchResponse(const HttpDialect &dialect,
                            const HttpResponse &response,
                            const std::string &requestId) {
  std::string id = headerValue(response.Headers, dialect.RequestIdHeader);
  if (!id.empty() && id != requestId)
    return ResponseMatch::Late;
  if (!dialect.IsIdFromCaller)
    return ResponseMatch::Own;
  bool hasProof = !headerValue(response.Headers, dialect.ProofHeader).empty();
  bool isEncoded = !headerValue(response.Headers, "Content-Encoding").empty();
  if (id.empty() || isEncoded || (isSuccess(response) && !hasProof))
    return ResponseMatch::Unusable;
  return ResponseMatch::Own;
}

bool repeatsId(const HttpDialect &dialect, const HttpResponse &response,
               const std::string &requestId) {
  return headerValue(response.Headers, dialect.RequestIdHeader) == requestId;
}

bool impliesNotRun(const HttpDialect &dialect, int status) {
  return dialect.ImpliesNotRun && dialect.ImpliesNotRun(status);
}

std::string formatRetryAfter(const HttpDialect &dialect, Millis wait) {
  double seconds = double(wait.count()) / MillisPerSecond;
  if (!dialect.IsRetryAfterFractional)
    return std::to_string(std::int64_t(std::ceil(seconds)));
  std::string millis = std::to_string(wait.count() % 1'000);
  return std::to_string(wait.count() / 1'000) + "." +
         std::string(3 - millis.size(), '0') + millis;
}

void dropNodeHeaders(const HttpDialect &dialect,
                     std::vector<HttpHeader> &headers) {
  const std::array names = {dialect.DeadlineHeader, dialect.TimeoutHeader,
                            dialect.ExpectedEndpointHeader,
                            dialect.CallerServiceHeader};
  std::erase_if(headers, [&](const HttpHeader &it) {
    return std::ranges::any_of(names, [&](const std::string &name) {
      return !name.empty() && boost::beast::iequals(it.Name, name);
    });
  });
}

} // namespace hickoryglade::fleet
