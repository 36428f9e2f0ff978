#include "libfleet/log/leaseservice.h"

#include "libfleet/base/clock.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"

#include <nlohmann/json.hpp>

#include <array>

namespace hickoryglade::fleet {

namespace {

constexpr Millis PollWait = std::chrono::seconds(2);
constexpr Millis InitialBackoff = std::chrono::milliseconds(200);
constexpr Millis MaxBackoff = std::chrono::seconds(2);
constexpr Millis MaintenancePeriod = std::chrono::milliseconds(200);

/// Interval at which an unanswered request for a lease is repeated.
constexpr Micros AcquirePeriod = std::chrono::seconds(2);

/// A keeper requests vouchers once its last successful read and its last
/// voucher are both older than this.
constexpr Micros VoucherRenewalAge = std::chrono::seconds(3);

constexpr std::size_t MaxHandedOn = 256;

/// True if an ejection keeps the service at or above its floor. The ledger
/// makes the decision; this check avoids appending records that it would deny.
bool meetsFloor(const LeaseRecord &record) {
  return int(record.Healthy.size()) >= std::max(record.Floor, 1);
}

std::string_view toString(LeaseEvent::Change change) {
  constexpr std::array<std::string_view, 6> names = {
      "granted", "denied", "released", "evicted", "replaced", "challenged"};
  return names[std::size_t(change)];
}

} // namespace

LeaseService::LeaseService(asio::io_context &io, std::string logAddress,
                           std::string stream, LeaseHolder self,
                           Metrics &metrics, Events events)
    : Io(io), Reader(io.get_executor(), logAddress, stream),
      Writer(io.get_executor(), logAddress, stream), Counters(metrics),
      Handlers(std::move(events)) {
  Agent.Self = std::move(self);
  Agent.StartedAt = now();
  Keeper = {LeaseKind::Keeper, "", Agent.Self.Node};
}

void LeaseService::start() {
  asio::co_spawn(Io, follow(), asio::detached);
  asio::co_spawn(Io, maintainLeases(), asio::detached);
}

asio::awaitable<void> LeaseService::pause(Millis wait) {
  asio::steady_timer timer(Io, wait);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> LeaseService::follow() {
  Millis backoff = InitialBackoff;
  while (true) {
    Instant began = now();
    Millis wait = HasReachedTail ? PollWait : Millis(0);
    ReadResult result = co_await Reader.read(Agent.Ledger.Next, wait);
    if (result.Status == LogStatus::Expired) {
      Agent.Ledger.Next = std::max(Agent.Ledger.Next, result.First);
      continue;
    }
    if (result.Status != LogStatus::Done) {
      Counters.countLogFailure("read");
      co_await pause(backoff);
      backoff = std::min(backoff * 2, MaxBackoff);
      continue;
    }
    backoff = InitialBackoff;
    for (const LogRecord &record : result.Records)
      for (const LeaseEvent &it :
           applyLeaseRecord(Agent, record.Offset, record.Data, now())) {
        logEvent(LogLevel::Info, "lease",
                 {{"what", toString(it.What)},
                  {"subject", it.Subject.Name},
                  {"service", it.Subject.Service},
                  {"holder", it.Holder.Node}});
        bool isKeeperGone = it.Subject.Kind == LeaseKind::Keeper &&
                            it.What == LeaseEvent::Change::Released;
        if (isKeeperGone && HandedOn.size() < MaxHandedOn)
          HandedOn.push_back(it.Holder);
      }
    bool isAtTail = result.Records.empty() || HasReachedTail;
    HasReachedTail = HasReachedTail || result.Records.empty();
    if (isAtTail)
      noteRead(Agent, began);
    Handlers.OnChange();
  }
}

LeaseRecord LeaseService::ownRecord(LeaseAction action,
                                    const LeaseSubject &subject) const {
  LeaseRecord record;
  record.Action = action;
  record.Subject = subject;
  record.Holder = Agent.Self;
  record.Author = Agent.Self.Node;
  return record;
}

std::vector<LeaseRecord> LeaseService::dueRecords() {
  std::vector<LeaseRecord> due = dueRenewals(Agent, now());
  if (!HasReachedTail)
    return due;
  for (LeaseRecord &it : dueChallenges(Agent, Handlers.Members(), now()))
    due.push_back(std::move(it));
  bool isKeeper = isHeldBy(Agent.Ledger, Keeper, Agent.Self);
  if (!isKeeper && !IsResigned && now() - KeeperRequestedAt > AcquirePeriod) {
    KeeperRequestedAt = now();
    due.push_back(ownRecord(LeaseAction::Acquire, Keeper));
  }
  for (auto &[subject, requestedAt] : WantedEjections) {
    bool isHeld = isHeldBy(Agent.Ledger, subject, Agent.Self);
    if (isHeld || now() - requestedAt < AcquirePeriod)
      continue;
    LeaseRecord record = Handlers.MakeEjectionRecord(subject);
    if (!meetsFloor(record))
      continue;
    requestedAt = now();
    record.Action = LeaseAction::Acquire;
    record.Subject = subject;
    record.Holder = Agent.Self;
    record.Author = Agent.Self.Node;
    due.push_back(std::move(record));
  }
  for (const LeaseSubject &subject : ejectionsToRelease())
    due.push_back(ownRecord(LeaseAction::Release, subject));
  return due;
}

/// Own ejection leases that are no longer wanted, or that leave a service below
/// its floor because other endpoints of it have failed.
std::vector<LeaseSubject> LeaseService::ejectionsToRelease() {
  std::vector<LeaseSubject> needless;
  for (const auto &[subject, lease] : Agent.Ledger.Leases) {
    if (subject.Kind != LeaseKind::Ejection || lease.Holder != Agent.Self)
      continue;
    bool isAboveFloor = meetsFloor(Handlers.MakeEjectionRecord(subject));
    if (!isAboveFloor)
      WantedEjections.erase(subject);
    if (!WantedEjections.contains(subject))
      needless.push_back(subject);
  }
  return needless;
}

asio::awaitable<bool> LeaseService::append(LeaseRecord record) {
  AppendResult result = co_await Writer.append(encodeLease(record));
  if (result.Status != LogStatus::Done)
    Counters.countLogFailure("append");
  co_return result.Status == LogStatus::Done;
}

asio::awaitable<void> LeaseService::maintainLeases() {
  while (true) {
    co_await pause(MaintenancePeriod);
    std::vector<LeaseRecord> due = dueRecords();
    for (LeaseRecord &record : due) {
      bool isAppended = co_await append(std::move(record));
      if (!isAppended)
        break;
    }
    co_await renewVoucher();
  }
}

asio::awaitable<void> LeaseService::renewVoucher() {
  bool isKeeper = isHeldBy(Agent.Ledger, Keeper, Agent.Self);
  bool isFresh = Agent.ReadAt && now() - *Agent.ReadAt < VoucherRenewalAge;
  bool isVouched = Agent.SuccessorPromisedAt &&
                   now() - *Agent.SuccessorPromisedAt < VoucherRenewalAge;
  std::string successor = keeperSuccessor(Agent.Ledger, Agent.Self.Node);
  if (!isKeeper || isFresh || isVouched || successor.empty())
    co_return;
  Instant requestedAt = now();
  bool isPromised = co_await Handlers.RequestVoucher(successor);
  if (!isPromised)
    co_return;
  noteSuccessorPromise(Agent, requestedAt);
  Handlers.OnChange();
}

void LeaseService::updateEjectionLease(const LeaseSubject &subject,
                                       bool isWanted) {
  if (isWanted)
    WantedEjections.try_emplace(subject);
  else
    WantedEjections.erase(subject);
}

std::map<std::string, Instant> LeaseService::ejections() const {
  std::map<std::string, Instant> ends;
  for (const auto &[subject, requestedAt] : WantedEjections)
    if (auto end = leaseEnd(Agent, subject))
      ends[subject.Name] = *end;
  return ends;
}

std::optional<Instant> LeaseService::keeperLeaseEnd() const {
  if (IsResigned)
    return std::nullopt;
  return leaseEnd(Agent, Keeper);
}

bool LeaseService::vouch(const LeaseHolder &keeper) {
  return promise(Agent, keeper, now());
}

asio::awaitable<bool> LeaseService::resign(Millis limit) {
  IsResigned = true;
  Handlers.OnChange();
  Instant until = now() + limit;
  LogClient writer(Io.get_executor(), Reader.address(), Reader.stream());
  while (isHeldBy(Agent.Ledger, Keeper, Agent.Self) && now() < until) {
    LeaseRecord record = ownRecord(LeaseAction::Release, Keeper);
    AppendResult result = co_await writer.append(encodeLease(record));
    if (result.Status == LogStatus::Done)
      co_return true;
    co_await pause(MaintenancePeriod);
  }
  co_return !isHeldBy(Agent.Ledger, Keeper, Agent.Self);
}

} // namespace hickoryglade::fleet
