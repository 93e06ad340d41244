// Attempts at upstreams: reservation, start, events, retries, and permits of
// attempts that may still run.
#include "request/Engine.h"

#include <algorithm>

namespace hyssoppaddle::request {

// Takes a permit and a place at an upstream for the request.
bool
Engine::Reserve(Request& aRequest, ServiceGroup& aGroup)
{
  Router::Wish wish;
  wish.now = this->now;
  wish.heardOnly = !this->leases.DirectoryFresh(this->now);
  wish.mayProbe = aRequest.arrival.idempotent && aRequest.arrival.replayable &&
                  aRequest.attempt == 0;
  wish.avoid = aRequest.avoid;
  Router::Choice choice = this->router.Pick(aGroup, wish);
  if (choice.upstream == nullptr || !this->permits.Acquire(aRequest.team)) {
    return false;
  }
  Upstream& upstream = *choice.upstream;
  aRequest.upstream = &upstream;
  aRequest.upstreamBoot = upstream.facts.boot;
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
                           aRequest.upstream->facts.address,
                           aRequest.deadline - this->now });
}

// Events of earlier or abandoned attempts find nothing.
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
  // A worker that fails everything it runs answers quickly and would draw all
  // the load, so that a server error counts against it.
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
  this->LeaveStage(*request);
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
  this->LeaveStage(*request);
  if (retry && this->Retry(*request)) {
    return;
  }
  this->RefuseRequest(*request,
                      { Problem::NoUpstream,
                        !request->mayHaveRun,
                        Duration(1000000),
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
    // The upstream may still be running it, so that its permit stays in use.
    aRequest.mayHaveRun = true;
    this->HoldPermit(aRequest);
  }
  this->LeaveStage(aRequest);
  if (retry && this->Retry(aRequest)) {
    return;
  }
  this->EndFailed(aRequest, phase);
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
  // The body has been read from the caller, at least in part.
  if (!aRequest.arrival.replayable || aPhase == AttemptPhase::Relaying) {
    return false;
  }
  // Without an idempotency key, a non-idempotent request gets one attempt that
  // may have sent a byte, even when the upstream states that it did not run.
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

// Moves the permit of the running attempt to a hold that ends when the upstream
// must have given up: at the caller's deadline, which it was told, with the
// margin of clock rates.
void
Engine::HoldPermit(Request& aRequest)
{
  const std::uint64_t number = this->nextHold++;
  const Duration longest =
    WithClockMargin(aRequest.deadline - aRequest.startedAt);
  Upstream& upstream = *aRequest.upstream;
  Hold hold{ aRequest.team, upstream.id, aRequest.upstreamBoot, {} };
  hold.timer = this->timers.Add(aRequest.startedAt + longest,
                                { TimerKind::PermitFree, number, {} });
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
  const Hold hold = std::move(found->second);
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
  if (!upstream.inLog) {
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
      aUpstream.limit.OnAnswer(aLatency, baseline.Usual(), aBusy, this->now);
    }
  }
  if (Ejector::OnSuccess(aUpstream)) {
    this->BeginRamp(aUpstream, Duration(0));
    this->LogUpstream("readmit", aUpstream, "a probe succeeded");
  }
}

} // namespace hyssoppaddle::request
