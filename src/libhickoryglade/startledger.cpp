#include "libhickoryglade/startledger.h"

#include <algorithm>

namespace hickoryglade {

StartState StartLedger::stateOf(const std::string &attempt) const {
  auto it = Records.find(attempt);
  return it == Records.end() ? StartState::Unseen : it->second.State;
}

void StartLedger::noteWaiting(const std::string &attempt, Instant forgetAt) {
  if (stateOf(attempt) == StartState::Unseen)
    put(attempt, StartState::Waiting, forgetAt);
}

bool StartLedger::tryStart(const std::string &attempt, Instant forgetAt) {
  StartState state = stateOf(attempt);
  if (state != StartState::Unseen && state != StartState::Waiting)
    return false;
  put(attempt, StartState::Started, forgetAt);
  return true;
}

void StartLedger::noteFinished(const std::string &attempt) {
  auto it = Records.find(attempt);
  if (it != Records.end() && it->second.State == StartState::Started)
    it->second.State = StartState::Finished;
}

StartState StartLedger::revoke(const std::string &attempt, Instant forgetAt) {
  StartState state = stateOf(attempt);
  if (state == StartState::Unseen || state == StartState::Waiting)
    put(attempt, StartState::Fenced, forgetAt);
  return stateOf(attempt);
}

void StartLedger::forget(Instant now) {
  while (!ByForgetAt.empty() && ByForgetAt.begin()->first <= now) {
    auto record = Records.find(ByForgetAt.begin()->second);
    if (record != Records.end() && record->second.ForgetAt <= now)
      Records.erase(record);
    ByForgetAt.erase(ByForgetAt.begin());
  }
}

void StartLedger::put(const std::string &attempt, StartState state,
                      Instant forgetAt) {
  auto [it, isNew] = Records.try_emplace(attempt);
  it->second.State = state;
  if (!isNew && it->second.ForgetAt >= forgetAt)
    return;
  it->second.ForgetAt = forgetAt;
  ByForgetAt.emplace(forgetAt, attempt);
}

} // namespace hickoryglade
