#include "libhickoryglade/gate.h"

#include "libhickoryglade/gateadmission.h"
#include "libhickoryglade/gateconfirmation.h"
#include "libhickoryglade/gatehealth.h"
#include "libhickoryglade/gatelimit.h"
#include "libhickoryglade/gatequeue.h"
#include "libhickoryglade/gaterules.h"
#include "libhickoryglade/gatestop.h"

#include <algorithm>
#include <ranges>

namespace hickoryglade {

namespace {

/// Time without announcements after which an idle endpoint is removed.
constexpr Micros RemoveSilentAfter = std::chrono::seconds(30);

/// A tick that is overdue by more than this shows that the process was paused.
/// For HoldAfterPause the gate then starts nothing, so that it first processes
/// the messages that it missed.
constexpr Micros PauseLimit = std::chrono::milliseconds(450);
constexpr Micros HoldAfterPause = std::chrono::milliseconds(100);

/// Time for which a settle delay that has elapsed is remembered.
constexpr Micros SettleRetention = std::chrono::seconds(10);

/// Time for which a notice about an endpoint that is not here is kept.
constexpr Micros ForeignNoticeRetention = std::chrono::seconds(60);

void detectPause(Gate &gate, Instant now) {
  if (gate.TickDue && now - *gate.TickDue > PauseLimit)
    gate.HoldUntil = now + HoldAfterPause;
}

/// Withdraws an endpoint if another one has started later at its address.
void replaceAtAddress(Gate &gate, const Announcement &announcement, Instant now,
                      GateActions &actions) {
  std::vector<std::string> gone;
  for (const auto &[name, it] : gate.Endpoints)
    if (name != announcement.Name &&
        it.Announced.Address == announcement.Address &&
        it.Announced.StartedAtMs < announcement.StartedAtMs)
      gone.push_back(name);
  for (const std::string &name : gone) {
    GateActions more = withdraw(gate, name, now);
    std::ranges::move(more, std::back_inserter(actions));
  }
}

/// Removes idle endpoints that no longer announce themselves. Those that were
/// leaving are remembered, since a late announcement may follow.
void removeSilent(Gate &gate, Instant now) {
  std::erase_if(gate.Endpoints, [&](const auto &it) {
    const GateEndpoint &endpoint = it.second;
    bool isSilent = endpoint.Holders.empty() &&
                    now - endpoint.LastAnnounced > RemoveSilentAfter;
    if (isSilent && endpoint.IsLeaving)
      gate.Departed[it.first] = {endpoint.Announced.StartedAtMs,
                                 now + DepartedRetention};
    return isSilent;
  });
}

} // namespace

std::string_view toString(AttemptOutcome outcome) {
  switch (outcome) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::ServerError:
    return "server_error";
  case AttemptOutcome::Shed:
    return "shed";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::Crashed:
    return "crashed";
  case AttemptOutcome::Unreachable:
    return "unreachable";
  case AttemptOutcome::Failed:
    return "failed";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool isOutdated(const Gate &gate, const Announcement &announcement) {
  auto departed = gate.Departed.find(announcement.Name);
  if (departed != gate.Departed.end() && departed->second.StartedAtMs > 0 &&
      announcement.StartedAtMs <= departed->second.StartedAtMs)
    return true;
  for (const auto &[name, it] : gate.Endpoints) {
    bool isSameProcess = name == announcement.Name &&
                         it.Announced.Incarnation == announcement.Incarnation;
    if (isSameProcess && announcement.Sequence < it.Announced.Sequence)
      return true;
    bool isSamePlace = name == announcement.Name ||
                       it.Announced.Address == announcement.Address;
    if (isSamePlace && announcement.StartedAtMs < it.Announced.StartedAtMs)
      return true;
  }
  return false;
}

GateActions announce(Gate &gate, const Announcement &announcement,
                     Instant now) {
  GateActions actions;
  if (isOutdated(gate, announcement) || !confirm(gate, announcement, now))
    return actions;
  replaceAtAddress(gate, announcement, now, actions);
  auto [it, isNew] = gate.Endpoints.try_emplace(announcement.Name);
  GateEndpoint &endpoint = it->second;
  endpoint.AnnouncementLimit = gate.AnnouncementLimit;
  bool isRestart =
      !isNew && endpoint.Announced.Incarnation != announcement.Incarnation;
  endpoint.Announced = announcement;
  endpoint.LastAnnounced = now;
  if (isNew)
    actions.push_back(
        StandingAction{announcement.Name, Standing::Healthy, "announced"});
  if (isRestart)
    replaceIncarnation(gate, endpoint, actions, now);
  if (announcement.IsDraining)
    setStanding(endpoint, Standing::Draining, "announced", now, actions);
  else if (endpoint.State == Standing::Draining && !endpoint.IsLeaving)
    setStanding(endpoint, Standing::Healthy, "announced", now, actions);
  auto told = gate.ForeignNotices.find(announcement.Name);
  if (told != gate.ForeignNotices.end()) {
    ForeignNotice notice = std::move(told->second);
    gate.ForeignNotices.erase(told);
    GateActions more =
        noteForeignNotice(gate, announcement.Name, notice.Incarnation,
                          notice.Notice, notice.SaidAt, now);
    std::ranges::move(more, std::back_inserter(actions));
  }
  dispatch(gate, announcement.Service, now, actions);
  flushIfNoEndpoint(gate, announcement.Service, now, actions);
  return actions;
}

GateActions withdraw(Gate &gate, const std::string &endpoint, Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end())
    return actions;
  std::string service = it->second.Announced.Service;
  gate.Departed[endpoint] = {it->second.Announced.StartedAtMs,
                             now + DepartedRetention};
  if (it->second.Holders.empty())
    gate.Endpoints.erase(it);
  else
    it->second.State = Standing::Draining;
  actions.push_back(StandingAction{endpoint, Standing::Draining, "withdrawn"});
  flushIfNoEndpoint(gate, service, now, actions);
  return actions;
}

std::vector<DepartedRecord> departedRecords(const Gate &gate) {
  std::vector<DepartedRecord> all;
  for (const auto &[name, it] : gate.Departed)
    all.push_back({name, it.StartedAtMs});
  for (const auto &[name, it] : gate.Endpoints)
    if (it.State == Standing::Draining && !gate.Departed.contains(name))
      all.push_back({name, it.Announced.StartedAtMs});
  return all;
}

GateActions noteDeparted(Gate &gate, const DepartedRecord &departed,
                         Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(departed.Name);
  bool isSameStart = it != gate.Endpoints.end() &&
                     it->second.Announced.StartedAtMs <= departed.StartedAtMs;
  if (isSameStart)
    actions = withdraw(gate, departed.Name, now);
  DepartedEndpoint &known = gate.Departed[departed.Name];
  known.StartedAtMs = std::max(known.StartedAtMs, departed.StartedAtMs);
  known.ExpiresAt = now + DepartedRetention;
  return actions;
}

GateActions offer(Gate &gate, const Ticket &ticket, Instant now) {
  GateActions actions;
  detectPause(gate, now);
  GateService &service = gate.Services[ticket.Service];
  notePriority(service.Priorities, ticket.Priority, now);
  noteReport(service.Sheds, ticket.ShedPercent, now);
  reviewShedDoubts(gate, ticket.Service, now, actions);
  if (auto fault = offerError(gate, ticket, now)) {
    refuse(actions, ticket.AttemptId, std::move(*fault));
    return actions;
  }
  if (isEveryEndpointDoubtful(gate, service, ticket)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint has failed",
                  Millis{0}));
    return actions;
  }
  if (isEveryEndpointSilent(gate, service, ticket, now)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint is silent",
                  Millis{0}));
    return actions;
  }
  if (isAtWrongGate(gate, service, ticket, now)) {
    refuse(actions, ticket.AttemptId, wrongGateError());
    return actions;
  }
  if (exceedsRepeatBudget(service, ticket, now)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::RetriesExhausted, "the budget of this gate",
                  jitteredRetryAfter(gate, MinRetryAfter)));
    return actions;
  }
  bool isBusy =
      now < gate.HoldUntil || isSerializedBusy(gate, service, ticket, now);
  GateEndpoint *endpoint = isBusy || service.Queue.size() > 0
                               ? nullptr
                               : chooseEndpoint(gate, service, ticket, now);
  if (endpoint) {
    assign(gate, service, *endpoint, ticket, now, actions);
    return actions;
  }
  if (isEveryEndpointOnTrial(gate, ticket.Service)) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::EndpointDoubtful, "the endpoint is on trial",
                  toMillis(NoEndpointRetryAfter)));
    return actions;
  }
  std::optional<HoldReason> hold = holdReason(gate, service, ticket, now);
  Ticket waiting = ticket;
  waiting.WaitingSince = now;
  if (startsPastQueue(gate, service, waiting, now, actions))
    return actions;
  if (ticket.OnlyIfFree) {
    refuse(actions, ticket.AttemptId,
           notRun(ErrorKind::SlotTaken, noSlotText(hold), Millis{0}));
    return actions;
  }
  if (auto fault = admissionError(gate, service, waiting, now)) {
    refuse(actions, ticket.AttemptId, std::move(*fault));
    return actions;
  }
  gate.Ledger.noteWaiting(ticket.AttemptId, ledgerExpiry(ticket));
  if (hold)
    actions.push_back(
        HoldAction{ticket.AttemptId, waiting.EstimatedWait, *hold});
  enqueue(service, std::move(waiting));
  dispatch(gate, ticket.Service, now, actions);
  return actions;
}

GateActions claim(Gate &gate, const std::string &attempt, Instant now) {
  GateActions actions;
  detectPause(gate, now);
  auto held = gate.EndpointByAttempt.find(attempt);
  if (held != gate.EndpointByAttempt.end() && now >= gate.HoldUntil) {
    GateEndpoint &endpoint = gate.Endpoints.at(held->second);
    auto holder = std::ranges::find_if(endpoint.Holders, [&](const auto &it) {
      return it.Request.AttemptId == attempt;
    });
    bool isWaiting = holder != endpoint.Holders.end() && !holder->IsStarted;
    const GateService &service = gate.Services[endpoint.Announced.Service];
    if (isWaiting && isAtWrongGate(gate, service, holder->Request, now)) {
      GateEndpoint *unused = nullptr;
      release(gate, attempt, unused);
      refuse(actions, attempt, wrongGateError());
      return actions;
    }
    if (isWaiting) {
      start(gate, endpoint, *holder, now, actions);
      return actions;
    }
  }
  refuse(actions, attempt,
         notRun(ErrorKind::GrantLapsed, "no slot is held", Millis{0}));
  return actions;
}

void keep(Gate &gate, const std::string &attempt) {
  for (auto &[name, service] : gate.Services)
    service.Queue.markLastTry(attempt);
  auto held = gate.EndpointByAttempt.find(attempt);
  if (held == gate.EndpointByAttempt.end())
    return;
  for (SlotHolder &it : gate.Endpoints.at(held->second).Holders)
    if (it.Request.AttemptId == attempt)
      it.Request.IsLastTry = true;
}

GateActions cancel(Gate &gate, const std::string &attempt, Instant now) {
  GateActions actions;
  for (auto &[name, service] : gate.Services)
    if (service.Queue.remove(attempt))
      return actions;
  auto held = gate.EndpointByAttempt.find(attempt);
  if (held == gate.EndpointByAttempt.end())
    return actions;
  const GateEndpoint &endpoint = gate.Endpoints.at(held->second);
  bool isStarted = std::ranges::any_of(endpoint.Holders, [&](const auto &it) {
    return it.Request.AttemptId == attempt && it.IsStarted;
  });
  if (isStarted) {
    actions.push_back(AbortAction{
        attempt, makeError(ErrorKind::Cancelled, "the caller went away")});
    return actions;
  }
  std::string service = endpoint.Announced.Service;
  GateEndpoint *unused = nullptr;
  release(gate, attempt, unused);
  dispatch(gate, service, now, actions);
  return actions;
}

GateActions complete(Gate &gate, const std::string &attempt,
                     AttemptOutcome outcome, Instant now) {
  GateActions actions;
  GateEndpoint *endpoint = nullptr;
  auto holder = release(gate, attempt, endpoint);
  gate.Ledger.noteFinished(attempt);
  if (!holder)
    return actions;
  std::string service = endpoint->Announced.Service;
  noteOutcome(gate, *endpoint, *holder, outcome, now, actions);
  assessHealth(gate, *endpoint, now, actions);
  flushIfDoubtful(gate, service, actions);
  dispatch(gate, service, now, actions);
  return actions;
}

GateActions noteNotice(Gate &gate, const std::string &endpoint,
                       const EndpointNotice &notice, Instant saidAt,
                       Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end())
    return actions;
  GateEndpoint &target = it->second;
  const std::string &service = target.Announced.Service;
  if (notice.IsLeaving && !target.IsLeaving) {
    target.IsLeaving = true;
    setStanding(target, Standing::Draining, "says that it leaves", now,
                actions);
    flushIfNoEndpoint(gate, service, now, actions);
  }
  if (saidAt < target.NoticeAt || notice.IsLimitUnknown)
    return actions;
  target.NoticeAt = saidAt;
  std::size_t before = actions.size();
  bool isLower = setLimit(target, notice.Limit, now, actions);
  if (isLower)
    refuseBeyondLimit(gate, service, now, actions);
  else if (actions.size() > before)
    dispatch(gate, service, now, actions);
  return actions;
}

GateActions noteForeignNotice(Gate &gate, const std::string &endpoint,
                              const std::string &incarnation,
                              const EndpointNotice &notice, Instant saidAt,
                              Instant now) {
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end()) {
    auto [known, isNew] = gate.ForeignNotices.try_emplace(endpoint);
    if (isNew || known->second.SaidAt < saidAt)
      known->second = {incarnation, notice, saidAt,
                       now + ForeignNoticeRetention};
    return {};
  }
  if (it->second.Announced.Incarnation != incarnation)
    return {};
  return noteNotice(gate, endpoint, notice, saidAt, now);
}

StartState revoke(Gate &gate, const std::string &attempt, Instant expiresAt,
                  Instant now, GateActions &actions) {
  StartState state = gate.Ledger.revoke(attempt, expiresAt);
  if (state != StartState::Fenced)
    return state;
  GateActions more = cancel(gate, attempt, now);
  std::ranges::move(more, std::back_inserter(actions));
  return state;
}

GateActions setEjection(Gate &gate, const std::string &endpoint,
                        std::optional<Instant> until, Instant now) {
  GateActions actions;
  auto it = gate.Endpoints.find(endpoint);
  if (it == gate.Endpoints.end())
    return actions;
  GateEndpoint &target = it->second;
  bool isUnhealthy =
      target.State == Standing::Suspect || target.State == Standing::Ejected;
  if (!isUnhealthy)
    return actions;
  target.EjectedUntil = until;
  Instant since = target.StateSince;
  if (until && now < *until)
    setStanding(target, Standing::Ejected, "lease granted", now, actions);
  else
    setStanding(target, Standing::Suspect, "lease ended", now, actions);
  target.StateSince = since;
  flushIfNoEndpoint(gate, target.Announced.Service, now, actions);
  return actions;
}

GateActions tick(Gate &gate, Instant now) {
  GateActions actions;
  detectPause(gate, now);
  gate.TickDue = now + TickPeriod;
  for (auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.State == Standing::Ejected && !isEjected(endpoint, now))
      setStanding(endpoint, Standing::Suspect, "lease ended", now, actions);
    expireHolders(gate, endpoint, now, actions);
    reviewRunsOfStop(gate, endpoint, now, actions);
    assessHealth(gate, endpoint, now, actions);
    considerTrial(gate, endpoint, now, actions);
    if (endpoint.State == Standing::Healthy &&
        now - endpoint.StateSince > RelapseWindow)
      endpoint.Relapses = 0;
  }
  removeSilent(gate, now);
  std::erase_if(gate.ForeignNotices,
                [&](const auto &it) { return it.second.ExpiresAt <= now; });
  for (auto &[name, service] : gate.Services) {
    std::erase_if(service.SettleUntil, [&](const auto &it) {
      return now - it.second > SettleRetention;
    });
    expireQueue(service, now, actions);
    flushIfDoubtful(gate, name, actions);
    flushIfNoEndpoint(gate, name, now, actions);
    dispatch(gate, name, now, actions);
  }
  std::erase_if(gate.Departed,
                [&](const auto &it) { return it.second.ExpiresAt <= now; });
  gate.Ledger.removeExpired(now);
  expireCrashes(gate.Crashes, now);
  return actions;
}

GateActions noteForeignCrash(Gate &gate, std::uint64_t fingerprint,
                             const CrashRecord &record) {
  mergeCrash(gate.Crashes, fingerprint, record);
  const CrashRecord &own = gate.Crashes.Records[fingerprint];
  bool isClearedHere =
      own.CompletedAt &&
      (!record.CompletedAt || own.unexplained() < record.unexplained());
  if (!isClearedHere)
    return {};
  return {ContentClearedAction{fingerprint}};
}

GateLoad loadOf(const Gate &gate, const std::string &service, Instant now) {
  GateLoad load;
  for (const auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Announced.Service != service)
      continue;
    if (takesWork(endpoint, now) && !gate.IsDraining)
      load.FreeSlots += openSlots(endpoint, now);
    if (!load.Best || rankOf(endpoint.State) < rankOf(*load.Best))
      load.Best = endpoint.State;
  }
  load.Slots = slotsInRotation(gate, service, now);
  auto it = gate.Services.find(service);
  if (it != gate.Services.end())
    load.Queued = int(it->second.Queue.size());
  load.Limit = limitOf(gate, service);
  load.LimitWait = limitWait(gate, service, std::size_t(load.Queued), now);
  return load;
}

std::optional<double> limitOf(const Gate &gate, const std::string &service) {
  std::optional<double> sum;
  for (const auto &[name, endpoint] : gate.Endpoints) {
    if (endpoint.Announced.Service != service)
      continue;
    if (!endpoint.Limit)
      return std::nullopt;
    sum = sum.value_or(0) + endpoint.Limit->PerSecond;
  }
  return sum;
}

void noteGates(GateService &service, int gates) {
  service.Gates = std::max(service.Gates, gates);
}

bool isIdle(const Gate &gate) {
  return std::ranges::all_of(
             gate.Endpoints,
             [](const auto &it) { return it.second.Holders.empty(); }) &&
         std::ranges::all_of(gate.Services, [](const auto &it) {
           return it.second.Queue.size() == 0;
         });
}

} // namespace hickoryglade
