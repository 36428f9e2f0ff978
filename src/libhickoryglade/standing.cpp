#include "libhickoryglade/standing.h"

#include <array>
#include <cstddef>

namespace hickoryglade {

int rankOf(Standing state) {
  switch (state) {
  case Standing::Healthy:
    return 0;
  case Standing::Trial:
    return 1;
  case Standing::Suspect:
    return 2;
  case Standing::Ejected:
    return 3;
  case Standing::Draining:
    return 4;
  }
  return 4;
}

std::string_view toString(Standing standing) {
  constexpr std::array<std::string_view, 5> names = {
      "healthy", "suspect", "ejected", "trial", "draining"};
  return names[static_cast<std::size_t>(standing)];
}

} // namespace hickoryglade
