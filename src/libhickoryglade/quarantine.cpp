#include "libhickoryglade/quarantine.h"

#include <algorithm>
#include <charconv>

namespace hickoryglade {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

/// Bounds a record; older crashes are dropped.
constexpr std::size_t MaxCrashes = 8;

/// Bounds the memory for contents that have been completed.
constexpr std::size_t MaxCompletions = 2'048;

/// Crashes within this time count as one for content that has been completed
/// before: many endpoints end at once if they lose power or are stopped.
constexpr Micros SameTime = std::chrono::seconds(1);

std::vector<Instant> unexplainedTimes(const CrashRecord &record) {
  std::vector<Instant> all;
  for (const auto &[name, at] : record.Crashes)
    if (!record.CompletedAt || at > *record.CompletedAt)
      all.push_back(at);
  std::ranges::sort(all);
  return all;
}

/// Number of times at which endpoints crashed.
int separateTimes(const std::vector<Instant> &sorted) {
  int times = 0;
  std::optional<Instant> begin;
  for (Instant at : sorted) {
    if (begin && at - *begin <= SameTime)
      continue;
    begin = at;
    ++times;
  }
  return times;
}

void dropOldCrashes(CrashRecord &record) {
  while (record.Crashes.size() > MaxCrashes)
    record.Crashes.erase(std::ranges::min_element(
        record.Crashes, {}, [](const auto &it) { return it.second; }));
}

QuarantineRule ruleForUncompleted(int crashes) {
  if (crashes == 0)
    return QuarantineRule::Free;
  return crashes >= CrashesToRefuse ? QuarantineRule::Refused
                                    : QuarantineRule::Serialized;
}

/// The first crash changes nothing: serializing a page that many callers read
/// would be an outage of its own.
QuarantineRule ruleForCompleted(int crashes) {
  if (crashes <= 1)
    return QuarantineRule::Free;
  return crashes >= CrashesToRefuseCompleted ? QuarantineRule::Refused
                                             : QuarantineRule::Serialized;
}

/// Applies a completion; returns true if it explains a crash, or is the first
/// that is known.
bool applyCompletion(CrashRecord &record, Instant at) {
  bool isFirst = !record.CompletedAt;
  int before = record.unexplained();
  if (isFirst || *record.CompletedAt < at)
    record.CompletedAt = at;
  return isFirst || record.unexplained() < before;
}

/// Applies what is known of earlier completions.
bool applyOwnCompletion(const Quarantine &quarantine, std::uint64_t fingerprint,
                        CrashRecord &record) {
  auto it = quarantine.Completions.find(fingerprint);
  return it != quarantine.Completions.end() &&
         applyCompletion(record, it->second);
}

} // namespace

int CrashRecord::unexplained() const {
  return int(unexplainedTimes(*this).size());
}

std::string crashName(const std::string &endpoint,
                      const std::string &incarnation) {
  return endpoint + ' ' + incarnation;
}

QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now, int knownCrashes) {
  if (std::ranges::find(quarantine.Released, fingerprint) !=
      quarantine.Released.end())
    return QuarantineRule::Free;
  auto it = quarantine.Records.find(fingerprint);
  if (it == quarantine.Records.end() || it->second.Expiry <= now)
    return ruleForUncompleted(knownCrashes);
  const CrashRecord &record = it->second;
  std::vector<Instant> times = unexplainedTimes(record);
  int explained = int(record.Crashes.size() - times.size());
  int known = knownCrashes - explained;
  if (record.CompletedAt)
    return ruleForCompleted(std::max(separateTimes(times), known));
  return ruleForUncompleted(std::max(int(times.size()), known));
}

bool noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               const std::string &crash, Instant noticedAt, Instant expiry) {
  CrashRecord &record = quarantine.Records[fingerprint];
  bool isNew = record.Crashes.try_emplace(crash, noticedAt).second;
  record.Expiry = std::max(record.Expiry, expiry);
  dropOldCrashes(record);
  applyOwnCompletion(quarantine, fingerprint, record);
  return isNew;
}

bool noteContentCompleted(Quarantine &quarantine, std::uint64_t fingerprint,
                          Instant now) {
  quarantine.Completions[fingerprint] = now;
  quarantine.CompletionOrder.emplace_back(now, fingerprint);
  while (quarantine.CompletionOrder.size() > MaxCompletions) {
    auto [at, oldest] = quarantine.CompletionOrder.front();
    quarantine.CompletionOrder.pop_front();
    auto it = quarantine.Completions.find(oldest);
    if (it != quarantine.Completions.end() && it->second == at)
      quarantine.Completions.erase(it);
  }
  auto record = quarantine.Records.find(fingerprint);
  return record != quarantine.Records.end() &&
         applyCompletion(record->second, now);
}

bool mergeCrash(Quarantine &quarantine, std::uint64_t fingerprint,
                const CrashRecord &record) {
  CrashRecord &own = quarantine.Records[fingerprint];
  bool isChanged = false;
  for (const auto &[crash, at] : record.Crashes)
    isChanged = own.Crashes.try_emplace(crash, at).second || isChanged;
  dropOldCrashes(own);
  if (record.CompletedAt)
    isChanged = applyCompletion(own, *record.CompletedAt) || isChanged;
  applyOwnCompletion(quarantine, fingerprint, own);
  own.Expiry = std::max(own.Expiry, record.Expiry);
  return isChanged;
}

void expireCrashes(Quarantine &quarantine, Instant now) {
  std::erase_if(quarantine.Records,
                [&](const auto &it) { return it.second.Expiry <= now; });
}

Micros remainingQuarantine(const Quarantine &quarantine,
                           std::uint64_t fingerprint, Instant now) {
  auto it = quarantine.Records.find(fingerprint);
  if (it == quarantine.Records.end() || it->second.Expiry <= now)
    return Micros{0};
  return it->second.Expiry - now;
}

std::string fingerprintName(std::uint64_t fingerprint) {
  std::string digits(HexDigits, '0');
  char buf[HexDigits];
  auto [end, ec] = std::to_chars(buf, buf + HexDigits, fingerprint, HexBase);
  std::copy_backward(buf, end, digits.end());
  return digits;
}

std::uint64_t parseFingerprint(const std::string &name) {
  std::uint64_t value = 0;
  const char *end = name.data() + name.size();
  auto [at, ec] = std::from_chars(name.data(), end, value, HexBase);
  return ec == std::errc{} && at == end ? value : 0;
}

} // namespace hickoryglade
