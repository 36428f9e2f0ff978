#pragma once

#include "libhickoryglade/endpointnotice.h"
#include "libhickoryglade/instant.h"

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hickoryglade {

/// One process of a node's gate.
struct GateProcess {
  std::string Node;
  std::int64_t BootId = 0;

  auto operator<=>(const GateProcess &) const = default;
};

/// What an endpoint has said about itself, as an entry heard it with an answer.
struct HeardNotice {
  std::string Endpoint;
  std::string Incarnation;
  EndpointNotice Notice;
  /// Gate that passed the answer on.
  GateProcess Gate;
  Instant HeardAt;

  bool operator==(const HeardNotice &) const = default;
};

/// Notices that an entry keeps for gates that may not know them: one that was
/// restarted, or one to which the endpoint has moved. A limit or a leaving thus
/// outlives the gate that knew it without messages of its own.
struct NoticeBoard {
  /// By service and endpoint.
  std::map<std::string, std::map<std::string, HeardNotice>> Services;
};

/// Stores a notice, or drops the endpoint's earlier one if it names no limit
/// and does not leave.
void hearNotice(NoticeBoard &board, const std::string &service,
                HeardNotice notice);

/// Notices to send along with a request to a gate: of endpoints that were last
/// heard through another process, and that are at this node or listed as its
/// endpoints by their hashes.
std::vector<HeardNotice>
noticesFor(const NoticeBoard &board, const std::string &service,
           const GateProcess &gate,
           std::span<const std::uint64_t> endpointHashes);

/// Drops notices that are too old to be of use.
void expireNotices(NoticeBoard &board, Instant now);

} // namespace hickoryglade
