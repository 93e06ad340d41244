// Orders announcements and reports of silence.
#include "state/UpstreamTable.h"

#include <tuple>

namespace hyssoppaddle::state {

namespace {

auto
OrderOf(const Announcement& aAnnouncement)
{
  return std::tie(
    aAnnouncement.bootedAtMs, aAnnouncement.boot, aAnnouncement.sequence);
}

// The text contains the stored values, so that an upstream whose own clock has
// gone backwards can read them.
std::string
DescribeStored(const Announcement& aStored)
{
  return "stale announcement: booted_at_ms " +
         std::to_string(aStored.bootedAtMs) + ", boot " + aStored.boot +
         ", sequence " + std::to_string(aStored.sequence) + " is stored";
}

} // namespace

Outcome
UpstreamTable::Update(const Announcement& aAnnouncement, Context& aContext)
{
  UpstreamRecord* known = this->records.Find(aAnnouncement.instance);
  if (known == nullptr) {
    known = &this->records.Add(aAnnouncement.instance, {})->second;
    this->Store(*known, aAnnouncement, aContext);
    return Accept();
  }
  UpstreamRecord& record = *known;
  if (record.announcement == aAnnouncement) {
    return AcceptRepeated("the announcement is already recorded");
  }
  if (OrderOf(aAnnouncement) <= OrderOf(record.announcement)) {
    return Refuse(ErrorCode::Conflict, DescribeStored(record.announcement));
  }
  this->Store(record, aAnnouncement, aContext);
  return Accept();
}

void
UpstreamTable::Store(UpstreamRecord& aRecord,
                     const Announcement& aAnnouncement,
                     Context& aContext)
{
  const bool isNewBoot = aRecord.announcement.boot != aAnnouncement.boot;
  const bool wasServing = aRecord.state == UpstreamState::Serving;
  if (isNewBoot || !wasServing) {
    aRecord.servingSince = aContext.now;
  }
  if (aRecord.announcement.service != aAnnouncement.service) {
    this->RemoveFromIndex(aRecord.announcement.service, aAnnouncement.instance);
    this->byService[aAnnouncement.service].insert(aAnnouncement.instance);
  }
  aRecord.announcement = aAnnouncement;
  aRecord.state = aAnnouncement.state;
  aRecord.changedAt = aContext.now;
  aContext.changes.upstreams.push_back(aAnnouncement.instance);
}

Outcome
UpstreamTable::MarkSilent(const MarkUpstreamSilent& aCommand, Context& aContext)
{
  UpstreamRecord* known = this->records.Find(aCommand.instance);
  if (known == nullptr) {
    return Refuse(ErrorCode::NotFound, "no such upstream has announced itself");
  }
  UpstreamRecord& record = *known;
  if (record.announcement.boot != aCommand.boot ||
      record.announcement.sequence > aCommand.sequence) {
    return Refuse(ErrorCode::Conflict, DescribeStored(record.announcement));
  }
  if (record.state == UpstreamState::Silent) {
    return AcceptRepeated("the upstream is already marked silent");
  }
  record.state = UpstreamState::Silent;
  // Makes delayed announcements that were sent before the silence stale.
  record.announcement.sequence = aCommand.sequence;
  record.changedAt = aContext.now;
  aContext.changes.upstreams.push_back(aCommand.instance);
  return Accept();
}

void
UpstreamTable::Remove(const InstanceId& aInstance, Context& aContext)
{
  const auto known = this->records.FindEntry(aInstance);
  if (known == this->records.End()) {
    return;
  }
  this->RemoveFromIndex(known->second.announcement.service, aInstance);
  this->records.Erase(known);
  aContext.changes.upstreams.push_back(aInstance);
}

const std::string&
UpstreamTable::BootOf(const InstanceId& aInstance) const
{
  static const std::string kNoBoot;
  const UpstreamRecord* known = this->records.Find(aInstance);
  return known == nullptr ? kNoBoot : known->announcement.boot;
}

bool
UpstreamTable::IsServing(const InstanceId& aInstance) const
{
  const UpstreamRecord* known = this->records.Find(aInstance);
  return known != nullptr && known->state == UpstreamState::Serving;
}

const std::set<InstanceId>&
UpstreamTable::ForService(const ServiceId& aService) const
{
  static const std::set<InstanceId> kNoInstances;
  const auto found = this->byService.find(aService);
  return found == this->byService.end() ? kNoInstances : found->second;
}

void
UpstreamTable::Load(std::map<InstanceId, UpstreamRecord> aRecords)
{
  this->records.Load(std::move(aRecords));
  this->byService.clear();
  for (const auto& [instance, record] : this->records.Records()) {
    this->byService[record.announcement.service].insert(instance);
  }
}

void
UpstreamTable::RemoveFromIndex(const ServiceId& aService,
                               const InstanceId& aInstance)
{
  const auto found = this->byService.find(aService);
  if (found == this->byService.end()) {
    return;
  }
  found->second.erase(aInstance);
  if (found->second.empty()) {
    this->byService.erase(found);
  }
}

} // namespace hyssoppaddle::state
