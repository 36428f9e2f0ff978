#include "libhickoryglade/keytable.h"

namespace hickoryglade {

namespace {

std::size_t bytesOf(const KeyEntry &entry) {
  return entry.Answer && entry.Answer->Content ? entry.Answer->Content->size()
                                               : 0;
}

/// Of an answer above the size limit, only the fact that it was sent is stored.
KeyEntry dropLargeAnswer(KeyEntry entry) {
  if (bytesOf(entry) <= KeyTable::MaxAnswerBytes)
    return entry;
  entry.Answer = nullptr;
  entry.State = KeyState::AnswerGone;
  return entry;
}

} // namespace

const KeyEntry *KeyTable::find(const std::string &key) const {
  auto it = Entries.find(key);
  return it == Entries.end() ? nullptr : &it->second;
}

const KeyEntry &KeyTable::put(const std::string &key, KeyEntry entry) {
  entry = dropLargeAnswer(std::move(entry));
  auto [it, isNew] = Entries.try_emplace(key, entry);
  KeyEntry &own = it->second;
  bool isOwnEnded = own.State != KeyState::Running;
  if (!isNew && (isOwnEnded || own.RequestId != entry.RequestId))
    return own;
  Bytes += bytesOf(entry);
  if (!isNew)
    Bytes -= bytesOf(own);
  ByExpiry.emplace(entry.Expiry, key);
  own = std::move(entry);
  shrink();
  return own;
}

void KeyTable::release(const std::string &key, const std::string &requestId) {
  auto it = Entries.find(key);
  if (it != Entries.end() && it->second.RequestId == requestId &&
      it->second.State == KeyState::Running)
    Entries.erase(it);
}

void KeyTable::expire(Instant now) {
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= now) {
    auto it = Entries.find(ByExpiry.begin()->second);
    if (it != Entries.end() && it->second.Expiry <= now) {
      Bytes -= bytesOf(it->second);
      Entries.erase(it);
    }
    ByExpiry.erase(ByExpiry.begin());
  }
}

/// Drops the answers that expire first. The entries themselves stay, so that it
/// remains known that the work has run.
void KeyTable::shrink() {
  for (auto it = ByExpiry.begin(); it != ByExpiry.end() && Bytes > MaxBytes;
       ++it) {
    auto entry = Entries.find(it->second);
    if (entry == Entries.end() || !entry->second.Answer)
      continue;
    Bytes -= bytesOf(entry->second);
    entry->second.Answer = nullptr;
    entry->second.State = KeyState::AnswerGone;
  }
}

KeyVerdict evaluateKey(const KeyEntry &entry, const std::string &requestId,
                       std::uint64_t fingerprint) {
  if (entry.Fingerprint != fingerprint)
    return KeyVerdict::Reused;
  switch (entry.State) {
  case KeyState::Running:
    return entry.RequestId == requestId ? KeyVerdict::Granted
                                        : KeyVerdict::Running;
  case KeyState::Done:
    return KeyVerdict::Done;
  case KeyState::AnswerGone:
    return KeyVerdict::AnswerGone;
  case KeyState::Unclear:
    return KeyVerdict::Unclear;
  }
  return KeyVerdict::Unclear;
}

} // namespace hickoryglade
