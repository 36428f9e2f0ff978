#include "libhickoryglade/gatelimit.h"

namespace hickoryglade {

void setLimit(GateEndpoint &endpoint, std::optional<double> limit,
              GateActions &actions) {
  if (endpoint.Limit == limit)
    return;
  actions.push_back(LimitAction{endpoint.Announced.Name,
                                endpoint.Announced.Service, endpoint.Limit,
                                limit});
  endpoint.Limit = limit;
}

} // namespace hickoryglade
