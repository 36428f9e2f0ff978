#include "libhickoryglade/startledger.h"

#include <algorithm>

namespace hickoryglade {

StartState StartLedger::stateOf(const std::string &attempt) const {
  auto it = Records.find(attempt);
  return it == Records.end() ? StartState::Unseen : it->second.State;
}

void StartLedger::noteWaiting(const std::string &attempt, Instant expiresAt) {
  if (stateOf(attempt) == StartState::Unseen)
    put(attempt, StartState::Waiting, expiresAt);
}

bool StartLedger::tryStart(const std::string &attempt, Instant expiresAt) {
  StartState state = stateOf(attempt);
  if (state != StartState::Unseen && state != StartState::Waiting)
    return false;
  put(attempt, StartState::Started, expiresAt);
  return true;
}

void StartLedger::noteFinished(const std::string &attempt) {
  auto it = Records.find(attempt);
  if (it != Records.end() && it->second.State == StartState::Started)
    it->second.State = StartState::Finished;
}

StartState StartLedger::revoke(const std::string &attempt, Instant expiresAt) {
  StartState state = stateOf(attempt);
  if (state == StartState::Unseen || state == StartState::Waiting)
    put(attempt, StartState::Fenced, expiresAt);
  return stateOf(attempt);
}

void StartLedger::removeExpired(Instant now) {
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= now) {
    auto record = Records.find(ByExpiry.begin()->second);
    if (record != Records.end() && record->second.ExpiresAt <= now)
      Records.erase(record);
    ByExpiry.erase(ByExpiry.begin());
  }
}

void StartLedger::put(const std::string &attempt, StartState state,
                      Instant expiresAt) {
  auto [it, isNew] = Records.try_emplace(attempt);
  it->second.State = state;
  if (!isNew && it->second.ExpiresAt >= expiresAt)
    return;
  it->second.ExpiresAt = expiresAt;
  ByExpiry.emplace(expiresAt, attempt);
}

} // namespace hickoryglade
