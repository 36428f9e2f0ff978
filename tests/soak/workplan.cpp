#include "soak/workplan.h"

namespace hickoryglade::soak {

namespace {

std::int64_t queryNumber(const std::string &target, const std::string &name) {
  std::size_t at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::stoll(target.substr(at + name.size() + 1));
}

} // namespace

double drawOf(std::uint64_t seed, const std::string &of) {
  // FNV-1a, then the mixer of SplitMix64.
  std::uint64_t hash = 0xcbf29ce484222325 ^ (seed * 0x9e3779b97f4a7c15);
  for (unsigned char it : of)
    hash = (hash ^ it) * 0x100000001b3;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  hash ^= hash >> 31;
  return double(hash >> 11) / double(std::uint64_t(1) << 53);
}

bool isFaulty(const FaultPhases &phases, const std::string &server,
              std::int64_t atMs) {
  double period = double(phases.PeriodMs);
  auto shift = std::int64_t(drawOf(phases.Seed, "phase " + server) * period);
  std::int64_t since = atMs - phases.EpochMs + shift;
  return since >= 0 && double(since % phases.PeriodMs) < phases.Share * period;
}

WorkPlan planOf(const FaultPhases &phases, const std::string &server,
                const std::string &id, const std::string &target,
                std::int64_t atMs) {
  WorkPlan plan{Millis(queryNumber(target, "work")),
                int(queryNumber(target, "calls")), std::nullopt};
  std::string run = server + " " + id;
  if (isFaulty(phases, server, atMs) &&
      drawOf(phases.Seed, "break " + run) < phases.Odds)
    plan.BreakAfter = Millis(std::int64_t(drawOf(phases.Seed, "part " + run) *
                                          double(plan.Work.count())));
  return plan;
}

} // namespace hickoryglade::soak
