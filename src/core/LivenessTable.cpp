// An upstream may change the entry instance it announces to at any time, so one
// entry instance not hearing it proves nothing. The leader asks the others and
// waits for a grace period.
#include "core/LivenessTable.h"

namespace hyssoppaddle::core {

namespace {

constexpr Duration kGrace{ 1000000 };
// A new leader learns the watch of every entry instance within this time.
constexpr Duration kStartGrace{ 10000000 };

} // namespace

void
LivenessTable::Start(const std::vector<state::Announcement>& aExpected,
                     Time aNow)
{
  this->Clear();
  for (const state::Announcement& announcement : aExpected) {
    Known& record = this->known[announcement.instance];
    record.boot = announcement.boot;
    record.sequence = announcement.sequence;
    this->Suspect(announcement.instance, record, aNow + kStartGrace);
  }
}

void
LivenessTable::Clear()
{
  this->known.clear();
  this->suspects.clear();
  this->byEntry.clear();
}

bool
LivenessTable::Report(const InstanceId& aEntry,
                      const wire::UpstreamLiveness& aHeard,
                      Time aNow)
{
  Known& record = this->known[aHeard.instance];
  const bool isOtherBoot = record.boot != aHeard.boot;
  if (!aHeard.silent) {
    if (!isOtherBoot && aHeard.sequence < record.sequence) {
      return false;
    }
    record.boot = aHeard.boot;
    record.sequence = aHeard.sequence;
    this->SetEntry(aHeard.instance, record, aEntry);
    this->ClearSuspicion(aHeard.instance, record);
    return false;
  }
  const bool isOutdated = isOtherBoot || aHeard.sequence < record.sequence;
  if (isOutdated || record.suspected) {
    return false;
  }
  record.sequence = aHeard.sequence;
  this->Suspect(aHeard.instance, record, aNow + kGrace);
  return true;
}

std::vector<wire::UpstreamLiveness>
LivenessTable::SuspectAllOf(const InstanceId& aEntry, Time aNow)
{
  std::vector<wire::UpstreamLiveness> questions;
  const auto heard = this->byEntry.find(aEntry);
  if (heard == this->byEntry.end()) {
    return questions;
  }
  for (const InstanceId& instance : heard->second) {
    Known& record = this->known.at(instance);
    if (!record.suspected) {
      // The upstream has to notice the loss and announce itself elsewhere.
      this->Suspect(instance, record, aNow + kStartGrace);
      questions.push_back({ instance, record.boot, record.sequence, true });
    }
  }
  return questions;
}

void
LivenessTable::Accept(const state::Announcement& aAnnouncement)
{
  Known& record = this->known[aAnnouncement.instance];
  record.boot = aAnnouncement.boot;
  record.sequence = aAnnouncement.sequence;
  this->ClearSuspicion(aAnnouncement.instance, record);
}

std::vector<InstanceId>
LivenessTable::Suspects() const
{
  std::vector<InstanceId> instances;
  instances.reserve(this->suspects.size());
  for (const auto& [until, instance] : this->suspects) {
    instances.push_back(instance);
  }
  return instances;
}

std::vector<state::MarkUpstreamSilent>
LivenessTable::TakeSilent(Time aNow)
{
  std::vector<state::MarkUpstreamSilent> silent;
  while (!this->suspects.empty() && this->suspects.begin()->first <= aNow) {
    const InstanceId instance = this->suspects.begin()->second;
    Known& record = this->known.at(instance);
    silent.push_back({ instance, record.boot, record.sequence });
    this->ClearSuspicion(instance, record);
    this->SetEntry(instance, record, InstanceId());
  }
  return silent;
}

void
LivenessTable::Suspect(const InstanceId& aInstance, Known& aKnown, Time aUntil)
{
  aKnown.suspected = true;
  aKnown.suspectedUntil = aUntil;
  this->suspects.emplace(aUntil, aInstance);
}

void
LivenessTable::ClearSuspicion(const InstanceId& aInstance, Known& aKnown)
{
  if (aKnown.suspected) {
    this->suspects.erase({ aKnown.suspectedUntil, aInstance });
    aKnown.suspected = false;
  }
}

void
LivenessTable::SetEntry(const InstanceId& aInstance,
                        Known& aKnown,
                        const InstanceId& aEntry)
{
  if (aKnown.entry == aEntry) {
    return;
  }
  if (!aKnown.entry.empty()) {
    this->byEntry[aKnown.entry].erase(aInstance);
  }
  aKnown.entry = aEntry;
  if (!aEntry.empty()) {
    this->byEntry[aEntry].insert(aInstance);
  }
}

} // namespace hyssoppaddle::core
