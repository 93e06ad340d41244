// Ends requests. Every request ends exactly once: finished, refused, aborted,
// or abandoned by its caller.
#include "request/Engine.h"

namespace hyssoppaddle::request {

namespace {

// The documented HTTP statuses of these problems imply that the request did not
// run.
bool
ImpliesNotRun(Problem aProblem)
{
  return aProblem != Problem::DeadlinePassed &&
         aProblem != Problem::UpstreamFailed &&
         aProblem != Problem::OutcomeUnknown;
}

} // namespace

void
Engine::RefuseRequest(Request& aRequest, RefusalReason aReason)
{
  if (aRequest.mayHaveRun && ImpliesNotRun(aReason.problem)) {
    aReason.problem = aRequest.arrival.idempotent ? Problem::UpstreamFailed
                                                  : Problem::OutcomeUnknown;
  }
  ++this->counters.refused;
  // A resend may use the claim again only if the request cannot have run.
  this->EndClaim(aRequest,
                 aRequest.mayHaveRun ? state::ClaimState::Unknown
                                     : state::ClaimState::NotRun,
                 0);
  LogDecision line;
  line.kind = "refuse";
  line.subject = std::to_string(aRequest.arrival.request);
  line.team = aRequest.team;
  line.service = aRequest.arrival.service;
  line.reason = aReason.detail;
  line.refusal = true;
  this->effects.emplace_back(std::move(line));
  this->effects.emplace_back(Refuse{ aRequest.arrival.request,
                                     aReason.problem,
                                     aReason.notRun && !aRequest.mayHaveRun,
                                     aReason.retryAfter,
                                     std::move(aReason.detail) });
  this->ReleaseStageResources(aRequest);
  this->Remove(aRequest);
}

// The caller has received part of the response. Closing its connection shows
// that the response is incomplete.
void
Engine::AbortRequest(Request& aRequest)
{
  ++this->counters.refused;
  this->EndClaim(aRequest, state::ClaimState::Unknown, 0);
  this->effects.emplace_back(AbortCaller{ aRequest.arrival.request });
  this->ReleaseStageResources(aRequest);
  this->Remove(aRequest);
}

void
Engine::EndAfterFailure(Request& aRequest, AttemptPhase aPhase)
{
  if (aPhase == AttemptPhase::Relaying) {
    this->AbortRequest(aRequest);
    return;
  }
  if (!aRequest.mayHaveRun) {
    this->RefuseRequest(aRequest,
                        { Problem::NoUpstream,
                          true,
                          Duration(std::chrono::seconds(1)),
                          "no upstream could be reached" });
    return;
  }
  const bool known =
    aRequest.arrival.idempotent || aPhase == AttemptPhase::Answering;
  this->RefuseRequest(
    aRequest,
    { known ? Problem::UpstreamFailed : Problem::OutcomeUnknown,
      false,
      std::nullopt,
      "the upstream gave no complete answer" });
}

void
Engine::DeadlinePassed(Request& aRequest)
{
  const bool relaying = aRequest.stage == Stage::Running &&
                        aRequest.phase == AttemptPhase::Relaying;
  this->AbandonRunning(aRequest);
  if (relaying) {
    this->AbortRequest(aRequest);
    return;
  }
  this->RefuseRequest(
    aRequest,
    { Problem::DeadlinePassed,
      true, // RefuseRequest changes it if an attempt may have run
      std::nullopt,
      "the deadline passed" });
}

void
Engine::On(const CallerDisconnected& aEvent)
{
  const auto found = this->requests.find(aEvent.request);
  if (found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  this->AbandonRunning(request);
  this->EndClaim(request,
                 request.mayHaveRun ? state::ClaimState::Unknown
                                    : state::ClaimState::NotRun,
                 0);
  this->ReleaseStageResources(request);
  this->Remove(request);
}

// The attempt counts as having sent data: a byte may have been sent although no
// event has reported it yet.
void
Engine::AbandonRunning(Request& aRequest)
{
  if (aRequest.stage != Stage::Running) {
    return;
  }
  this->effects.emplace_back(
    AbandonAttempt{ aRequest.arrival.request, aRequest.attempt });
  aRequest.mayHaveRun = true;
  aRequest.phase = std::max(aRequest.phase, AttemptPhase::Sending);
  this->HoldPermit(aRequest);
}

// Releases the resources that the request holds in its stage. The permit of an
// attempt that may still be running was moved to a hold before.
void
Engine::ReleaseStageResources(Request& aRequest)
{
  const Stage stage = aRequest.stage;
  aRequest.stage = Stage::Delayed;
  if (stage == Stage::Queued) {
    this->Dequeue(aRequest);
  } else if (stage == Stage::Delayed) {
    if (aRequest.retryTimer) {
      this->timers.Cancel(*aRequest.retryTimer);
      aRequest.retryTimer.reset();
    }
  } else {
    if (stage == Stage::Claiming) {
      this->claims.OnAbandoned(aRequest.arrival.request);
    }
    this->queues[aRequest.arrival.service].OnEnded(aRequest.team,
                                                   aRequest.workClass,
                                                   aRequest.charged,
                                                   this->now -
                                                     aRequest.startedAt);
    this->FreeUpstream(aRequest);
    if (!aRequest.permitHeld) {
      this->FreePermit(aRequest.team);
    }
    aRequest.permitHeld = false;
  }
}

void
Engine::EndClaim(const Request& aRequest,
                 state::ClaimState aState,
                 std::uint32_t aStatus)
{
  if (const auto finish =
        this->claims.Finish(aRequest.arrival.request, aState, aStatus)) {
    this->effects.emplace_back(ClaimEnded{ *finish });
  }
}

void
Engine::Remove(Request& aRequest)
{
  this->timers.Cancel(aRequest.deadlineTimer);
  this->requests.erase(RequestNumber(aRequest.arrival.request));
}

} // namespace hyssoppaddle::request
