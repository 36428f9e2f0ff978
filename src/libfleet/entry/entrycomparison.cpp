#include "libfleet/entry/entryattempt.h"

#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/balance/grantload.h"

#include <algorithm>
#include <iterator>

/// The part of Entry that compares the loads of several gates before it sends a
/// request to one of them.

namespace hickoryglade::fleet {

namespace {

/// Wait for further replies after the first grant. A reply from another data
/// centre takes up to 6 ms, and a grant lapses after 250 ms.
constexpr Micros FurtherReplyWait = std::chrono::milliseconds(10);

/// Wait for the first grant. A process that has used up its share of a
/// processor may pause for 100 ms; until then, another gate is a better choice.
constexpr Micros FirstGrantWait = std::chrono::milliseconds(100);

/// A larger body may take much of the time for which a slot is granted: this
/// one takes 52 ms over a link of 10 Mbit/s.
constexpr std::size_t MaxComparedBytes = 64 * 1024;

std::optional<GrantLoad> toGrantLoad(const std::optional<wire::Load> &load) {
  if (!load)
    return std::nullopt;
  return GrantLoad{load->slots, load->freeSlots, load->queued};
}

} // namespace

/// A grant that has not been claimed yet.
struct Entry::GrantReply {
  std::size_t Target = 0;
  std::optional<wire::Load> Load;
};

int comparedGates(const RequestContext &context) {
  bool isLarge = context.Http.Content->size() > MaxComparedBytes;
  // Each gate would charge a repeat to its part of the retry budget.
  bool isRepeat = context.Arrivals > 0;
  return isLarge || isRepeat ? 0 : context.MatchedRoute.Policy.CompareGates;
}

void Entry::noteReport(Candidate &candidate, const GateLoadView &load,
                       Instant now) {
  // Refusals that don't concern a service carry no load.
  if (load.At == Instant{} || load.Load.slots <= 0)
    return;
  candidate.ReportedFree = load.Load.queued > 0 ? 0 : load.Load.freeSlots;
  candidate.ReportAge = now - load.At;
}

/// Leaves out gates whose links have yet to be opened, since the grants of
/// others would lapse meanwhile. Keeps one gate if no link is open.
void Entry::dropUnconnected(Attempt &attempt) {
  auto isConnected = [&](const Attempt::Target &it) {
    return Links.isConnected(it.Gate.Node);
  };
  std::ranges::stable_partition(attempt.Targets, isConnected);
  auto first = attempt.Targets.begin() + 1;
  auto end = std::find_if_not(first, attempt.Targets.end(), isConnected);
  for (auto it = end; it != attempt.Targets.end(); ++it)
    Links.prepare(it->Gate.Node, it->Node, now());
  attempt.Targets.erase(end, attempt.Targets.end());
}

/// Offers the request to all targets, which reply at once, and sends it to the
/// least loaded of those that grant a slot in time.
asio::awaitable<EntryResult> Entry::compareGates(Attempt &attempt) {
  dropUnconnected(attempt);
  if (attempt.Targets.size() == 1) {
    attempt.AwaitsGrant = false;
    co_return co_await sendDirect(attempt);
  }
  RequestContext &context = *attempt.Request;
  const std::string &service = context.MatchedRoute.Service;
  std::size_t open = co_await offerTickets(attempt);
  Error last = makeError(ErrorKind::NoEndpoint, "no gate can be reached",
                         DefaultRetryAfter);
  std::vector<GrantReply> grants;
  Instant until = std::min(now() + FirstGrantWait, attempt.waitUntil());
  while (grants.size() < open) {
    std::optional<StreamEvent> event = co_await attempt.Box->next(until);
    if (!event)
      break;
    bool isCancelled = std::holds_alternative<CancelledEvent>(event->Content);
    if (isCancelled || context.Scope->IsCancelled)
      co_return Error{ErrorKind::Cancelled, RunState::NotRun, {}, {}};
    if (std::holds_alternative<StoppedEvent>(event->Content))
      co_return shutdownError(RunState::NotRun);
    if (auto *grant = std::get_if<GrantEvent>(&event->Content)) {
      if (grants.empty())
        until = std::min(until, now() + FurtherReplyWait);
      grants.push_back({event->Tag, std::move(grant->Load)});
      auto load = toGrantLoad(grants.back().Load);
      if (load && isOtherwiseIdle(*load))
        break;
      continue;
    }
    // A refusal or a loss, perhaps of a gate that has granted a slot before.
    std::erase_if(
        grants, [&](const GrantReply &it) { return it.Target == event->Tag; });
    if (auto *failure = std::get_if<wire::Failure>(&event->Content))
      last = noteRefusal(attempt, event->Tag, *failure, std::move(last));
    cancelStream(attempt, event->Tag);
    --open;
  }
  if (grants.empty()) {
    Counters.countComparison(service, "none");
    if (open == 0)
      co_return last;
    if (now() >= attempt.waitUntil())
      co_return Error{ErrorKind::DeadlineExceeded, RunState::NotRun,
                      "no gate replied in time", DefaultRetryAfter};
    co_return Error{
        ErrorKind::SlotTaken, RunState::NotRun, "no gate replied at once", {}};
  }
  std::vector<std::optional<GrantLoad>> loads;
  std::ranges::transform(
      grants, std::back_inserter(loads),
      [](const GrantReply &it) { return toGrantLoad(it.Load); });
  std::size_t chosen = leastLoaded(loads, Rng);
  noteGrants(attempt, grants, chosen);
  Counters.countComparison(service, chosen == 0 ? "first" : "later");
  co_return co_await claimGrant(attempt, grants[chosen].Target);
}

/// Returns the error of a comparison that ends without a grant. A gate without
/// a free slot decides it, since the router then goes on to queue the request.
Error Entry::noteRefusal(Attempt &attempt, std::size_t target,
                         const wire::Failure &failure, Error last) {
  const std::string &node = attempt.Targets[target].Gate.Node;
  noteLoad(node, attempt.Request->MatchedRoute.Service, failure.load);
  Error refusal = toError(attempt, failure);
  if (refusal.Kind != ErrorKind::SlotTaken)
    attempt.Request->Tried.push_back(node);
  return last.Kind == ErrorKind::SlotTaken ? last : refusal;
}

/// Remembers the loads in grants. Slots that are not claimed become free again.
void Entry::noteGrants(const Attempt &attempt,
                       std::span<const GrantReply> grants, std::size_t chosen) {
  for (std::size_t i = 0; i < grants.size(); ++i) {
    if (!grants[i].Load)
      continue;
    wire::Load load = *grants[i].Load;
    load.freeSlots += i == chosen ? 0 : 1;
    noteLoad(attempt.Targets[grants[i].Target].Gate.Node,
             attempt.Request->MatchedRoute.Service, load);
  }
}

} // namespace hickoryglade::fleet
