#include "libfleet/workspaces/calleridentity.h"

#include "libhickoryglade/retry.h"

#include <boost/beast/core/string.hpp>

namespace hickoryglade::fleet {

namespace {

void dropHeader(std::vector<HttpHeader> &headers, const std::string &name) {
  std::erase_if(headers, [&](const HttpHeader &it) {
    return boost::beast::iequals(it.Name, name);
  });
}

bool areKeysOutdated(const FleetView &view, const ServicePolicy &policy,
                     Instant now) {
  return policy.KeyMaxAge > Millis{0} &&
         now - view.AsOf->time() > policy.KeyMaxAge;
}

} // namespace

std::optional<Error> identifyCaller(const FleetView &view,
                                    const HttpDialect &dialect, Instant now,
                                    HttpRequest &request, Route &route) {
  ServicePolicy &policy = route.Policy;
  if (view.Workspaces->empty() && !policy.RequiresKey)
    return std::nullopt;
  std::string key = headerValue(request.Headers, dialect.KeyHeader);
  dropHeader(request.Headers, dialect.KeyHeader);
  dropHeader(request.Headers, dialect.WorkspaceHeader);
  bool isRanked = policy.Order == QueueOrder::Workspace;
  // Calls of endpoints use routes without keys. They hold up a request that has
  // a slot already, so no workspace goes before them.
  if (!policy.RequiresKey) {
    if (isRanked)
      policy.Priority = combinedPriority(0, policy.Priority);
    return std::nullopt;
  }
  if (areKeysOutdated(view, policy, now))
    return makeError(ErrorKind::KeysUnconfirmed, {}, DefaultRetryAfter);
  const Workspace *workspace =
      key.empty() ? nullptr : view.Workspaces->findByKey(key);
  if (!workspace)
    return makeError(ErrorKind::UnknownKey);
  request.Headers.push_back(
      {dialect.WorkspaceHeader, endpointName(*workspace)});
  route.Workspace = workspace->Name;
  if (isRanked)
    policy.Priority = combinedPriority(workspace->Priority, policy.Priority);
  return std::nullopt;
}

} // namespace hickoryglade::fleet
