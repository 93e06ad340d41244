// Changes of the replicated view, announcements, leases and timers.
#include "request/Engine.h"

#include <algorithm>

namespace hyssoppaddle::request {

Engine::Engine(RequestOptions aOptions, const state::FleetState& aView)
  : options(std::move(aOptions))
  , view(&aView)
  , random(this->options.seed)
  , leases({ this->options.keyLease,
             this->options.permitLease,
             this->options.directoryLease })
  , directory(aView, this->options.heardFor)
  , router(this->options.dataCentre, this->random.Next())
  , ejector(this->random.Next())
  , permits(aView, this->options.self, this->options.boot)
  , claims(aView, this->options.self)
  , authorizer(aView)
{
}

void
Engine::Begin(Time aNow, WallTime aWallNow)
{
  this->now = aNow;
  this->wallNow = this->authorizer.FleetTime(aNow, aWallNow);
  if (!this->loaded) {
    this->loaded = true;
    this->LoadView();
  }
  while (const std::optional<Timer> due = this->timers.PopDue(aNow)) {
    this->OnTimer(*due);
  }
  this->CheckLeases();
}

Effects
Engine::End()
{
  while (!this->freedTeams.empty() || !this->freedServices.empty()) {
    const std::set<TeamId> teams = std::exchange(this->freedTeams, {});
    const std::set<ServiceId> services = std::exchange(this->freedServices, {});
    for (const TeamId& team : teams) {
      this->DispatchTeam(team);
    }
    for (const ServiceId& service : services) {
      this->Dispatch(service);
    }
  }
  for (state::ReturnPermits& permit : this->permits.TakeReturns()) {
    this->effects.emplace_back(SendReturnPermits{ std::move(permit) });
  }
  return std::exchange(this->effects, {});
}

void
Engine::LoadView()
{
  for (const auto& [instance, record] : this->view->Upstreams()) {
    this->OnDirectory(this->directory.OnRecordChanged(instance, this->now));
  }
  this->permits.Refresh();
}

void
Engine::On(const ViewChanged& aEvent)
{
  const state::Changes& changes = aEvent.changes;
  for (const InstanceId& instance : changes.upstreams) {
    this->OnDirectory(this->directory.OnRecordChanged(instance, this->now));
  }
  for (const InstanceId& instance : changes.instances) {
    this->OnDirectory(this->directory.OnRecordChanged(instance, this->now));
  }
  for (const InstanceId& instance : this->directory.FindRemoved()) {
    this->OnDirectory(this->directory.OnRecordChanged(instance, this->now));
  }
  const bool own = std::ranges::find(changes.entries, this->options.self) !=
                   changes.entries.end();
  if (own) {
    for (const TeamId& team : this->permits.Refresh()) {
      this->freedTeams.insert(team);
    }
  }
  if (changes.bundle) {
    this->RefuseRemovedServices();
    this->DispatchAll();
  }
  if (changes.keys || changes.bundle) {
    this->RefuseQueuedKeyed(false);
  }
}

void
Engine::On(const UpstreamAnnounced& aEvent)
{
  const Directory::Update update =
    this->directory.OnAnnounced(aEvent.announcement, this->now);
  if (update.upstream != nullptr) {
    this->WatchHeard(*update.upstream);
  }
  if (!update.repeated) {
    this->OnDirectory(update);
  }
}

void
Engine::On(const LeasesRenewed& aEvent)
{
  this->leases.Renew(aEvent.sentAt);
  this->keysWereFresh = this->leases.KeysFresh(this->now);
  this->permitsWereValid = this->leases.PermitsValid(this->now);
  this->permits.SetRecalls(aEvent.recalls);
  this->DispatchAll();
}

void
Engine::On(const Tick& /*aEvent*/)
{
  for (state::FinishClaim& finish : this->claims.Sweep(this->now)) {
    this->effects.emplace_back(ClaimEnded{ std::move(finish) });
  }
  for (const TeamId& team : this->backlog.Teams()) {
    this->AskForPermits(team);
  }
}

void
Engine::StopAdmission()
{
  this->stopping = true;
  this->permits.BeginStop();
}

void
Engine::OnDirectory(const Directory::Update& aUpdate)
{
  if (aUpdate.upstream == nullptr) {
    return;
  }
  Upstream& upstream = *aUpdate.upstream;
  if (aUpdate.left != nullptr) {
    this->LeaveGroup(upstream, *aUpdate.left);
  }
  if (aUpdate.rebooted) {
    this->FreeHoldsOfOldBoots(upstream);
    if (upstream.group != nullptr) {
      this->ForgetFailures(upstream, *upstream.group);
    }
  }
  this->router.OnFactsChanged(upstream);
  if (aUpdate.becameUsable || aUpdate.rebooted) {
    this->BeginRamp(upstream, this->ServedFor(upstream));
  }
  this->RefreshUpstream(upstream);
  if (upstream.group != nullptr) {
    this->freedServices.insert(upstream.group->service);
  }
  if (!upstream.inLog) {
    this->directory.DropIfUnused(InstanceId(upstream.id));
  }
}

void
Engine::LeaveGroup(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Router::Unlist(aUpstream, aGroup);
  this->ForgetFailures(aUpstream, aGroup);
  while (Upstream* readmitted = Ejector::ReadmitOverBound(aGroup)) {
    this->CancelProbe(*readmitted);
    this->RefreshUpstream(*readmitted);
    this->LogUpstream("readmit", *readmitted, "the service lost others");
  }
}

void
Engine::ForgetFailures(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Ejector::Forget(aUpstream, aGroup);
  this->CancelProbe(aUpstream);
}

void
Engine::CancelProbe(Upstream& aUpstream)
{
  if (aUpstream.probeTimer) {
    this->timers.Cancel(*aUpstream.probeTimer);
    aUpstream.probeTimer.reset();
  }
}

// Time for which the upstream has served; 0 while the log has not recorded the
// announced boot.
Duration
Engine::ServedFor(const Upstream& aUpstream) const
{
  const auto record = this->view->Upstreams().find(aUpstream.id);
  if (record == this->view->Upstreams().end() ||
      record->second.announcement.boot != aUpstream.facts.boot) {
    return Duration(0);
  }
  return this->wallNow - record->second.servingSince;
}

void
Engine::BeginRamp(Upstream& aUpstream, Duration aServedFor)
{
  Router::BeginRamp(aUpstream, this->now, aServedFor);
  if (aUpstream.ramping && !aUpstream.rampTimer) {
    aUpstream.rampTimer = this->timers.Add(
      this->now + Router::kRampStep, { TimerKind::RampStep, 0, aUpstream.id });
  }
}

void
Engine::RefreshUpstream(Upstream& aUpstream)
{
  Router::Refresh(
    aUpstream, this->directory.IsHeardHere(aUpstream, this->now), this->now);
}

// A repeated announcement leaves the timer where it is; it is set anew when it
// fires, so that an announcement changes no ordered set.
void
Engine::WatchHeard(Upstream& aUpstream)
{
  if (aUpstream.heardTimer) {
    return;
  }
  aUpstream.heardTimer =
    this->timers.Add(*aUpstream.heardAt + this->options.heardFor,
                     { TimerKind::HeardLapsed, 0, aUpstream.id });
}

// One upstream runs on an instance, so that a new boot proves the end of
// everything that the earlier one ran.
void
Engine::FreeHoldsOfOldBoots(Upstream& aUpstream)
{
  const std::set<std::uint64_t> numbers = aUpstream.holds;
  for (const std::uint64_t number : numbers) {
    if (this->holds.at(number).boot != aUpstream.facts.boot) {
      this->FreeHold(number);
    }
  }
}

void
Engine::OnTimer(const Timer& aTimer)
{
  switch (aTimer.kind) {
    case TimerKind::Deadline:
      this->DeadlinePassed(this->requests.at(aTimer.number));
      return;
    case TimerKind::RetryDue:
      this->RetryDue(this->requests.at(aTimer.number));
      return;
    case TimerKind::PermitFree:
      this->FreeHold(aTimer.number);
      return;
    case TimerKind::Probe:
    case TimerKind::RampStep:
    case TimerKind::HeardLapsed:
      this->OnUpstreamTimer(aTimer);
      return;
  }
}

void
Engine::OnUpstreamTimer(const Timer& aTimer)
{
  Upstream* upstream = this->directory.Find(aTimer.upstream);
  if (upstream == nullptr) {
    return;
  }
  if (aTimer.kind == TimerKind::HeardLapsed) {
    upstream->heardTimer.reset();
    if (this->directory.IsHeardHere(*upstream, this->now)) {
      this->WatchHeard(*upstream);
      return;
    }
    this->OnDirectory(this->directory.OnHeardLapsed(upstream->id, this->now));
    return;
  }
  if (aTimer.kind == TimerKind::Probe) {
    upstream->probeTimer.reset();
    Ejector::BeginProbe(*upstream);
  } else {
    upstream->rampTimer.reset();
  }
  this->RefreshUpstream(*upstream);
  if (upstream->ramping && !upstream->rampTimer) {
    upstream->rampTimer = this->timers.Add(
      this->now + Router::kRampStep, { TimerKind::RampStep, 0, upstream->id });
  }
  if (upstream->group != nullptr) {
    this->freedServices.insert(upstream->group->service);
  }
}

void
Engine::RetryDue(Request& aRequest)
{
  aRequest.retryTimer.reset();
  if (std::optional<Reason> reason = this->CheckKey(aRequest, nullptr)) {
    this->RefuseRequest(aRequest, std::move(*reason));
  } else if (!this->leases.PermitsValid(this->now)) {
    this->RefuseRequest(aRequest, StaleReason());
  } else {
    this->Enqueue(aRequest);
    this->freedServices.insert(aRequest.arrival.service);
  }
}

// Requests that wait when a lease ends are refused as not run, so that their
// callers can turn to an entry instance that is not cut off.
void
Engine::CheckLeases()
{
  const bool keysFresh = this->leases.KeysFresh(this->now);
  if (this->keysWereFresh && !keysFresh) {
    this->RefuseQueuedKeyed(true);
  }
  const bool permitsValid = this->leases.PermitsValid(this->now);
  if (this->permitsWereValid && !permitsValid) {
    this->RefuseQueued(StaleReason(), false);
  }
  this->keysWereFresh = keysFresh;
  this->permitsWereValid = permitsValid;
}

void
Engine::RefuseRemovedServices()
{
  this->RefuseQueued({ Problem::UnknownService, true, {}, "service removed" },
                     true);
}

// Refuses all queued requests, or only those of services that are gone.
void
Engine::RefuseQueued(const Reason& aReason, bool aOnlyRemoved)
{
  std::vector<RequestNumber> ended;
  for (const auto& [service, waiting] : this->queuedByService) {
    if (!aOnlyRemoved || this->view->FindService(service) == nullptr) {
      ended.insert(ended.end(), waiting.begin(), waiting.end());
    }
  }
  for (const RequestNumber number : ended) {
    this->RefuseRequest(this->requests.at(number), aReason);
  }
}

} // namespace hyssoppaddle::request
