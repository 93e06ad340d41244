// Owner of what the upstreams announced last.
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
  // Refuses an announcement that is not later than the stored one, in the order
  // of (boot time, boot ID, sequence).
  Outcome Update(const Announcement& aAnnouncement, Context& aContext);
  // Refused when a later announcement or another boot is stored.
  Outcome MarkSilent(const MarkUpstreamSilent& aCommand, Context& aContext);
  void Remove(const InstanceId& aInstance, Context& aContext);

  // Boot ID of the last announcement; empty when there is none.
  [[nodiscard]] const std::string& BootOf(const InstanceId& aInstance) const;
  [[nodiscard]] bool IsServing(const InstanceId& aInstance) const;
  [[nodiscard]] const std::map<InstanceId, UpstreamRecord>& Records() const
  {
    return this->records.Records();
  }
  [[nodiscard]] const std::set<InstanceId>& Of(const ServiceId& aService) const;
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
