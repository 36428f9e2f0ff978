#include "libhickoryglade/standing.h"

#include <array>
#include <cstddef>

namespace hickoryglade {

std::string_view toString(Standing standing) {
  constexpr std::array<std::string_view, 5> names = {
      "healthy", "suspect", "ejected", "trial", "draining"};
  return names[static_cast<std::size_t>(standing)];
}

} // namespace hickoryglade
