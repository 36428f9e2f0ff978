#include "libhickoryglade/keyplacement.h"

#include "libhickoryglade/hash.h"

#include <algorithm>

namespace hickoryglade {

std::vector<LeaseHolder> rankKeepers(const std::vector<LeaseHolder> &roster,
                                     const std::string &key) {
  std::vector<LeaseHolder> ranked = roster;
  std::uint64_t seed = stableHash(key);
  std::ranges::sort(ranked, std::ranges::greater{}, [&](const LeaseHolder &it) {
    return std::pair(stableHash(it.Node, seed), it.Node);
  });
  return ranked;
}

void KeyPlacement::note(std::vector<LeaseHolder> roster,
                        const std::vector<LeaseHolder> &handedOn, Instant now) {
  HandedOn.insert(HandedOn.end(), handedOn.begin(), handedOn.end());
  if (roster == Roster)
    return;
  if (!Roster.empty())
    Past.push_back({std::move(Roster), now});
  Roster = std::move(roster);
}

const std::vector<LeaseHolder> &KeyPlacement::current() const { return Roster; }

std::optional<std::vector<LeaseHolder>>
KeyPlacement::formerKeepersToQuery(const std::string &key,
                                   const std::vector<LeaseHolder> &asked,
                                   Micros lifetime, Instant now) const {
  std::vector<LeaseHolder> more;
  auto contains = [](const std::vector<LeaseHolder> &all,
                     const LeaseHolder &it) {
    return std::ranges::find(all, it) != all.end();
  };
  auto isCovered = [&](const LeaseHolder &it) {
    return contains(asked, it) || contains(more, it) || contains(HandedOn, it);
  };
  for (const Epoch &epoch : Past) {
    if (now - epoch.End > lifetime)
      continue;
    std::vector<LeaseHolder> ranked = rankKeepers(epoch.Roster, key);
    ranked.resize(std::min(ranked.size(), KeyCopies));
    if (std::ranges::any_of(ranked, isCovered))
      continue;
    auto alive = std::ranges::find_if(
        ranked, [&](const LeaseHolder &it) { return contains(Roster, it); });
    if (alive == ranked.end())
      return std::nullopt;
    more.push_back(*alive);
  }
  return more;
}

void KeyPlacement::forget(Micros longestLifetime, Instant now) {
  while (!Past.empty() && now - Past.front().End > longestLifetime)
    Past.pop_front();
  if (Past.empty())
    HandedOn.clear();
}

} // namespace hickoryglade
