#pragma once

#include "libfleet/base/asio.h"

#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// A node as it has entered itself.
struct DirectoryEntry {
  std::string Address;
  /// Empty if it is not known.
  std::string DataCentre;

  bool operator==(const DirectoryEntry &) const = default;
};

/// Where nodes that have just started find others.
class NodeDirectory {
public:
  virtual ~NodeDirectory() = default;

  /// Enters a node; returns false if the directory could not be reached.
  virtual asio::awaitable<bool> registerNode(std::string node,
                                             DirectoryEntry entry) = 0;

  /// Removes a node that leaves for good; returns false if the directory could
  /// not be reached.
  virtual asio::awaitable<bool> remove(std::string node) = 0;

  /// All nodes entered, or nothing if it could not be reached.
  virtual asio::awaitable<std::optional<std::vector<DirectoryEntry>>>
  list() = 0;
};

} // namespace hickoryglade::fleet
