// An upstream may announce itself to another entry instance at any time, so the
// silence at one entry instance does not prove a failure. The leader queries
// the other entry instances and waits for a grace period.
#include "core/LivenessTable.h"

namespace hyssoppaddle::core {

namespace {

constexpr Duration kSilenceGracePeriod = std::chrono::seconds(1);
// A new leader receives the watched upstreams of every entry instance within
// this time.
constexpr Duration kStartGracePeriod = std::chrono::seconds(10);

} // namespace

void
LivenessTable::Start(const std::vector<state::Announcement>& aExpected,
                     Time aNow)
{
  this->Clear();
  for (const state::Announcement& announcement : aExpected) {
    LivenessRecord& record = this->records[announcement.instance];
    record.boot = announcement.boot;
    record.sequence = announcement.sequence;
    this->Suspect(announcement.instance, record, aNow + kStartGracePeriod);
  }
}

void
LivenessTable::Clear()
{
  this->records.clear();
  this->suspects.clear();
  this->upstreamsByEntry.clear();
}

bool
LivenessTable::Report(const InstanceId& aEntry,
                      const wire::UpstreamLiveness& aLiveness,
                      Time aNow)
{
  LivenessRecord& record = this->records[aLiveness.instance];
  const bool isOtherBoot = record.boot != aLiveness.boot;
  if (!aLiveness.silent) {
    if (!isOtherBoot && aLiveness.sequence < record.sequence) {
      return false;
    }
    record.boot = aLiveness.boot;
    record.sequence = aLiveness.sequence;
    this->SetEntry(aLiveness.instance, record, aEntry);
    this->ClearSuspicion(aLiveness.instance, record);
    return false;
  }
  const bool isOutdated = isOtherBoot || aLiveness.sequence < record.sequence;
  if (isOutdated || record.suspected) {
    return false;
  }
  record.sequence = aLiveness.sequence;
  this->Suspect(aLiveness.instance, record, aNow + kSilenceGracePeriod);
  return true;
}

std::vector<wire::UpstreamLiveness>
LivenessTable::SuspectUpstreamsOf(const InstanceId& aEntry, Time aNow)
{
  std::vector<wire::UpstreamLiveness> queries;
  const auto found = this->upstreamsByEntry.find(aEntry);
  if (found == this->upstreamsByEntry.end()) {
    return queries;
  }
  for (const InstanceId& instance : found->second) {
    LivenessRecord& record = this->records.at(instance);
    if (!record.suspected) {
      // The longer period gives the upstream time to detect the loss and to
      // announce itself to another entry instance.
      this->Suspect(instance, record, aNow + kStartGracePeriod);
      queries.push_back({ instance, record.boot, record.sequence, true });
    }
  }
  return queries;
}

void
LivenessTable::Accept(const state::Announcement& aAnnouncement)
{
  LivenessRecord& record = this->records[aAnnouncement.instance];
  record.boot = aAnnouncement.boot;
  record.sequence = aAnnouncement.sequence;
  this->ClearSuspicion(aAnnouncement.instance, record);
}

std::vector<InstanceId>
LivenessTable::SuspectedUpstreams() const
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
    LivenessRecord& record = this->records.at(instance);
    silent.push_back({ instance, record.boot, record.sequence });
    this->ClearSuspicion(instance, record);
    this->SetEntry(instance, record, InstanceId());
  }
  return silent;
}

void
LivenessTable::Suspect(const InstanceId& aInstance,
                       LivenessRecord& aRecord,
                       Time aUntil)
{
  aRecord.suspected = true;
  aRecord.suspectedUntil = aUntil;
  this->suspects.emplace(aUntil, aInstance);
}

void
LivenessTable::ClearSuspicion(const InstanceId& aInstance,
                              LivenessRecord& aRecord)
{
  if (aRecord.suspected) {
    this->suspects.erase({ aRecord.suspectedUntil, aInstance });
    aRecord.suspected = false;
  }
}

void
LivenessTable::SetEntry(const InstanceId& aInstance,
                        LivenessRecord& aRecord,
                        const InstanceId& aEntry)
{
  if (aRecord.entry == aEntry) {
    return;
  }
  if (!aRecord.entry.empty()) {
    this->upstreamsByEntry[aRecord.entry].erase(aInstance);
  }
  aRecord.entry = aEntry;
  if (!aEntry.empty()) {
    this->upstreamsByEntry[aEntry].insert(aInstance);
  }
}

} // namespace hyssoppaddle::core
