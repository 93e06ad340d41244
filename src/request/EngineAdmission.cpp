// Admission, queueing and dispatch of requests, including the claim that
// precedes the first attempt.
#include "request/Engine.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

constexpr Duration kRetryAfterOutage = std::chrono::seconds(1);
constexpr Duration kMinPermitRequestInterval = std::chrono::milliseconds(100);

} // namespace

void
Engine::On(const RequestArrived& aEvent)
{
  ++this->counters.arrived;
  const auto [position, added] = this->requests.try_emplace(aEvent.request);
  if (!added) {
    return;
  }
  Request& request = position->second;
  request.arrival = aEvent;
  if (std::optional<RefusalReason> reason = this->Admit(request)) {
    this->RefuseRequest(request, std::move(*reason));
    return;
  }
  request.deadlineTimer = this->timers.Add(
    request.deadline, { TimerKind::Deadline, aEvent.request, {} });
  const ServiceId service = aEvent.service;
  const TeamId team = request.team;
  this->Enqueue(request);
  this->Dispatch(service);
  this->AskForPermits(team);
}

std::optional<Engine::RefusalReason>
Engine::Admit(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  aRequest.stage = Stage::Delayed; // it holds no resources yet
  aRequest.deadline = this->now;
  if (this->stopping) {
    return RefusalReason{
      Problem::Stopping, true, kRetryAfterOutage, "stopping"
    };
  }
  // Checked before the service: with a stale view, a service that looks unknown
  // may have been added without this instance having learned of it.
  const bool stale = aRequest.HasKey() ? !this->leases.KeysFresh(this->now)
                                       : !this->leases.PermitsValid(this->now);
  if (stale) {
    return StaleReason();
  }
  if (service == nullptr) {
    return RefusalReason{
      Problem::UnknownService, true, {}, "unknown service"
    };
  }
  Duration longest = std::min(service->maxDeadline, this->options.maxDeadline);
  if (arrival.deadline > Duration(0)) {
    longest = std::min(longest, arrival.deadline);
  }
  aRequest.deadline = this->now + longest;
  aRequest.workClass = service->workClass;
  if (std::optional<RefusalReason> reason =
        this->CheckKey(aRequest, &aRequest.team)) {
    return reason;
  }
  return this->CheckQueue(aRequest);
}

Engine::RefusalReason
Engine::StaleReason()
{
  return { Problem::StaleView,
           true,
           kRetryAfterOutage,
           "no renewal was answered within the lease" };
}

std::optional<Engine::RefusalReason>
Engine::CheckKey(const Request& aRequest, TeamId* aTeam) const
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  if (service == nullptr) {
    return RefusalReason{
      Problem::UnknownService, true, {}, "unknown service"
    };
  }
  if (aRequest.HasKey() && !this->leases.KeysFresh(this->now)) {
    return StaleReason();
  }
  const Authorizer::Verdict verdict = this->authorizer.Check(
    arrival.key, arrival.keyDigest, *service, this->wallNow);
  if (verdict.problem == Problem::WrongTeam) {
    return RefusalReason{
      Problem::WrongTeam, true, {}, "the key may not use this service"
    };
  }
  if (verdict.problem) {
    return RefusalReason{ *verdict.problem, true, {}, "no valid key" };
  }
  if (aTeam != nullptr) {
    *aTeam = verdict.team;
  }
  return std::nullopt;
}

std::optional<Engine::RefusalReason>
Engine::CheckQueue(const Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::TeamSpec* team = this->view->FindTeam(aRequest.team);
  if (team == nullptr || team->limit == 0) {
    return RefusalReason{
      Problem::OverLimit, true, kRetryAfterOutage, "the team's limit is 0"
    };
  }
  if (aRequest.NeedsClaim() && arrival.createdAt &&
      *arrival.createdAt + this->options.claimRetention <= this->wallNow) {
    // An earlier copy of the request may have run; its claim may have been
    // deleted since.
    return RefusalReason{
      Problem::ClaimExpired, false, {}, "older than the claim retention"
    };
  }
  if (this->directory.Group(arrival.service).usable == 0) {
    return RefusalReason{
      Problem::NoUpstream, true, kRetryAfterOutage, "no upstream is serving"
    };
  }
  const AdmissionQueue::Verdict verdict =
    this->queues[arrival.service].Evaluate(this->MakeAdmissionRequest(aRequest),
                                           this->now);
  if (verdict.result == AdmissionQueue::AdmissionResult::Full) {
    return RefusalReason{
      Problem::QueueFull, true, verdict.retryAfter, "the team's queue is full"
    };
  }
  if (verdict.result == AdmissionQueue::AdmissionResult::TooLate) {
    return RefusalReason{ Problem::DeadlineUnreachable,
                          true,
                          verdict.retryAfter,
                          "the queue is too long for the deadline" };
  }
  return std::nullopt;
}

AdmissionRequest
Engine::MakeAdmissionRequest(const Request& aRequest) const
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::TeamSpec* team = this->view->FindTeam(aRequest.team);
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  AdmissionRequest admission;
  admission.item = { arrival.request, aRequest.team, aRequest.deadline };
  admission.workClass = aRequest.workClass;
  admission.share = team == nullptr ? 1 : team->share;
  admission.queueLimit = service == nullptr ? 0 : service->queueLimit;
  return admission;
}

void
Engine::Enqueue(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  aRequest.stage = Stage::Queued;
  this->queues[arrival.service].Push(this->MakeAdmissionRequest(aRequest),
                                     this->now);
  this->backlog.OnWaiting(
    aRequest.team, arrival.service, aRequest.workClass, this->now);
  this->queuedByService[arrival.service].insert(arrival.request);
  if (arrival.key) {
    this->queuedByKey[*arrival.key].insert(arrival.request);
  }
}

// Removes the request from the queue and from the indexes of queued requests. A
// popped request is no longer in the queue.
void
Engine::Dequeue(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const bool popped = !this->queues[arrival.service].Remove(
    { arrival.request, aRequest.team, aRequest.deadline }, aRequest.workClass);
  this->backlog.OnLeft(
    aRequest.team, arrival.service, aRequest.workClass, popped, this->now);
  const auto byService = this->queuedByService.find(arrival.service);
  byService->second.erase(arrival.request);
  if (byService->second.empty()) {
    this->queuedByService.erase(byService);
  }
  if (arrival.key) {
    const auto byKey = this->queuedByKey.find(*arrival.key);
    byKey->second.erase(arrival.request);
    if (byKey->second.empty()) {
      this->queuedByKey.erase(byKey);
    }
  }
}

void
Engine::Dispatch(const ServiceId& aService)
{
  ServiceGroup& group = this->directory.Group(aService);
  while (this->leases.PermitsValid(this->now) &&
         this->StartNext(aService, group)) {
  }
}

// Offers the free permits of the team to all its services, the most urgent
// class first.
void
Engine::DispatchTeam(const TeamId& aTeam)
{
  for (const ServiceId& service : this->backlog.Services(aTeam, this->now)) {
    if (this->permits.Available(aTeam) == 0) {
      return;
    }
    this->Dispatch(service);
  }
}

void
Engine::DispatchAll()
{
  for (const TeamId& team : this->backlog.Teams()) {
    this->DispatchTeam(team);
    this->AskForPermits(team);
  }
}

bool
Engine::StartNext(const ServiceId& aService, ServiceGroup& aGroup)
{
  const bool announcedHereOnly = !this->leases.DirectoryFresh(this->now);
  const auto queue = this->queues.find(aService);
  if (queue == this->queues.end() || queue->second.Size() == 0 ||
      !Router::CanPick(aGroup, announcedHereOnly)) {
    return false;
  }
  const auto next = queue->second.Pop(
    [this](const TeamId& aTeam) { return this->permits.Available(aTeam) > 0; },
    this->now);
  if (!next) {
    return false;
  }
  Request& request = this->requests.at(next->item.request);
  request.charged = next->charged;
  this->Dequeue(request);
  request.stage = Stage::Delayed; // it holds no resources until Reserve
  if (std::optional<RefusalReason> reason = this->CheckKey(request, nullptr)) {
    this->RefuseRequest(request, std::move(*reason));
    return true;
  }
  if (!this->Reserve(request, aGroup)) {
    this->Enqueue(request);
    return false;
  }
  if (request.NeedsClaim()) {
    this->AskForClaim(request);
  } else {
    this->StartAttempt(request);
  }
  return true;
}

// Requests an early renewal if work waits for permits, at most every 100 ms.
void
Engine::AskForPermits(const TeamId& aTeam)
{
  if (this->backlog.WaitingCount(aTeam) == 0 ||
      this->permits.Available(aTeam) > 0 ||
      (this->permitsRequestedAt &&
       this->now - *this->permitsRequestedAt < kMinPermitRequestInterval)) {
    return;
  }
  this->permitsRequestedAt = this->now;
  this->effects.emplace_back(RenewNow{});
}

void
Engine::AskForClaim(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  aRequest.stage = Stage::Claiming;
  this->claims.OnRequested(arrival.request,
                           { aRequest.team, arrival.idempotencyKey });
  this->effects.emplace_back(
    ClaimNeeded{ arrival.request,
                 { aRequest.team,
                   arrival.idempotencyKey,
                   arrival.requestDigest,
                   this->options.self,
                   arrival.createdAt.value_or(this->wallNow) } });
}

void
Engine::On(const ClaimDecided& aEvent)
{
  const ClaimTracker::ClaimResult result =
    this->claims.OnDecided(aEvent, this->now);
  if (result.release) {
    this->effects.emplace_back(ClaimEnded{ *result.release });
  }
  const auto found = this->requests.find(aEvent.request);
  if (result.decision == ClaimTracker::Decision::Ignored ||
      found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  if (result.decision == ClaimTracker::Decision::Granted) {
    request.claimed = true;
    // The upstream, the leases or the key may have changed while the claim was
    // pending. If so, the request is queued again and all checks are repeated.
    const ServiceId service = request.arrival.service;
    if (this->MayStart(request)) {
      this->StartAttempt(request);
    } else {
      this->ReleaseStageResources(request);
      this->Enqueue(request);
      this->Dispatch(service);
    }
    return;
  }
  this->RefuseByClaim(request, aEvent.outcome);
}

// Returns whether the reserved upstream, the leases and the key are still
// usable after the claim was decided.
bool
Engine::MayStart(const Request& aRequest) const
{
  const Upstream& upstream = *aRequest.upstream;
  const bool listed = this->leases.DirectoryFresh(this->now) ||
                      this->directory.IsAnnouncedHere(upstream, this->now);
  return this->leases.PermitsValid(this->now) && upstream.usable && listed &&
         upstream.latestAnnouncement.boot == aRequest.upstreamBoot &&
         !this->CheckKey(aRequest, nullptr);
}

void
Engine::RefuseByClaim(Request& aRequest, const state::Outcome& aOutcome)
{
  RefusalReason reason{
    Problem::NoQuorum, true, kRetryAfterOutage, aOutcome.detail
  };
  if (aOutcome.error && aOutcome.error->code == ErrorCode::Conflict) {
    reason = { Problem::KeyReused, true, {}, aOutcome.error->message };
  } else if (aOutcome.error &&
             aOutcome.error->code == ErrorCode::InvalidArgument) {
    // Created too long ago or in the future: an earlier copy may have run.
    reason = { Problem::ClaimExpired, false, {}, aOutcome.error->message };
  } else if (!aOutcome.error && aOutcome.claim) {
    const state::ClaimOutcome& claim = *aOutcome.claim;
    const std::string status = "status " + std::to_string(claim.status);
    if (claim.state == state::ClaimState::Done) {
      reason = { Problem::AlreadyDone, false, {}, status };
    } else if (claim.state == state::ClaimState::Unknown) {
      reason = { Problem::OutcomeUnknown,
                 false,
                 {},
                 "an equal request was sent and its outcome is unknown" };
    } else {
      reason = { Problem::AlreadyRunning,
                 false,
                 kRetryAfterOutage,
                 "an equal request is running" };
    }
  }
  this->RefuseRequest(aRequest, std::move(reason));
}

// Called when keys or the configuration changed or the key lease expired.
void
Engine::RefuseQueuedKeyed(bool aAll)
{
  std::vector<RequestNumber> ended;
  for (const auto& [key, waiting] : this->queuedByKey) {
    const Request& first = this->requests.at(*waiting.begin());
    if (aAll || this->CheckKey(first, nullptr)) {
      ended.insert(ended.end(), waiting.begin(), waiting.end());
    }
  }
  for (const RequestNumber number : ended) {
    Request& request = this->requests.at(number);
    if (std::optional<RefusalReason> reason =
          this->CheckKey(request, nullptr)) {
      this->RefuseRequest(request, std::move(*reason));
    }
  }
}

} // namespace hyssoppaddle::request
