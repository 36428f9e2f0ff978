#include "libhickoryglade/gatehealth.h"

#include "libhickoryglade/gatelimit.h"
#include "libhickoryglade/gaterules.h"
#include "libhickoryglade/registry.h"

#include <algorithm>

namespace hickoryglade {

namespace {

/// A restart within this time after a broken connection counts as a crash.
constexpr Micros DroppedWindow = std::chrono::seconds(10);

/// Successful answers that end the trial of an endpoint with relapses.
constexpr int AnswersAfterRelapse = 2;

/// Weight in the moving average; two failures in a row raise it above 0.5.
constexpr double LatestOutcomeWeight = 0.3;

/// Pause between reports of the same request, since its entry may find room
/// elsewhere later.
constexpr Micros OverdueReportPeriod = std::chrono::milliseconds(200);

Error stallError() {
  return makeError(ErrorKind::EndpointFailed, "the endpoint stalls");
}

void markSuspect(GateEndpoint &endpoint, const std::string &reason,
                 bool isUnhealthy, Instant now, GateActions &actions) {
  if (endpoint.State == Standing::Trial)
    ++endpoint.Relapses;
  if (endpoint.RecoveredAt && now - *endpoint.RecoveredAt < RelapseWindow)
    ++endpoint.Relapses;
  endpoint.RecoveredAt.reset();
  setStanding(endpoint, Standing::Suspect, reason, now, actions);
  if (isUnhealthy)
    actions.push_back(EjectionAction{endpoint.Announced.Name,
                                     endpoint.Announced.Service, true});
}

void recover(GateEndpoint &endpoint, Instant now, GateActions &actions) {
  if (endpoint.State == Standing::Healthy)
    return;
  ++endpoint.TrialAnswers;
  bool isOnTrial = endpoint.State == Standing::Trial && endpoint.Relapses > 0;
  if (isOnTrial && endpoint.TrialAnswers < AnswersAfterRelapse)
    return;
  // An endpoint that fails most requests still answers a few of them.
  bool isStillFailing = endpoint.State == Standing::Suspect &&
                        endpoint.FailureShare > MaxFailureShare;
  if (isStillFailing)
    return;
  endpoint.FailureShare = 0;
  endpoint.IsHanging = false;
  endpoint.RecoveredAt = now;
  endpoint.EvidenceSince = now;
  setStanding(endpoint, Standing::Healthy, "completes work", now, actions);
  actions.push_back(EjectionAction{endpoint.Announced.Name,
                                   endpoint.Announced.Service, false});
}

/// The share that an endpoint's sheds are compared with; nothing without
/// evidence about other endpoints of the service.
std::optional<double> comparedShedShare(const GateService &service,
                                        Instant now) {
  if (!service.Policy.ComparesSheds || service.Gates <= 1)
    return std::nullopt;
  return shedShare(service.Sheds, now);
}

/// Ends the doubt about an endpoint that became suspect before the gate had
/// heard how much the whole service sheds. Not a recovery: a later failure is
/// no relapse.
void liftShedDoubt(GateEndpoint &endpoint, const EndpointEvidence &evidence,
                   Instant now, GateActions &actions) {
  bool isUsual = endpoint.State == Standing::Suspect &&
                 endpoint.IsSuspectForSheds && evidence.ServiceShedShare &&
                 evidence.ConsecutiveSheds > 0 && !endpoint.IsHanging &&
                 endpoint.FailureShare <= MaxFailureShare;
  if (!isUsual)
    return;
  endpoint.IsSuspectForSheds = false;
  setStanding(endpoint, Standing::Healthy, "sheds no more than its service",
              now, actions);
  actions.push_back(EjectionAction{endpoint.Announced.Name,
                                   endpoint.Announced.Service, false});
}

void updateFailureShare(GateEndpoint &endpoint, bool isFailure) {
  endpoint.FailureShare +=
      ((isFailure ? 1.0 : 0.0) - endpoint.FailureShare) * LatestOutcomeWeight;
}

void countFailure(GateEndpoint &endpoint) {
  ++endpoint.ConsecutiveFailures;
  updateFailureShare(endpoint, true);
}

/// Reports overdue idempotent requests of a stalled endpoint to their entries,
/// which can retry them at another endpoint. Only the entry knows whether it
/// still can: it may be stopping, or have no retry left. Entries of earlier
/// releases leave the decision to the gate.
void reportOverdue(GateEndpoint &endpoint, const ServicePolicy &policy,
                   Instant now, GateActions &actions) {
  for (SlotHolder &holder : endpoint.Holders) {
    if (!holder.IsStarted || !shouldRetryElsewhere(holder, policy, now))
      continue;
    if (holder.Request.DecidesRetry)
      reportToEntry(holder, std::nullopt, now, actions);
    else
      actions.push_back(AbortAction{holder.Request.AttemptId, stallError()});
  }
}

/// Reports the end of an incarnation of an endpoint once for each content that
/// ran there.
void reportCrash(Gate &gate, const GateEndpoint &endpoint,
                 const DroppedRequest &dropped, Instant now,
                 GateActions &actions) {
  const std::string &service = endpoint.Announced.Service;
  std::string crash = crashName(endpoint.Announced.Name, dropped.Incarnation);
  bool isNew = noteCrash(gate.Crashes, dropped.Fingerprint, crash, dropped.At,
                         now + gate.Services[service].Policy.QuarantineTerm);
  if (isNew)
    actions.push_back(CrashAction{dropped.Fingerprint, service, crash});
}

/// Reports crashes for connections that broke shortly before a restart.
void reportDroppedAsCrashes(Gate &gate, GateEndpoint &endpoint, Instant now,
                            GateActions &actions) {
  for (const DroppedRequest &it : endpoint.Dropped)
    if (now - it.At < DroppedWindow)
      reportCrash(gate, endpoint, it, now, actions);
  endpoint.Dropped.clear();
}

/// A timeout counts as a failure of the endpoint if the request ran far longer
/// than expected and the endpoint completed nothing meanwhile.
bool isConclusiveTimeout(const GateEndpoint &endpoint, const SlotHolder &holder,
                         Instant now) {
  return endpoint.LastCompletion < holder.Since &&
         now - holder.Since > OverdueFactor * holder.Request.ExpectedCost;
}

} // namespace

void reportToEntry(SlotHolder &holder, std::optional<Micros> endsIn,
                   Instant now, GateActions &actions) {
  bool isReported =
      holder.ReportedAt && now - *holder.ReportedAt < OverdueReportPeriod;
  if (isReported)
    return;
  holder.ReportedAt = now;
  actions.push_back(OverdueAction{holder.Request.AttemptId, endsIn});
}

void setStanding(GateEndpoint &endpoint, Standing state, std::string reason,
                 Instant now, GateActions &actions) {
  if (endpoint.State == state)
    return;
  endpoint.State = state;
  endpoint.StateSince = now;
  endpoint.StateReason = reason;
  actions.push_back(
      StandingAction{endpoint.Announced.Name, state, std::move(reason)});
}

GateActions giveUpOverdue(const Gate &gate, const std::string &attempt) {
  auto held = gate.EndpointByAttempt.find(attempt);
  if (held == gate.EndpointByAttempt.end())
    return {};
  bool isStarted = std::ranges::any_of(
      gate.Endpoints.at(held->second).Holders, [&](const SlotHolder &it) {
        return it.Request.AttemptId == attempt && it.IsStarted;
      });
  if (!isStarted)
    return {};
  return {AbortAction{attempt, stallError()}};
}

void assessHealth(Gate &gate, GateEndpoint &endpoint, Instant now,
                  GateActions &actions) {
  const GateService &service = gate.Services[endpoint.Announced.Service];
  const ServicePolicy &policy = service.Policy;
  const auto *health = Registry<HealthPolicy>::instance().find(policy.Health);
  if (!health)
    return;
  EndpointEvidence evidence = evidenceOf(endpoint, policy, now);
  evidence.ServiceShedShare = comparedShedShare(service, now);
  HealthAssessment assessment = health->Assess(evidence, policy);
  endpoint.IsHanging = endpoint.IsHanging || assessment.IsHanging;
  bool isUnhealthy = assessment.Verdict == HealthVerdict::Unhealthy;
  if (isUnhealthy || endpoint.IsHanging)
    reportOverdue(endpoint, policy, now, actions);
  if (assessment.Verdict == HealthVerdict::Healthy)
    return liftShedDoubt(endpoint, evidence, now, actions);
  bool isNewlyDoubtful =
      endpoint.State == Standing::Healthy || endpoint.State == Standing::Trial;
  endpoint.IsSuspectForSheds =
      assessment.IsForSheds && (isNewlyDoubtful || endpoint.IsSuspectForSheds);
  if (isNewlyDoubtful)
    markSuspect(endpoint, assessment.Reason, isUnhealthy, now, actions);
  else if (isUnhealthy && !isEjected(endpoint, now))
    actions.push_back(EjectionAction{endpoint.Announced.Name,
                                     endpoint.Announced.Service, true});
}

void reviewShedDoubts(Gate &gate, const std::string &service, Instant now,
                      GateActions &actions) {
  for (auto &[name, it] : gate.Endpoints)
    if (it.Announced.Service == service && it.IsSuspectForSheds &&
        it.State == Standing::Suspect)
      assessHealth(gate, it, now, actions);
}

void considerTrial(const Gate &gate, GateEndpoint &endpoint, Instant now,
                   GateActions &actions) {
  auto service = gate.Services.find(endpoint.Announced.Service);
  static const ServicePolicy defaults;
  const ServicePolicy &policy =
      service == gate.Services.end() ? defaults : service->second.Policy;
  bool isUntried = endpoint.State == Standing::Trial &&
                   !hasStartedSinceChange(endpoint) &&
                   now - endpoint.StateSince > policy.TrialIdleTimeout;
  if (isUntried)
    setStanding(endpoint, Standing::Healthy, "no trial came", now, actions);
  if (endpoint.State != Standing::Suspect &&
      endpoint.State != Standing::Ejected)
    return;
  bool hasRested =
      now - endpoint.StateSince >= restBeforeTrial(policy, endpoint.Relapses);
  // Requests from before the change may hang until their deadline; they do not
  // delay the trial.
  if (!hasRested || hasStartedSinceChange(endpoint))
    return;
  endpoint.ConsecutiveFailures = 0;
  endpoint.ConsecutiveSheds = 0;
  endpoint.IsListening = true;
  endpoint.EjectedUntil.reset();
  endpoint.TrialAnswers = 0;
  endpoint.EvidenceSince = now;
  setStanding(endpoint, Standing::Trial, "has rested", now, actions);
}

void noteOutcome(Gate &gate, GateEndpoint &endpoint, const SlotHolder &holder,
                 AttemptOutcome outcome, Instant now, GateActions &actions) {
  bool hasCompleted = outcome == AttemptOutcome::Answered ||
                      outcome == AttemptOutcome::ServerError;
  std::uint64_t fingerprint = holder.Request.Fingerprint;
  if (hasCompleted && noteContentCompleted(gate.Crashes, fingerprint, now))
    actions.push_back(ContentClearedAction{fingerprint});
  switch (outcome) {
  case AttemptOutcome::Answered:
    noteCompletion(endpoint, now);
    endpoint.IsListening = true;
    ++endpoint.Completions;
    endpoint.ConsecutiveFailures = 0;
    endpoint.ConsecutiveSheds = 0;
    updateFailureShare(endpoint, false);
    if (endpoint.State != Standing::Draining)
      recover(endpoint, now, actions);
    return;
  case AttemptOutcome::ServerError:
    noteCompletion(endpoint, now);
    countFailure(endpoint);
    return;
  case AttemptOutcome::Shed: {
    endpoint.LastCompletion = now;
    // What was sent before the endpoint named its limit may exceed it.
    bool wasUnlimited =
        endpoint.Limit && holder.Since < endpoint.Limit->LoweredAt;
    endpoint.ConsecutiveSheds += !wasUnlimited;
    return;
  }
  case AttemptOutcome::Crashed:
    reportCrash(
        gate, endpoint,
        {holder.Request.Fingerprint, endpoint.Announced.Incarnation, now}, now,
        actions);
    endpoint.IsListening = false;
    countFailure(endpoint);
    return;
  case AttemptOutcome::Unreachable:
    endpoint.IsListening = false;
    countFailure(endpoint);
    return;
  case AttemptOutcome::Broken:
    std::erase_if(endpoint.Dropped, [&](const DroppedRequest &it) {
      return now - it.At >= DroppedWindow;
    });
    endpoint.Dropped.push_back(
        {holder.Request.Fingerprint, endpoint.Announced.Incarnation, now});
    countFailure(endpoint);
    return;
  case AttemptOutcome::Failed:
    countFailure(endpoint);
    return;
  case AttemptOutcome::TimedOut:
    // Requests that started before the trial are no evidence about it.
    if (holder.Since >= endpoint.EvidenceSince &&
        isConclusiveTimeout(endpoint, holder, now))
      countFailure(endpoint);
    return;
  case AttemptOutcome::Cancelled:
    return;
  }
}

void replaceIncarnation(Gate &gate, GateEndpoint &endpoint,
                        GateActions &actions, Instant now) {
  reportDroppedAsCrashes(gate, endpoint, now, actions);
  ++endpoint.Generation;
  endpoint.IsListening = true;
  endpoint.IsHanging = false;
  endpoint.ConsecutiveFailures = 0;
  endpoint.ConsecutiveSheds = 0;
  endpoint.FailureShare = 0;
  endpoint.Completions = 0;
  endpoint.LastCompletion = now;
  endpoint.EvidenceSince = now;
  endpoint.EjectedUntil.reset();
  endpoint.IsLeaving = false;
  endpoint.NoticeAt = Instant{};
  setLimit(endpoint, std::nullopt, now, actions);
  std::vector<std::string> orphans;
  for (const SlotHolder &holder : endpoint.Holders)
    if (holder.IsStarted)
      orphans.push_back(holder.Request.AttemptId);
  for (const std::string &attempt : orphans)
    actions.push_back(AbortAction{
        attempt, makeError(ErrorKind::EndpointFailed,
                           "the endpoint was restarted while it ran")});
  if (endpoint.State != Standing::Trial && endpoint.Relapses > 0)
    setStanding(endpoint, Standing::Trial, "restarted", now, actions);
}

} // namespace hickoryglade
