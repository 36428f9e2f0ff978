#include "libhickoryglade/gateconfirmation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryglade {

namespace {

/// Announcements that were held up together also arrive together.
constexpr Micros MinConfirmationGap = std::chrono::milliseconds(500);

bool isSameProcess(const Announcement &a, const Announcement &b) {
  return a.Name == b.Name && a.Incarnation == b.Incarnation;
}

} // namespace

void beginConfirmation(Gate &gate) { gate.IsConfirming = true; }

GateActions endConfirmation(Gate &gate, Instant now) {
  gate.IsConfirming = false;
  GateActions actions;
  for (const auto &[name, it] : std::exchange(gate.Unconfirmed, {})) {
    if (now - it.LastAt > gate.AnnouncementLimit)
      continue;
    GateActions more = announce(gate, it.Latest, now);
    std::ranges::move(more, std::back_inserter(actions));
  }
  return actions;
}

bool confirm(Gate &gate, const Announcement &announcement, Instant now) {
  auto known = gate.Endpoints.find(announcement.Name);
  bool isKnown = known != gate.Endpoints.end() &&
                 isSameProcess(known->second.Announced, announcement);
  if (!gate.IsConfirming || isKnown || announcement.IsDraining)
    return true;
  auto [it, isFirst] = gate.Unconfirmed.try_emplace(
      announcement.Name, UnconfirmedEndpoint{announcement, now, now});
  UnconfirmedEndpoint &first = it->second;
  if (isFirst)
    return false;
  bool isLaterProcess = announcement.StartedAtMs > first.Latest.StartedAtMs &&
                        !isSameProcess(first.Latest, announcement);
  if (isLaterProcess)
    first = {announcement, now, now};
  bool isLater = isSameProcess(first.Latest, announcement) &&
                 announcement.Sequence > first.Latest.Sequence;
  if (!isLater)
    return false;
  first.Latest = announcement;
  first.LastAt = now;
  if (now - first.FirstAt < MinConfirmationGap)
    return false;
  gate.Unconfirmed.erase(it);
  return true;
}

} // namespace hickoryglade
