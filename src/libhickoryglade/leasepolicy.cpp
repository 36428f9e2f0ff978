#include "libhickoryglade/leasepolicy.h"

#include <algorithm>

namespace hickoryglade {

namespace {

LeaseRecord makeRecord(const LeaseAgent &agent, LeaseAction action,
                       const LeaseSubject &subject, const LeaseHolder &holder) {
  LeaseRecord record;
  record.Action = action;
  record.Subject = subject;
  record.Holder = holder;
  record.Author = agent.Self.Node;
  return record;
}

bool isPromised(const LeaseAgent &agent, const LeaseSubject &subject,
                Instant now) {
  if (subject.Kind != LeaseKind::Keeper)
    return false;
  auto it = agent.Promises.find(subject.Name);
  return it != agent.Promises.end() && now < it->second;
}

const LedgerMember *findMember(const std::vector<LedgerMember> &members,
                               const std::string &node) {
  auto it = std::ranges::find(members, node, [](const LedgerMember &member) {
    return member.Holder.Node;
  });
  return it == members.end() ? nullptr : &*it;
}

bool isGone(const LeaseAgent &agent, const std::vector<LedgerMember> &members,
            const LeaseHolder &holder, Instant now) {
  const LedgerMember *member = findMember(members, holder.Node);
  if (!member)
    return now - agent.StartedAt > UnknownHolderTimeout;
  return member->Holder.BootId > holder.BootId ||
         (member->IsDead && member->Holder == holder);
}

/// A keeper that joins between another keeper and its successor becomes the
/// successor only once the former successor has read its grant, since that one
/// may have promised not to challenge.
bool hasTakenOver(const LeaseAgent &agent, const std::string &keeper,
                  const std::vector<LedgerMember> &members) {
  LeaseSubject own{LeaseKind::Keeper, "", agent.Self.Node};
  auto it = agent.Ledger.Leases.find(own);
  if (it == agent.Ledger.Leases.end())
    return false;
  LeaseLedger without = agent.Ledger;
  without.Leases.erase(own);
  std::string former = keeperSuccessor(without, keeper);
  const LedgerMember *member = findMember(members, former);
  return former.empty() || (member && member->LedgerNext > it->second.Since);
}

/// Only its successor may challenge a keeper. Any node may challenge the holder
/// of an ejection; the first record counts.
bool isResponsible(const LeaseAgent &agent, const LeaseSubject &subject,
                   const std::vector<LedgerMember> &members) {
  return subject.Kind != LeaseKind::Keeper ||
         (keeperSuccessor(agent.Ledger, subject.Name) == agent.Self.Node &&
          hasTakenOver(agent, subject.Name, members));
}

std::optional<LeaseRecord> challengeOrEvict(const LeaseAgent &agent,
                                            const LeaseSubject &subject,
                                            const Lease &lease, Instant now) {
  if (isPromised(agent, subject, now))
    return std::nullopt;
  if (!lease.ChallengedAt)
    return makeRecord(agent, LeaseAction::Challenge, subject, lease.Holder);
  auto since = agent.Challenges.find(subject);
  if (since == agent.Challenges.end() || now - since->second < ChallengeTerm)
    return std::nullopt;
  LeaseRecord record =
      makeRecord(agent, LeaseAction::Evict, subject, lease.Holder);
  record.ChallengedAt = *lease.ChallengedAt;
  return record;
}

} // namespace

void noteRead(LeaseAgent &agent, Instant startedAt) {
  agent.ReadAt = startedAt;
}

void noteSuccessorPromise(LeaseAgent &agent, Instant requestedAt) {
  agent.SuccessorPromisedAt = requestedAt;
}

std::vector<LeaseEvent> applyLeaseRecord(LeaseAgent &agent, std::int64_t offset,
                                         const std::string &data, Instant now) {
  std::vector<LeaseEvent> events = foldLease(agent.Ledger, offset, data);
  for (const LeaseEvent &it : events) {
    if (it.What == LeaseEvent::Change::Challenged)
      agent.Challenges[it.Subject] = now;
    else
      agent.Challenges.erase(it.Subject);
    agent.UnreadRecords.erase(it.Subject);
    if (it.What == LeaseEvent::Change::Granted)
      agent.RenewedAt[it.Subject] = now;
  }
  return events;
}

std::optional<Instant> leaseEnd(const LeaseAgent &agent,
                                const LeaseSubject &subject) {
  if (!isHeldBy(agent.Ledger, subject, agent.Self))
    return std::nullopt;
  std::optional<Instant> from = agent.ReadAt;
  if (subject.Kind == LeaseKind::Keeper && agent.SuccessorPromisedAt)
    from = std::max(from.value_or(*agent.SuccessorPromisedAt),
                    *agent.SuccessorPromisedAt);
  if (!from)
    return std::nullopt;
  return *from + LeaseTerm;
}

std::vector<LeaseRecord> dueRenewals(LeaseAgent &agent, Instant now) {
  std::vector<LeaseRecord> due;
  for (const auto &[subject, lease] : agent.Ledger.Leases) {
    if (lease.Holder != agent.Self)
      continue;
    Instant &last = agent.RenewedAt[subject];
    if (!lease.ChallengedAt && now - last < RenewPeriod)
      continue;
    last = now;
    due.push_back(makeRecord(agent, LeaseAction::Renew, subject, lease.Holder));
  }
  return due;
}

std::vector<LeaseRecord> dueChallenges(LeaseAgent &agent,
                                       const std::vector<LedgerMember> &members,
                                       Instant now) {
  std::vector<LeaseRecord> due;
  for (const auto &[subject, lease] : agent.Ledger.Leases) {
    auto written = agent.UnreadRecords.find(subject);
    bool isUnread = written != agent.UnreadRecords.end() &&
                    now - written->second < LeaseTerm;
    if (!isGone(agent, members, lease.Holder, now) || isUnread ||
        !isResponsible(agent, subject, members))
      continue;
    if (auto record = challengeOrEvict(agent, subject, lease, now)) {
      agent.UnreadRecords[subject] = now;
      due.push_back(std::move(*record));
    }
  }
  return due;
}

bool promise(LeaseAgent &agent, const LeaseHolder &keeper, Instant now) {
  LeaseSubject subject{LeaseKind::Keeper, "", keeper.Node};
  bool isSuccessor =
      keeperSuccessor(agent.Ledger, keeper.Node) == agent.Self.Node;
  auto written = agent.UnreadRecords.find(subject);
  bool hasActed = written != agent.UnreadRecords.end() &&
                  now - written->second < 2 * ChallengeTerm;
  if (!isSuccessor || hasActed || !isHeldBy(agent.Ledger, subject, keeper) ||
      agent.Ledger.Leases.at(subject).ChallengedAt)
    return false;
  agent.Promises[keeper.Node] = now + ChallengeTerm;
  return true;
}

} // namespace hickoryglade
