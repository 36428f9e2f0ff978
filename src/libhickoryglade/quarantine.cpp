#include "libhickoryglade/quarantine.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace hickoryglade {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

} // namespace

int CrashRecord::total() const {
  return std::accumulate(
      ByNode.begin(), ByNode.end(), 0,
      [](int sum, const auto &it) { return sum + it.second; });
}

QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now, int knownCrashes) {
  if (std::ranges::find(quarantine.Released, fingerprint) !=
      quarantine.Released.end())
    return QuarantineRule::Free;
  auto it = quarantine.Records.find(fingerprint);
  bool isRecorded = it != quarantine.Records.end() && it->second.Expiry > now;
  int crashes = std::max(isRecorded ? it->second.total() : 0, knownCrashes);
  if (crashes == 0)
    return QuarantineRule::Free;
  return crashes >= CrashesToRefuse ? QuarantineRule::Refused
                                    : QuarantineRule::Serialized;
}

void noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               const std::string &node, Instant expiry) {
  CrashRecord &record = quarantine.Records[fingerprint];
  ++record.ByNode[node];
  record.Expiry = std::max(record.Expiry, expiry);
}

bool mergeCrash(Quarantine &quarantine, std::uint64_t fingerprint,
                const CrashRecord &record) {
  CrashRecord &own = quarantine.Records[fingerprint];
  bool isChanged = false;
  for (const auto &[node, crashes] : record.ByNode) {
    int &count = own.ByNode[node];
    isChanged = isChanged || crashes > count;
    count = std::max(count, crashes);
  }
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
