#pragma once

#include "libhickoryglade/standing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryglade {

/// An endpoint as the node of its gate publishes it to the fleet.
struct EndpointRecord {
  std::string Name;
  /// Qualified service name.
  std::string Service;
  int Slots = 1;
  std::int64_t Generation = 1;
  Standing State = Standing::Healthy;

  bool operator==(const EndpointRecord &) const = default;
};

/// One process of an endpoint that has left or is leaving. Other members send a
/// restarted node the records of its earlier process, so that it still ignores
/// late announcements of these endpoints.
struct DepartedRecord {
  std::string Name;
  std::int64_t StartedAtMs = 0;

  bool operator==(const DepartedRecord &) const = default;
};

/// A node's description of itself. Only the node writes it; of two records, the
/// one with the higher (BootId, Version) is newer.
struct MemberRecord {
  std::string Node;
  /// Start time of the process in microseconds since the Unix epoch.
  std::int64_t BootId = 0;
  std::int64_t Version = 0;
  std::string FleetAddress;
  std::string AdminAddress;
  std::string DataCentre;
  /// True once the node has announced that it is leaving.
  bool IsLeaving = false;
  std::vector<EndpointRecord> Endpoints;
  std::vector<DepartedRecord> Departed;
  /// Offsets up to which the node has read the settings and the leases.
  std::int64_t SettingsNext = 0;
  std::int64_t LedgerNext = 0;
  /// Rate of the node's link in Mbit/s; 0 if it is not known.
  int LinkMbps = 0;

  bool operator==(const MemberRecord &) const = default;
};

/// True if a describes a later state of the node than b.
bool isNewer(const MemberRecord &a, const MemberRecord &b);

} // namespace hickoryglade
