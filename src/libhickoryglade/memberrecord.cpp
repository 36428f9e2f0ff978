#include "libhickoryglade/memberrecord.h"

#include <tuple>

namespace hickoryglade {

bool isNewer(const MemberRecord &a, const MemberRecord &b) {
  return std::tie(a.BootId, a.Version) > std::tie(b.BootId, b.Version);
}

} // namespace hickoryglade
