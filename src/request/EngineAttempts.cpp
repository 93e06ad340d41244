// Attempts at upstreams: reservation, start, progress events, retries, and the
// permits of abandoned attempts that may still be running.
#include "request/Engine.h"

#include <algorithm>

namespace hyssoppaddle::request {

// Reserves a permit and capacity at an upstream for the request.
bool
Engine::Reserve(Request& aRequest, ServiceGroup& aGroup)
{
  Router::Criteria criteria;
  criteria.now = this->now;
  criteria.announcedHereOnly = !this->leases.DirectoryFresh(this->now);
  criteria.mayProbe = aRequest.arrival.idempotent &&
                      aRequest.arrival.replayable && aRequest.attempt == 0;
  criteria.avoid = aRequest.avoid;
  Router::Choice choice = this->router.Pick(aGroup, criteria);
  if (choice.upstream == nullptr || !this->permits.Acquire(aRequest.team)) {
    return false;
  }
  Upstream& upstream = *choice.upstream;
  aRequest.upstream = &upstream;
  aRequest.upstreamBoot = upstream.latestAnnouncement.boot;
  aRequest.startedAt = this->now;
  ++upstream.inFlight;
  this->RefreshUpstream(upstream);
  this->Log("route", aRequest, std::move(choice));
  return true;
}

void
Engine::StartAttempt(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  aRequest.stage = Stage::Running;
  aRequest.phase = AttemptPhase::Connecting;
  aRequest.startedAt = this->now;
  ++aRequest.attempt;
  ++this->counters.attempts;
  if (aRequest.attempt == 1) {
    this->budgets[arrival.service].OnFirstAttempt(this->now);
  }
  this->effects.emplace_back(
    request::StartAttempt{ arrival.request,
                           aRequest.attempt,
                           aRequest.upstream->id,
                           aRequest.upstream->latestAnnouncement.address,
                           aRequest.deadline - this->now });
}

// Returns null for events of earlier or abandoned attempts.
Request*
Engine::FindRunning(RequestNumber aRequest, AttemptNumber aAttempt)
{
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || found->second.stage != Stage::Running ||
      found->second.attempt != aAttempt) {
    return nullptr;
  }
  return &found->second;
}

void
Engine::On(const AttemptAdvanced& aEvent)
{
  if (Request* request = this->FindRunning(aEvent.request, aEvent.attempt)) {
    request->phase = std::max(request->phase, aEvent.phase);
  }
}

void
Engine::On(const AttemptFinished& aEvent)
{
  Request* request = this->FindRunning(aEvent.request, aEvent.attempt);
  if (request == nullptr) {
    return;
  }
  // A server error counts as a failure of the upstream: one that fails every
  // request responds quickly and would otherwise attract all the load.
  constexpr std::uint32_t kServerError = 500;
  Upstream& upstream = *request->upstream;
  const bool busy = upstream.inFlight + 1 >= upstream.limit.Value();
  if (aEvent.status >= kServerError) {
    this->ReportFailure(upstream, "server error");
  } else {
    this->ReportSuccess(upstream, aEvent.latency, busy);
  }
  ++this->counters.finished;
  this->EndClaim(*request, state::ClaimState::Done, aEvent.status);
  this->ReleaseStageResources(*request);
  this->Remove(*request);
}

void
Engine::On(const AttemptRefused& aEvent)
{
  Request* request = this->FindRunning(aEvent.request, aEvent.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->phase == AttemptPhase::Relaying) {
    this->FailAttempt(*request,
                      { aEvent.request,
                        aEvent.attempt,
                        AttemptPhase::Relaying,
                        "refused after the answer began" });
    return;
  }
  Upstream& upstream = *request->upstream;
  if (this->options.adaptiveConcurrency) {
    upstream.limit.OnRejected(this->now);
  }
  request->avoid = upstream.id;
  const bool retry = this->MayRetry(*request, request->phase, true);
  this->ReleaseStageResources(*request);
  if (retry && this->Retry(*request)) {
    return;
  }
  this->RefuseRequest(*request,
                      { Problem::NoUpstream,
                        !request->mayHaveRun,
                        Duration(std::chrono::seconds(1)),
                        "the upstream refused without running it" });
}

void
Engine::On(const AttemptFailed& aEvent)
{
  if (Request* request = this->FindRunning(aEvent.request, aEvent.attempt)) {
    this->FailAttempt(*request, aEvent);
  }
}

void
Engine::FailAttempt(Request& aRequest, const AttemptFailed& aEvent)
{
  const AttemptPhase phase = std::max(aRequest.phase, aEvent.phase);
  aRequest.phase = phase;
  aRequest.avoid = aRequest.upstream->id;
  this->ReportFailure(*aRequest.upstream, aEvent.reason);
  const bool retry = this->MayRetry(aRequest, phase, false);
  if (phase != AttemptPhase::Connecting) {
    // The upstream may still be running the request, so its permit stays in
    // use.
    aRequest.mayHaveRun = true;
    this->HoldPermit(aRequest);
  }
  this->ReleaseStageResources(aRequest);
  if (retry && this->Retry(aRequest)) {
    return;
  }
  this->EndAfterFailure(aRequest, phase);
}

bool
Engine::MayRetry(const Request& aRequest,
                 AttemptPhase aPhase,
                 bool aStatedNotRun) const
{
  if (aRequest.attempt >= RetryBudget::kMaxAttempts || this->stopping) {
    return false;
  }
  if (aPhase == AttemptPhase::Connecting && !aStatedNotRun) {
    return true;
  }
  // From here on, at least part of the body has been read from the caller.
  if (!aRequest.arrival.replayable || aPhase == AttemptPhase::Relaying) {
    return false;
  }
  // A non-idempotent request without an idempotency key is not retried once a
  // byte may have been sent, even if the upstream states that it did not run
  // the request.
  const bool claimed = aRequest.claimed && aStatedNotRun;
  return aRequest.arrival.idempotent || claimed;
}

bool
Engine::Retry(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const Duration delay = RetryBudget::Delay(aRequest.attempt, this->random);
  if (this->now + delay >= aRequest.deadline ||
      !this->budgets[arrival.service].TryRetry(this->now)) {
    return false;
  }
  ++this->counters.retried;
  aRequest.stage = Stage::Delayed;
  aRequest.retryTimer = this->timers.Add(
    this->now + delay, { TimerKind::RetryDue, arrival.request, {} });
  LogDecision line;
  line.kind = "retry";
  line.subject = std::to_string(arrival.request);
  line.team = aRequest.team;
  line.service = arrival.service;
  line.reason = "attempt " + std::to_string(aRequest.attempt) + " at " +
                aRequest.avoid.value + " did not run to an answer";
  this->effects.emplace_back(std::move(line));
  return true;
}

// Moves the permit of the running attempt to a hold. The hold expires when the
// upstream must have stopped: at the caller's deadline, which the upstream
// knows, plus a margin for clock drift.
void
Engine::HoldPermit(Request& aRequest)
{
  const std::uint64_t number = this->nextHold++;
  const Duration longest =
    WithClockMargin(aRequest.deadline - aRequest.startedAt);
  Upstream& upstream = *aRequest.upstream;
  PermitHold hold{ aRequest.team, upstream.id, aRequest.upstreamBoot, {} };
  hold.timer = this->timers.Add(aRequest.startedAt + longest,
                                { TimerKind::HoldExpired, number, {} });
  this->holds.emplace(number, std::move(hold));
  upstream.holds.insert(number);
  aRequest.permitHeld = true;
}

void
Engine::FreeHold(std::uint64_t aNumber)
{
  const auto found = this->holds.find(aNumber);
  if (found == this->holds.end()) {
    return;
  }
  const PermitHold hold = std::move(found->second);
  this->holds.erase(found);
  this->timers.Cancel(hold.timer);
  if (Upstream* upstream = this->directory.Find(hold.upstream)) {
    upstream->holds.erase(aNumber);
    this->directory.DropIfUnused(hold.upstream);
  }
  this->FreePermit(hold.team);
}

void
Engine::FreePermit(const TeamId& aTeam)
{
  this->permits.Release(aTeam);
  this->freedTeams.insert(aTeam);
}

void
Engine::FreeUpstream(Request& aRequest)
{
  Upstream& upstream = *aRequest.upstream;
  aRequest.upstream = nullptr;
  --upstream.inFlight;
  if (upstream.group != nullptr) {
    this->freedServices.insert(upstream.group->service);
  }
  this->RefreshUpstream(upstream);
  if (!upstream.hasRecord) {
    this->directory.DropIfUnused(InstanceId(upstream.id));
  }
}

void
Engine::ReportFailure(Upstream& aUpstream, std::string_view aReason)
{
  if (const auto delay = this->ejector.OnFailure(aUpstream, this->now)) {
    aUpstream.probeTimer = this->timers.Add(
      this->now + *delay, { TimerKind::Probe, 0, aUpstream.id });
    this->LogUpstream("eject", aUpstream, aReason);
  }
}

void
Engine::ReportSuccess(Upstream& aUpstream, Duration aLatency, bool aBusy)
{
  if (aUpstream.group != nullptr) {
    LatencyBaseline& baseline = aUpstream.group->baseline;
    baseline.Add(aLatency, this->now);
    if (this->options.adaptiveConcurrency) {
      aUpstream.limit.OnAnswer(
        aLatency, baseline.BaselineLatency(), aBusy, this->now);
    }
  }
  if (Ejector::OnSuccess(aUpstream)) {
    this->BeginRamp(aUpstream, Duration(0));
    this->LogUpstream("readmit", aUpstream, "a probe succeeded");
  }
}

} // namespace hyssoppaddle::request
