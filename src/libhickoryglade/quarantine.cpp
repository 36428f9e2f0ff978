#include "libhickoryglade/quarantine.h"

#include <algorithm>
#include <charconv>

namespace hickoryglade {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

} // namespace

QuarantineRule ruleFor(const Quarantine &quarantine, std::uint64_t fingerprint,
                       Instant now) {
  auto it = quarantine.Records.find(fingerprint);
  if (it == quarantine.Records.end() || it->second.Expiry <= now ||
      std::ranges::find(quarantine.Released, fingerprint) !=
          quarantine.Released.end())
    return QuarantineRule::Free;
  return it->second.Crashes >= CrashesToRefuse ? QuarantineRule::Refused
                                               : QuarantineRule::Serialized;
}

void noteCrash(Quarantine &quarantine, std::uint64_t fingerprint,
               Instant expiry) {
  CrashRecord &record = quarantine.Records[fingerprint];
  ++record.Crashes;
  record.Expiry = std::max(record.Expiry, expiry);
}

bool mergeCrash(Quarantine &quarantine, std::uint64_t fingerprint,
                const CrashRecord &record) {
  CrashRecord &own = quarantine.Records[fingerprint];
  if (record.Crashes <= own.Crashes)
    return false;
  own = {record.Crashes, std::max(own.Expiry, record.Expiry)};
  return true;
}

void expireCrashes(Quarantine &quarantine, Instant now) {
  std::erase_if(quarantine.Records,
                [&](const auto &it) { return it.second.Expiry <= now; });
}

Micros remainingTerm(const Quarantine &quarantine, std::uint64_t fingerprint,
                     Instant now) {
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
