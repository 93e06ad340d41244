// From the header of a request to the moment it gets a permit and an upstream.
#include "request/Engine.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

constexpr Duration kRetryAfterOutage{ 1000000 };
constexpr Duration kAskForPermitsGap{ 100000 };

} // namespace

void
Engine::On(const RequestArrived& aEvent)
{
  ++this->counters.arrived;
  const auto [place, added] = this->requests.try_emplace(aEvent.request);
  if (!added) {
    return;
  }
  Request& request = place->second;
  request.arrival = aEvent;
  if (std::optional<Reason> reason = this->Admit(request)) {
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

std::optional<Engine::Reason>
Engine::Admit(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  aRequest.stage = Stage::Delayed; // holds nothing yet
  aRequest.deadline = this->now;
  if (this->stopping) {
    return Reason{ Problem::Stopping, true, kRetryAfterOutage, "stopping" };
  }
  // An unknown service may only be one that this instance has not learned of.
  const bool stale = aRequest.Keyed() ? !this->leases.KeysFresh(this->now)
                                      : !this->leases.PermitsValid(this->now);
  if (stale) {
    return StaleReason();
  }
  if (service == nullptr) {
    return Reason{ Problem::UnknownService, true, {}, "unknown service" };
  }
  Duration longest = std::min(service->maxDeadline, this->options.maxDeadline);
  if (arrival.deadline > Duration(0)) {
    longest = std::min(longest, arrival.deadline);
  }
  aRequest.deadline = this->now + longest;
  aRequest.workClass = service->workClass;
  if (std::optional<Reason> reason = this->CheckKey(aRequest, &aRequest.team)) {
    return reason;
  }
  return this->CheckQueue(aRequest);
}

Engine::Reason
Engine::StaleReason()
{
  return { Problem::StaleView,
           true,
           kRetryAfterOutage,
           "no renewal was answered within the lease" };
}

std::optional<Engine::Reason>
Engine::CheckKey(const Request& aRequest, TeamId* aTeam) const
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  if (service == nullptr) {
    return Reason{ Problem::UnknownService, true, {}, "unknown service" };
  }
  if (aRequest.Keyed() && !this->leases.KeysFresh(this->now)) {
    return StaleReason();
  }
  const Authorizer::Verdict verdict = this->authorizer.Check(
    arrival.key, arrival.keyDigest, *service, this->wallNow);
  if (verdict.problem == Problem::WrongTeam) {
    return Reason{
      Problem::WrongTeam, true, {}, "the key may not use this service"
    };
  }
  if (verdict.problem) {
    return Reason{ *verdict.problem, true, {}, "no valid key" };
  }
  if (aTeam != nullptr) {
    *aTeam = verdict.team;
  }
  return std::nullopt;
}

std::optional<Engine::Reason>
Engine::CheckQueue(const Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::TeamSpec* team = this->view->FindTeam(aRequest.team);
  if (team == nullptr || team->limit == 0) {
    return Reason{
      Problem::OverLimit, true, kRetryAfterOutage, "the team's limit is 0"
    };
  }
  if (aRequest.NeedsClaim() && arrival.createdAt &&
      *arrival.createdAt + this->options.claimRetention <= this->wallNow) {
    // An earlier copy of the request may have run and been forgotten.
    return Reason{
      Problem::ClaimExpired, false, {}, "older than the claim retention"
    };
  }
  if (this->directory.Group(arrival.service).usable == 0) {
    return Reason{
      Problem::NoUpstream, true, kRetryAfterOutage, "no upstream is serving"
    };
  }
  const AdmissionQueue::Verdict verdict =
    this->queues[arrival.service].Judge(this->OfferOf(aRequest), this->now);
  if (verdict.answer == AdmissionQueue::Answer::Full) {
    return Reason{
      Problem::QueueFull, true, verdict.retryAfter, "the team's queue is full"
    };
  }
  if (verdict.answer == AdmissionQueue::Answer::TooLate) {
    return Reason{ Problem::DeadlineUnreachable,
                   true,
                   verdict.retryAfter,
                   "the queue is too long for the deadline" };
  }
  return std::nullopt;
}

Offer
Engine::OfferOf(const Request& aRequest) const
{
  const RequestArrived& arrival = aRequest.arrival;
  const state::TeamSpec* team = this->view->FindTeam(aRequest.team);
  const state::ServiceSpec* service = this->view->FindService(arrival.service);
  Offer offer;
  offer.item = { arrival.request, aRequest.team, aRequest.deadline };
  offer.workClass = aRequest.workClass;
  offer.share = team == nullptr ? 1 : team->share;
  offer.queueLimit = service == nullptr ? 0 : service->queueLimit;
  return offer;
}

void
Engine::Enqueue(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  aRequest.stage = Stage::Queued;
  this->queues[arrival.service].Push(this->OfferOf(aRequest), this->now);
  this->backlog.OnWaiting(
    aRequest.team, arrival.service, aRequest.workClass, this->now);
  this->queuedByService[arrival.service].insert(arrival.request);
  if (arrival.key) {
    this->queuedByKey[*arrival.key].insert(arrival.request);
  }
}

// Removes the request from the indexes of queued requests. The queue itself has
// given it up already when it was popped.
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

// A permit of the team is free: the urgent class first, over all services.
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
  const bool heardOnly = !this->leases.DirectoryFresh(this->now);
  const auto queue = this->queues.find(aService);
  if (queue == this->queues.end() || queue->second.Size() == 0 ||
      !Router::CanPick(aGroup, heardOnly)) {
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
  request.stage = Stage::Delayed; // holds nothing until Reserve
  if (std::optional<Reason> reason = this->CheckKey(request, nullptr)) {
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

// Renews early when work waits for permits, at most every 100 ms.
void
Engine::AskForPermits(const TeamId& aTeam)
{
  if (this->backlog.Waiting(aTeam) == 0 || this->permits.Available(aTeam) > 0 ||
      (this->askedForPermits &&
       this->now - *this->askedForPermits < kAskForPermitsGap)) {
    return;
  }
  this->askedForPermits = this->now;
  this->effects.emplace_back(RenewNow{});
}

void
Engine::AskForClaim(Request& aRequest)
{
  const RequestArrived& arrival = aRequest.arrival;
  aRequest.stage = Stage::Claiming;
  this->claims.OnAsked(arrival.request,
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
  const ClaimTracker::Answer answer = this->claims.OnDecided(aEvent, this->now);
  if (answer.release) {
    this->effects.emplace_back(ClaimEnded{ *answer.release });
  }
  const auto found = this->requests.find(aEvent.request);
  if (answer.decision == ClaimTracker::Decision::Ignored ||
      found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  if (answer.decision == ClaimTracker::Decision::Granted) {
    request.claimed = true;
    // The upstream, the leases or the key may have changed meanwhile, so the
    // request goes through the checks of the queue once more.
    const ServiceId service = request.arrival.service;
    if (this->MayStart(request)) {
      this->StartAttempt(request);
    } else {
      this->LeaveStage(request);
      this->Enqueue(request);
      this->Dispatch(service);
    }
    return;
  }
  this->RefuseByClaim(request, aEvent.outcome);
}

// The reserved upstream may have begun to depart and a lease or the key may
// have ended while the log decided about the claim.
bool
Engine::MayStart(const Request& aRequest) const
{
  const Upstream& upstream = *aRequest.upstream;
  const bool listed = this->leases.DirectoryFresh(this->now) ||
                      this->directory.IsHeardHere(upstream, this->now);
  return this->leases.PermitsValid(this->now) && upstream.usable && listed &&
         upstream.facts.boot == aRequest.upstreamBoot &&
         !this->CheckKey(aRequest, nullptr);
}

void
Engine::RefuseByClaim(Request& aRequest, const state::Outcome& aOutcome)
{
  Reason reason{ Problem::NoQuorum, true, kRetryAfterOutage, aOutcome.detail };
  if (aOutcome.error && aOutcome.error->code == ErrorCode::Conflict) {
    reason = { Problem::KeyReused, true, {}, aOutcome.error->message };
  } else if (aOutcome.error &&
             aOutcome.error->code == ErrorCode::InvalidArgument) {
    // Too old or from the future: an earlier copy may have run.
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

// Keyed requests still in the queue when their key or the key lease ended.
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
    if (std::optional<Reason> reason = this->CheckKey(request, nullptr)) {
      this->RefuseRequest(request, std::move(*reason));
    }
  }
}

} // namespace hyssoppaddle::request
