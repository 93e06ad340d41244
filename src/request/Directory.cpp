// Merges records of the replicated state with announcements heard here.
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

// A planned stop has begun or has not ended. An instance that was lost and is
// heard again serves before the planner has seen it.
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

Directory::Directory(const state::FleetState& aView, Duration aHeardFor)
  : view(&aView)
  , heardFor(aHeardFor)
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
  Upstream& upstream = this->Obtain(aInstance);
  const std::string boot = upstream.facts.boot;
  this->ReadRecords(upstream);
  update.rebooted = upstream.facts.boot != boot;
  this->Reconsider(upstream, aNow, update);
  return update;
}

Directory::Update
Directory::OnAnnounced(const state::Announcement& aAnnouncement, Time aNow)
{
  Update update;
  Upstream& upstream = this->Obtain(aAnnouncement.instance);
  if (OrderOf(aAnnouncement) < OrderOf(upstream.facts)) {
    return update;
  }
  update.rebooted = upstream.facts.boot != aAnnouncement.boot;
  const bool wasHeard = this->IsHeardHere(upstream, aNow);
  upstream.heardAt = aNow;
  upstream.facts.sequence = aAnnouncement.sequence;
  if (wasHeard && upstream.facts == aAnnouncement) {
    update.upstream = &upstream;
    update.repeated = true;
    return update;
  }
  upstream.facts = aAnnouncement;
  this->Reconsider(upstream, aNow, update);
  return update;
}

Directory::Update
Directory::OnHeardLapsed(const InstanceId& aInstance, Time aNow)
{
  Update update;
  Upstream* upstream = this->Find(aInstance);
  if (upstream != nullptr) {
    this->Reconsider(*upstream, aNow, update);
  }
  return update;
}

bool
Directory::IsHeardHere(const Upstream& aUpstream, Time aNow) const
{
  return aUpstream.heardAt && aNow - *aUpstream.heardAt < this->heardFor;
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
  if (this->inLog == this->view->Upstreams().size()) {
    return removed;
  }
  for (const auto& [name, upstream] : this->upstreams) {
    if (upstream->inLog && !this->view->Upstreams().contains(upstream->id)) {
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
  if (upstream != nullptr && !upstream->inLog && !upstream->usable &&
      upstream->inFlight == 0 && upstream->holds.empty() &&
      !upstream->heardTimer && !upstream->probeTimer) {
    this->upstreams.erase(aInstance.value);
  }
}

Upstream&
Directory::Obtain(const InstanceId& aInstance)
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
  this->inLog -= aUpstream.inLog ? 1 : 0;
  aUpstream.inLog = record != this->view->Upstreams().end();
  this->inLog += aUpstream.inLog ? 1 : 0;
  aUpstream.silentInLog = false;
  if (aUpstream.inLog) {
    const state::UpstreamRecord& known = record->second;
    if (OrderOf(known.announcement) >= OrderOf(aUpstream.facts)) {
      aUpstream.facts = known.announcement;
      if (known.state == state::UpstreamState::Departing) {
        aUpstream.facts.state = known.state;
      }
    }
    aUpstream.silentInLog = known.state == state::UpstreamState::Silent;
  }
  const auto instance = this->view->Instances().find(aUpstream.id);
  aUpstream.phaseAllows = instance == this->view->Instances().end() ||
                          PhaseAllowsWork(instance->second.phase);
}

void
Directory::Reconsider(Upstream& aUpstream, Time aNow, Update& aUpdate)
{
  aUpdate.upstream = &aUpstream;
  const bool alive =
    !aUpstream.silentInLog || this->IsHeardHere(aUpstream, aNow);
  const bool usable = aUpstream.inLog && alive && aUpstream.phaseAllows &&
                      aUpstream.facts.state == state::UpstreamState::Serving;
  ServiceGroup* group =
    usable ? &this->Group(aUpstream.facts.service) : nullptr;
  if (group == aUpstream.group) {
    return;
  }
  aUpdate.left = aUpstream.group;
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
