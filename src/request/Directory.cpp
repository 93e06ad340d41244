// Merges the replicated records with the announcements received here.
#include "request/Directory.h"

#include <algorithm>
#include <tuple>

namespace hyssoppaddle::request {

namespace {

auto
OrderOf(const state::Announcement& aAnnouncement)
{
  return std::tie(
    aAnnouncement.bootedAtMs, aAnnouncement.boot, aAnnouncement.sequence);
}

// Returns false between the beginning and the end of a planned stop. A lost
// instance may get work: once it announces itself again, it serves before the
// planner has noticed.
bool
PhaseAllowsWork(state::InstancePhase aPhase)
{
  switch (aPhase) {
    case state::InstancePhase::Expected:
    case state::InstancePhase::Serving:
    case state::InstancePhase::Soaking:
    case state::InstancePhase::Lost:
      return true;
    case state::InstancePhase::Draining:
    case state::InstancePhase::Stopped:
    case state::InstancePhase::Rebooting:
    case state::InstancePhase::Moving:
      return false;
  }
  return false;
}

} // namespace

Directory::Directory(const state::FleetState& aView,
                     Duration aAnnouncementLifetime)
  : view(&aView)
  , announcementLifetime(aAnnouncementLifetime)
{
}

Directory::Update
Directory::OnRecordChanged(const InstanceId& aInstance, Time aNow)
{
  Update update;
  if (!this->view->Upstreams().contains(aInstance) &&
      this->Find(aInstance) == nullptr) {
    return update;
  }
  Upstream& upstream = this->FindOrCreate(aInstance);
  const std::string boot = upstream.latestAnnouncement.boot;
  this->ReadRecords(upstream);
  update.rebooted = upstream.latestAnnouncement.boot != boot;
  this->UpdateGroup(upstream, aNow, update);
  return update;
}

Directory::Update
Directory::OnAnnounced(const state::Announcement& aAnnouncement, Time aNow)
{
  Update update;
  Upstream& upstream = this->FindOrCreate(aAnnouncement.instance);
  if (OrderOf(aAnnouncement) < OrderOf(upstream.latestAnnouncement)) {
    return update;
  }
  update.rebooted = upstream.latestAnnouncement.boot != aAnnouncement.boot;
  const bool wasAnnounced = this->IsAnnouncedHere(upstream, aNow);
  upstream.lastAnnouncedAt = aNow;
  upstream.latestAnnouncement.sequence = aAnnouncement.sequence;
  if (wasAnnounced && upstream.latestAnnouncement == aAnnouncement) {
    update.upstream = &upstream;
    update.repeated = true;
    return update;
  }
  upstream.latestAnnouncement = aAnnouncement;
  this->UpdateGroup(upstream, aNow, update);
  return update;
}

Directory::Update
Directory::OnAnnouncementExpired(const InstanceId& aInstance, Time aNow)
{
  Update update;
  Upstream* upstream = this->Find(aInstance);
  if (upstream != nullptr) {
    this->UpdateGroup(*upstream, aNow, update);
  }
  return update;
}

bool
Directory::IsAnnouncedHere(const Upstream& aUpstream, Time aNow) const
{
  return aUpstream.lastAnnouncedAt &&
         aNow - *aUpstream.lastAnnouncedAt < this->announcementLifetime;
}

Upstream*
Directory::Find(const InstanceId& aInstance) const
{
  const auto found = this->upstreams.find(aInstance.value);
  return found == this->upstreams.end() ? nullptr : found->second.get();
}

ServiceGroup&
Directory::Group(const ServiceId& aService)
{
  std::unique_ptr<ServiceGroup>& group = this->groups[aService.value];
  if (!group) {
    group = std::make_unique<ServiceGroup>();
    group->service = aService;
  }
  return *group;
}

const ServiceGroup*
Directory::FindGroup(const ServiceId& aService) const
{
  const auto found = this->groups.find(aService.value);
  return found == this->groups.end() ? nullptr : found->second.get();
}

std::vector<InstanceId>
Directory::FindRemoved() const
{
  std::vector<InstanceId> removed;
  if (this->recordedCount == this->view->Upstreams().size()) {
    return removed;
  }
  for (const auto& [name, upstream] : this->upstreams) {
    if (upstream->hasRecord &&
        !this->view->Upstreams().contains(upstream->id)) {
      removed.push_back(upstream->id);
    }
  }
  std::ranges::sort(removed);
  return removed;
}

void
Directory::DropIfUnused(const InstanceId& aInstance)
{
  const Upstream* upstream = this->Find(aInstance);
  if (upstream != nullptr && !upstream->hasRecord && !upstream->usable &&
      upstream->inFlight == 0 && upstream->holds.empty() &&
      !upstream->announcementTimer && !upstream->probeTimer) {
    this->upstreams.erase(aInstance.value);
  }
}

Upstream&
Directory::FindOrCreate(const InstanceId& aInstance)
{
  std::unique_ptr<Upstream>& upstream = this->upstreams[aInstance.value];
  if (!upstream) {
    upstream = std::make_unique<Upstream>();
    upstream->id = aInstance;
    this->ReadRecords(*upstream);
  }
  return *upstream;
}

void
Directory::ReadRecords(Upstream& aUpstream)
{
  const auto record = this->view->Upstreams().find(aUpstream.id);
  this->recordedCount -= aUpstream.hasRecord ? 1 : 0;
  aUpstream.hasRecord = record != this->view->Upstreams().end();
  this->recordedCount += aUpstream.hasRecord ? 1 : 0;
  aUpstream.silentInRecord = false;
  if (aUpstream.hasRecord) {
    const state::UpstreamRecord& known = record->second;
    if (OrderOf(known.announcement) >= OrderOf(aUpstream.latestAnnouncement)) {
      aUpstream.latestAnnouncement = known.announcement;
      if (known.state == state::UpstreamState::Departing) {
        aUpstream.latestAnnouncement.state = known.state;
      }
    }
    aUpstream.silentInRecord = known.state == state::UpstreamState::Silent;
  }
  const auto instance = this->view->Instances().find(aUpstream.id);
  aUpstream.phaseAllowsWork = instance == this->view->Instances().end() ||
                              PhaseAllowsWork(instance->second.phase);
}

void
Directory::UpdateGroup(Upstream& aUpstream, Time aNow, Update& aUpdate)
{
  aUpdate.upstream = &aUpstream;
  const bool alive =
    !aUpstream.silentInRecord || this->IsAnnouncedHere(aUpstream, aNow);
  const bool usable =
    aUpstream.hasRecord && alive && aUpstream.phaseAllowsWork &&
    aUpstream.latestAnnouncement.state == state::UpstreamState::Serving;
  ServiceGroup* group =
    usable ? &this->Group(aUpstream.latestAnnouncement.service) : nullptr;
  if (group == aUpstream.group) {
    return;
  }
  aUpdate.leftGroup = aUpstream.group;
  if (aUpstream.group != nullptr) {
    --aUpstream.group->usable;
  }
  if (group != nullptr) {
    ++group->usable;
    aUpdate.becameUsable = true;
  }
  aUpstream.group = group;
  aUpstream.usable = usable;
}

} // namespace hyssoppaddle::request
