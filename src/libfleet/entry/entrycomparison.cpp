#include "libfleet/entry/entryattempt.h"

#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/balance/comparison.h"

#include <algorithm>

/// The part of Entry that compares the loads of several gates before it sends a
/// request to one of them.

namespace hickoryglade::fleet {

namespace {

/// A larger body may take much of the time for which a slot is granted: this
/// one takes 52 ms over a link of 10 Mbit/s.
constexpr std::size_t MaxComparedBytes = 64 * 1024;

std::optional<GrantLoad> toGrantLoad(const std::optional<wire::Load> &load) {
  if (!load)
    return std::nullopt;
  return GrantLoad{load->slots, load->freeSlots, load->queued};
}

} // namespace

int comparedGates(const RequestContext &context) {
  bool isLarge = context.Http.Content->size() > MaxComparedBytes;
  return isLarge ? 0 : context.MatchedRoute.Policy.CompareGates;
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
  Comparison comparison = beginComparison(open, now(), attempt.waitUntil());
  while (!isDecided(comparison)) {
    std::optional<StreamEvent> event =
        co_await attempt.Box->next(comparison.Until);
    if (!event)
      break;
    bool isCancelled = std::holds_alternative<CancelledEvent>(event->Content);
    if (isCancelled || context.Scope->IsCancelled)
      co_return Error{ErrorKind::Cancelled, RunState::NotRun, {}, {}};
    if (std::holds_alternative<StoppedEvent>(event->Content))
      co_return shutdownError(RunState::NotRun);
    std::size_t target = event->Tag;
    if (auto *grant = std::get_if<GrantEvent>(&event->Content)) {
      noteGrant(comparison, {target, toGrantLoad(grant->Load)}, now());
      if (grant->Load)
        noteLoad(attempt.Targets[target].Gate.Node, service, *grant->Load);
      continue;
    }
    if (auto *failure = std::get_if<wire::Failure>(&event->Content))
      last = takeRefusal(attempt, target, *failure, std::move(last));
    noteRefusal(comparison, target);
    cancelStream(attempt, target);
  }
  std::optional<std::size_t> chosen = chooseGrant(comparison, Rng);
  Counters.countComparison(service, !chosen        ? "none"
                                    : *chosen == 0 ? "first"
                                                   : "later");
  if (chosen) {
    noteUnclaimed(attempt, comparison, *chosen);
    co_return co_await claimGrant(attempt, comparison.Grants[*chosen].Target);
  }
  if (comparison.Open == 0)
    co_return last;
  if (now() >= attempt.waitUntil())
    co_return Error{ErrorKind::DeadlineExceeded, RunState::NotRun,
                    "no gate replied in time", DefaultRetryAfter};
  co_return Error{
      ErrorKind::SlotTaken, RunState::NotRun, "no gate replied at once", {}};
}

/// Returns the error of a comparison that ends without a grant. A gate without
/// a free slot decides it, since the router then goes on to queue the request.
Error Entry::takeRefusal(Attempt &attempt, std::size_t target,
                         const wire::Failure &failure, Error last) {
  const std::string &node = attempt.Targets[target].Gate.Node;
  noteLoad(node, attempt.Request->MatchedRoute.Service, failure.load);
  Error refusal = toError(attempt, failure);
  if (refusal.Kind != ErrorKind::SlotTaken)
    attempt.Request->Tried.push_back(node);
  return last.Kind == ErrorKind::SlotTaken ? last : refusal;
}

/// Corrects the loads in grants: slots that are not claimed become free again.
void Entry::noteUnclaimed(const Attempt &attempt, const Comparison &comparison,
                          std::size_t chosen) {
  for (std::size_t i = 0; i < comparison.Grants.size(); ++i) {
    const ComparedGrant &it = comparison.Grants[i];
    if (i != chosen && it.Load)
      ++Loads[loadKey(attempt.Targets[it.Target].Gate.Node,
                      attempt.Request->MatchedRoute.Service)]
            .Load.freeSlots;
  }
}

} // namespace hickoryglade::fleet
