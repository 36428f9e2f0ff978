#include "libhickoryglade/leaseledger.h"
#include "libhickoryglade/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hickoryglade {

namespace {

using nlohmann::json;
using Change = LeaseEvent::Change;

constexpr std::array<std::string_view, 5> ActionNames = {
    "acquire", "renew", "release", "challenge", "evict"};
constexpr std::array<std::string_view, 2> KindNames = {"ejection", "keeper"};

template <typename Enum, std::size_t N>
std::optional<Enum> parseName(const std::array<std::string_view, N> &names,
                              const json &value) {
  if (!value.is_string())
    return std::nullopt;
  auto it = std::ranges::find(names, value.get<std::string>());
  if (it == names.end())
    return std::nullopt;
  return static_cast<Enum>(it - names.begin());
}

bool isText(const json &object, const char *key) {
  return object.contains(key) && object[key].is_string();
}

bool isInteger(const json &object, const char *key) {
  return object.contains(key) && object[key].is_number_integer();
}

bool isTextList(const json &value) {
  return value.is_array() && std::ranges::all_of(value, [](const json &it) {
           return it.is_string();
         });
}

/// The last healthy endpoint is never ejected, even if no floor is set.
int minRemaining(const LeaseRecord &record) {
  return std::max(record.Floor, 1);
}

int remainingHealthy(const LeaseLedger &ledger, const LeaseRecord &record) {
  return int(
      std::ranges::count_if(record.Healthy, [&](const std::string &name) {
        LeaseSubject other{LeaseKind::Ejection, record.Subject.Service, name};
        return other != record.Subject && !ledger.Leases.contains(other);
      }));
}

bool isGrantable(const LeaseLedger &ledger, const LeaseRecord &record) {
  return record.Subject.Kind == LeaseKind::Keeper ||
         remainingHealthy(ledger, record) >= minRemaining(record);
}

std::vector<LeaseEvent> acquire(LeaseLedger &ledger, std::int64_t offset,
                                const LeaseRecord &record) {
  auto it = ledger.Leases.find(record.Subject);
  std::vector<LeaseEvent> events;
  if (it != ledger.Leases.end()) {
    if (it->second.Holder == record.Holder)
      return {{record.Subject, record.Holder, Change::Granted}};
    bool isOlderBoot = it->second.Holder.Node == record.Holder.Node &&
                       it->second.Holder.BootId > record.Holder.BootId;
    if (isOlderBoot)
      return {{record.Subject, record.Holder, Change::Denied}};
    events.push_back({record.Subject, it->second.Holder, Change::Replaced});
    ledger.Leases.erase(it);
  }
  if (!isGrantable(ledger, record)) {
    events.push_back({record.Subject, record.Holder, Change::Denied});
    return events;
  }
  ledger.Leases[record.Subject] = {record.Holder, offset, std::nullopt};
  events.push_back({record.Subject, record.Holder, Change::Granted});
  return events;
}

/// For a reader that started after the grant, a renewal creates the lease.
std::vector<LeaseEvent> renew(LeaseLedger &ledger, std::int64_t offset,
                              const LeaseRecord &record) {
  auto it = ledger.Leases.find(record.Subject);
  if (it == ledger.Leases.end()) {
    ledger.Leases[record.Subject] = {record.Holder, offset, std::nullopt};
    return {{record.Subject, record.Holder, Change::Granted}};
  }
  if (it->second.Holder == record.Holder)
    it->second.ChallengedAt.reset();
  return {};
}

bool mayChallenge(const LeaseLedger &ledger, const LeaseRecord &record) {
  return record.Subject.Kind != LeaseKind::Keeper ||
         keeperSuccessor(ledger, record.Subject.Name) == record.Author;
}

std::vector<LeaseEvent> end(LeaseLedger &ledger, const LeaseRecord &record,
                            Change change) {
  ledger.Leases.erase(record.Subject);
  return {{record.Subject, record.Holder, change}};
}

std::vector<LeaseEvent> apply(LeaseLedger &ledger, std::int64_t offset,
                              const LeaseRecord &record) {
  if (record.Action == LeaseAction::Acquire)
    return acquire(ledger, offset, record);
  if (record.Action == LeaseAction::Renew)
    return renew(ledger, offset, record);
  if (!isHeldBy(ledger, record.Subject, record.Holder))
    return {};
  Lease &lease = ledger.Leases.at(record.Subject);
  switch (record.Action) {
  case LeaseAction::Release:
    return end(ledger, record, Change::Released);
  case LeaseAction::Challenge:
    if (lease.ChallengedAt || !mayChallenge(ledger, record))
      return {};
    lease.ChallengedAt = offset;
    return {{record.Subject, record.Holder, Change::Challenged}};
  case LeaseAction::Evict:
    if (lease.ChallengedAt != record.ChallengedAt ||
        !mayChallenge(ledger, record))
      return {};
    return end(ledger, record, Change::Evicted);
  default:
    return {};
  }
}

} // namespace

std::string encodeLease(const LeaseRecord &record) {
  return json{{"action", ActionNames[std::size_t(record.Action)]},
              {"kind", KindNames[std::size_t(record.Subject.Kind)]},
              {"service", record.Subject.Service},
              {"name", record.Subject.Name},
              {"node", record.Holder.Node},
              {"boot_id", record.Holder.BootId},
              {"author", record.Author},
              {"healthy", record.Healthy},
              {"floor", record.Floor},
              {"challenged_at", record.ChallengedAt}}
      .dump();
}

std::optional<LeaseRecord> decodeLease(const std::string &data) {
  json in = parseJson(data);
  if (!in.is_object() || !in.contains("action") || !in.contains("kind"))
    return std::nullopt;
  auto action = parseName<LeaseAction>(ActionNames, in["action"]);
  auto kind = parseName<LeaseKind>(KindNames, in["kind"]);
  bool isComplete = isText(in, "service") && isText(in, "name") &&
                    isText(in, "node") && isText(in, "author") &&
                    isInteger(in, "boot_id") && isInteger(in, "floor") &&
                    isInteger(in, "challenged_at") && in.contains("healthy") &&
                    isTextList(in["healthy"]);
  if (!action || !kind || !isComplete)
    return std::nullopt;
  return LeaseRecord{*action,
                     {*kind, in["service"], in["name"]},
                     {in["node"], in["boot_id"]},
                     in["author"],
                     in["healthy"].get<std::vector<std::string>>(),
                     in["floor"],
                     in["challenged_at"]};
}

std::vector<LeaseEvent> foldLease(LeaseLedger &ledger, std::int64_t offset,
                                  const std::string &data) {
  if (offset < ledger.Next)
    return {};
  ledger.Next = offset + 1;
  std::optional<LeaseRecord> record = decodeLease(data);
  return record ? apply(ledger, offset, *record) : std::vector<LeaseEvent>{};
}

bool isHeldBy(const LeaseLedger &ledger, const LeaseSubject &subject,
              const LeaseHolder &holder) {
  auto it = ledger.Leases.find(subject);
  return it != ledger.Leases.end() && it->second.Holder == holder;
}

std::vector<LeaseHolder> keeperRoster(const LeaseLedger &ledger) {
  std::vector<LeaseHolder> roster;
  for (const auto &[subject, lease] : ledger.Leases)
    if (subject.Kind == LeaseKind::Keeper)
      roster.push_back(lease.Holder);
  std::ranges::sort(roster);
  return roster;
}

std::string keeperSuccessor(const LeaseLedger &ledger,
                            const std::string &node) {
  std::vector<LeaseHolder> roster = keeperRoster(ledger);
  std::erase_if(roster, [&](const auto &it) { return it.Node == node; });
  if (roster.empty())
    return "";
  auto next = std::ranges::find_if(
      roster, [&](const auto &it) { return it.Node > node; });
  return next == roster.end() ? roster.front().Node : next->Node;
}

} // namespace hickoryglade
