// Handles changes of the replicated state, announcements, leases and timers.
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
  , directory(aView, this->options.announcementLifetime)
  , router(this->options.dataCentre, this->random.Next())
  , ejector(this->random.Next())
  , permits(aView, this->options.self, this->options.boot)
  , claims(aView, this->options.self)
  , authorizer(aView)
{
}

void
Engine::BeginStep(Time aNow, WallTime aWallNow)
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
Engine::EndStep()
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
    this->OnDirectoryUpdate(
      this->directory.OnRecordChanged(instance, this->now));
  }
  this->permits.Refresh();
}

void
Engine::On(const ViewChanged& aEvent)
{
  const state::Changes& changes = aEvent.changes;
  for (const InstanceId& instance : changes.upstreams) {
    this->OnDirectoryUpdate(
      this->directory.OnRecordChanged(instance, this->now));
  }
  for (const InstanceId& instance : changes.instances) {
    this->OnDirectoryUpdate(
      this->directory.OnRecordChanged(instance, this->now));
  }
  for (const InstanceId& instance : this->directory.FindRemoved()) {
    this->OnDirectoryUpdate(
      this->directory.OnRecordChanged(instance, this->now));
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
    this->WatchAnnouncement(*update.upstream);
  }
  if (!update.repeated) {
    this->OnDirectoryUpdate(update);
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
Engine::OnDirectoryUpdate(const Directory::Update& aUpdate)
{
  if (aUpdate.upstream == nullptr) {
    return;
  }
  Upstream& upstream = *aUpdate.upstream;
  if (aUpdate.leftGroup != nullptr) {
    this->LeaveGroup(upstream, *aUpdate.leftGroup);
  }
  if (aUpdate.rebooted) {
    this->FreeHoldsOfOldBoots(upstream);
    if (upstream.group != nullptr) {
      this->ResetFailures(upstream, *upstream.group);
    }
  }
  this->router.OnAnnouncementChanged(upstream);
  if (aUpdate.becameUsable || aUpdate.rebooted) {
    this->BeginRamp(upstream, this->ServedFor(upstream));
  }
  this->RefreshUpstream(upstream);
  if (upstream.group != nullptr) {
    this->freedServices.insert(upstream.group->service);
  }
  if (!upstream.hasRecord) {
    this->directory.DropIfUnused(InstanceId(upstream.id));
  }
}

void
Engine::LeaveGroup(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Router::Unlist(aUpstream, aGroup);
  this->ResetFailures(aUpstream, aGroup);
  while (Upstream* readmitted = Ejector::ReadmitOverBound(aGroup)) {
    this->CancelProbe(*readmitted);
    this->RefreshUpstream(*readmitted);
    this->LogUpstream("readmit", *readmitted, "the service lost others");
  }
}

void
Engine::ResetFailures(Upstream& aUpstream, ServiceGroup& aGroup)
{
  Ejector::Reset(aUpstream, aGroup);
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

// Time for which the upstream has been serving; 0 while the replicated state
// has no record of the announced boot.
Duration
Engine::ServedFor(const Upstream& aUpstream) const
{
  const auto record = this->view->Upstreams().find(aUpstream.id);
  if (record == this->view->Upstreams().end() ||
      record->second.announcement.boot != aUpstream.latestAnnouncement.boot) {
    return Duration(0);
  }
  return this->wallNow - record->second.servingSince;
}

void
Engine::BeginRamp(Upstream& aUpstream, Duration aServedFor)
{
  Router::BeginRamp(aUpstream, this->now, aServedFor);
  if (aUpstream.ramping && !aUpstream.rampTimer) {
    aUpstream.rampTimer =
      this->timers.Add(this->now + Router::kRampInterval,
                       { TimerKind::RampStep, 0, aUpstream.id });
  }
}

void
Engine::RefreshUpstream(Upstream& aUpstream)
{
  Router::Refresh(aUpstream,
                  this->directory.IsAnnouncedHere(aUpstream, this->now),
                  this->now);
}

// A repeated announcement does not move the timer; the timer is set again when
// it fires. Announcements are frequent, and moving the timer would change the
// ordered timer set each time.
void
Engine::WatchAnnouncement(Upstream& aUpstream)
{
  if (aUpstream.announcementTimer) {
    return;
  }
  aUpstream.announcementTimer = this->timers.Add(
    *aUpstream.lastAnnouncedAt + this->options.announcementLifetime,
    { TimerKind::AnnouncementExpired, 0, aUpstream.id });
}

// Each instance runs a single upstream, so a new boot proves that all requests
// of the earlier boot have ended.
void
Engine::FreeHoldsOfOldBoots(Upstream& aUpstream)
{
  const std::set<std::uint64_t> numbers = aUpstream.holds;
  for (const std::uint64_t number : numbers) {
    if (this->holds.at(number).boot != aUpstream.latestAnnouncement.boot) {
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
    case TimerKind::HoldExpired:
      this->FreeHold(aTimer.number);
      return;
    case TimerKind::Probe:
    case TimerKind::RampStep:
    case TimerKind::AnnouncementExpired:
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
  if (aTimer.kind == TimerKind::AnnouncementExpired) {
    upstream->announcementTimer.reset();
    if (this->directory.IsAnnouncedHere(*upstream, this->now)) {
      this->WatchAnnouncement(*upstream);
      return;
    }
    this->OnDirectoryUpdate(
      this->directory.OnAnnouncementExpired(upstream->id, this->now));
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
    upstream->rampTimer =
      this->timers.Add(this->now + Router::kRampInterval,
                       { TimerKind::RampStep, 0, upstream->id });
  }
  if (upstream->group != nullptr) {
    this->freedServices.insert(upstream->group->service);
  }
}

void
Engine::RetryDue(Request& aRequest)
{
  aRequest.retryTimer.reset();
  if (std::optional<RefusalReason> reason = this->CheckKey(aRequest, nullptr)) {
    this->RefuseRequest(aRequest, std::move(*reason));
  } else if (!this->leases.PermitsValid(this->now)) {
    this->RefuseRequest(aRequest, StaleReason());
  } else {
    this->Enqueue(aRequest);
    this->freedServices.insert(aRequest.arrival.service);
  }
}

// Queued requests are refused as not run when a lease expires, so that their
// callers can use an entry instance that is still connected.
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

// Refuses all queued requests, or only those of services that were removed.
void
Engine::RefuseQueued(const RefusalReason& aReason, bool aOnlyRemoved)
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
