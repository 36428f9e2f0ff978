#pragma once

#include <string_view>

namespace hickoryglade {

/// Health state of an endpoint, as its gate sees it. The values are part of the
/// protocol between nodes.
enum class Standing {
  /// Takes requests.
  Healthy,
  /// Takes requests only if no healthy endpoint can.
  Suspect,
  /// Takes no requests; its gate holds an ejection lease for it.
  Ejected,
  /// Takes one request at a time, to find out whether it has recovered.
  Trial,
  /// Finishes running requests and takes no new ones.
  Draining,
};

/// Rank of a standing, 0 for the best. A gate is ranked as its best endpoint.
int rankOf(Standing state);

std::string_view toString(Standing standing);

} // namespace hickoryglade
