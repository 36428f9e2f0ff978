#pragma once

#include "libfleet/base/asio.h"
#include "libhickoryglade/instant.h"
#include "libhickoryglade/memberrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

/// A departure as a node has recorded it.
struct StoredDeparture {
  std::string Node;
  DepartedRecord Departed;
  /// Milliseconds since the Unix epoch.
  std::int64_t RecordedAtMs = 0;

  bool operator==(const StoredDeparture &) const = default;
};

struct DepartureList {
  /// Incarnation of the store, which rises when records are lost; 0 if it has
  /// none.
  std::int64_t Incarnation = 0;
  std::vector<StoredDeparture> Departures;
};

/// Stores the endpoints that have left outside the nodes' processes. A record
/// that is stored again replaces the earlier one.
class DepartureStore {
public:
  virtual ~DepartureStore() = default;

  /// Returns the incarnation of the store that holds the records, or nullopt if
  /// the store has not confirmed them in time. They may be stored nevertheless,
  /// also later.
  virtual asio::awaitable<std::optional<std::int64_t>>
  add(std::vector<StoredDeparture> departures, Millis limit) = 0;

  /// Returns false if the store has not confirmed it in time.
  virtual asio::awaitable<bool> remove(std::vector<StoredDeparture> departures,
                                       Millis limit) = 0;

  /// Returns the records that share a part of the store with those of a node,
  /// its own included, or nullopt if the store is unreachable.
  virtual asio::awaitable<std::optional<DepartureList>> list(std::string node,
                                                             Millis limit) = 0;
};

} // namespace hickoryglade::fleet
