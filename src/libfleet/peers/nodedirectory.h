#pragma once

#include "libfleet/base/asio.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// A node as it registered itself.
struct DirectoryEntry {
  std::string Address;
  /// Empty if it is not known.
  std::string DataCentre;

  bool operator==(const DirectoryEntry &) const = default;
};

/// Directory in which a node that starts finds other nodes.
class NodeDirectory {
public:
  virtual ~NodeDirectory() = default;

  /// Registers a node. Returns the directory's incarnation that holds the
  /// entry, which rises when entries are lost (0 if it has none), or nullopt if
  /// the directory is unreachable.
  virtual asio::awaitable<std::optional<std::int64_t>>
  registerNode(std::string node, DirectoryEntry entry) = 0;

  /// Removes a node that leaves the fleet permanently; returns false if the
  /// directory is unreachable.
  virtual asio::awaitable<bool> remove(std::string node) = 0;

  /// Returns all registered nodes, or nullopt if the directory is unreachable.
  virtual asio::awaitable<std::optional<std::vector<DirectoryEntry>>>
  list() = 0;
};

} // namespace hickoryglade::fleet
