// Stores the last announcement of every upstream, with an index by service.
#ifndef hyssoppaddle_state_UpstreamTable_h
#define hyssoppaddle_state_UpstreamTable_h

#include "state/Context.h"
#include "state/RecordMap.h"
#include "state/Records.h"

#include <map>
#include <set>
#include <string>

namespace hyssoppaddle::state {

class UpstreamTable
{
public:
  // Refuses an announcement that is not later than the stored one.
  // Announcements are ordered by boot time, boot ID and sequence.
  Outcome Update(const Announcement& aAnnouncement, Context& aContext);
  // Refused if a later announcement or one of another boot is stored.
  Outcome MarkSilent(const MarkUpstreamSilent& aCommand, Context& aContext);
  void Remove(const InstanceId& aInstance, Context& aContext);

  // Boot ID of the last announcement, or an empty string if there is none.
  [[nodiscard]] const std::string& BootOf(const InstanceId& aInstance) const;
  [[nodiscard]] bool IsServing(const InstanceId& aInstance) const;
  [[nodiscard]] const std::map<InstanceId, UpstreamRecord>& Records() const
  {
    return this->records.Records();
  }
  [[nodiscard]] const std::set<InstanceId>& ForService(
    const ServiceId& aService) const;
  void Load(std::map<InstanceId, UpstreamRecord> aRecords);

private:
  void Store(UpstreamRecord& aRecord,
             const Announcement& aAnnouncement,
             Context& aContext);
  void RemoveFromIndex(const ServiceId& aService, const InstanceId& aInstance);

  RecordMap<InstanceId, UpstreamRecord> records;
  std::map<ServiceId, std::set<InstanceId>> byService;
};

} // namespace hyssoppaddle::state

#endif
