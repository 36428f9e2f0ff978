#include "libhickoryglade/servicepolicy.h"

#include <algorithm>

namespace hickoryglade {

bool ServicePolicy::isIdempotent(const std::string &method) const {
  if (Idempotent)
    return *Idempotent;
  return std::ranges::find(IdempotentMethods, method) !=
         IdempotentMethods.end();
}

} // namespace hickoryglade
