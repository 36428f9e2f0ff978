#include "libhickoryglade/standingboard.h"

#include <tuple>

namespace hickoryglade {

bool isTransient(Standing state) {
  return state == Standing::Suspect || state == Standing::Trial;
}

bool applyReport(StandingBoard &board, const StandingReport &report,
                 Instant now) {
  auto [it, isNew] = board.Entries.try_emplace(report.Node);
  StandingBoard::Entry &entry = it->second;
  bool isOld =
      !isNew && std::tie(report.BootId, report.Sequence) <
                    std::tie(entry.Report.BootId, entry.Report.Sequence);
  if (isOld)
    return false;
  bool isChange =
      isNew ? !report.States.empty() : report.States != entry.Report.States;
  entry = {report, now};
  return isChange;
}

// Reports without endpoints are also kept until they expire, since an earlier
// report may still arrive after them.
bool expireReports(StandingBoard &board, Instant now) {
  bool hasEndpoints = false;
  std::erase_if(board.Entries, [&](const auto &it) {
    bool isExpired = now - it.second.ReceivedAt > StandingLifetime;
    hasEndpoints =
        hasEndpoints || (isExpired && !it.second.Report.States.empty());
    return isExpired;
  });
  return hasEndpoints;
}

std::optional<Standing> transientStanding(const StandingBoard &board,
                                          const std::string &node,
                                          std::int64_t bootId,
                                          const std::string &endpoint) {
  auto entry = board.Entries.find(node);
  if (entry == board.Entries.end() || entry->second.Report.BootId != bootId)
    return std::nullopt;
  auto state = entry->second.Report.States.find(endpoint);
  if (state == entry->second.Report.States.end())
    return std::nullopt;
  return state->second;
}

} // namespace hickoryglade
