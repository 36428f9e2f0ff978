#pragma once

#include <string_view>

namespace hickoryglade {

/// What a gate thinks of one of its endpoints. Values are part of the
/// protocol between nodes.
enum class Standing {
  /// Takes work.
  Healthy,
  /// Takes work only where no healthy endpoint can.
  Suspect,
  /// Takes no work; holds an ejection lease.
  Ejected,
  /// Takes one request at a time to show that it has recovered.
  Trial,
  /// Finishes what it runs and takes nothing new.
  Draining,
};

/// Place among standings, the best first: a gate counts as its best endpoint.
int rankOf(Standing state);

std::string_view toString(Standing standing);

} // namespace hickoryglade
