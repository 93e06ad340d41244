// Local view of the upstreams of each service. It is updated incrementally from
// the replicated state and from announcements received by this entry instance;
// the latest announcement in the order (bootedAtMs, boot, sequence) takes
// precedence.
#ifndef hyssoppaddle_request_Directory_h
#define hyssoppaddle_request_Directory_h

#include "request/Upstream.h"
#include "state/FleetState.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssoppaddle::request {

class Directory
{
public:
  Directory(const state::FleetState& aView, Duration aAnnouncementLifetime);

  // Effect of an event on one upstream. `upstream` is null if the upstream is
  // unknown or the event was ignored.
  struct Update
  {
    Upstream* upstream = nullptr;
    bool rebooted = false;             // the boot ID changed
    bool becameUsable = false;         // joined a service group
    bool repeated = false;             // the announcement contained nothing new
    ServiceGroup* leftGroup = nullptr; // group that the upstream left
  };

  // The replicated record of the upstream or of its instance changed.
  Update OnRecordChanged(const InstanceId& aInstance, Time aNow);
  // Handles an announcement; one that is older than the known one is ignored.
  Update OnAnnounced(const state::Announcement& aAnnouncement, Time aNow);
  // The last announcement received here is as old as the announcement lifetime.
  Update OnAnnouncementExpired(const InstanceId& aInstance, Time aNow);

  [[nodiscard]] bool IsAnnouncedHere(const Upstream& aUpstream,
                                     Time aNow) const;
  [[nodiscard]] Upstream* Find(const InstanceId& aInstance) const;
  ServiceGroup& Group(const ServiceId& aService);
  [[nodiscard]] const ServiceGroup* FindGroup(const ServiceId& aService) const;
  // Returns the upstreams that were removed from the replicated state. A
  // restored snapshot can remove upstreams without naming them; all upstreams
  // are scanned only if the number of records shows that this has happened.
  [[nodiscard]] std::vector<InstanceId> FindRemoved() const;
  // Deletes an upstream that has no record, no requests, no holds and no
  // timers.
  void DropIfUnused(const InstanceId& aInstance);

private:
  Upstream& FindOrCreate(const InstanceId& aInstance);
  void ReadRecords(Upstream& aUpstream);
  void UpdateGroup(Upstream& aUpstream, Time aNow, Update& aUpdate);

  const state::FleetState* view;
  std::size_t recordedCount = 0; // upstreams with a record
  Duration announcementLifetime;
  // The unspecified iteration order has no effect: FindRemoved, the only
  // function that iterates, sorts its result.
  std::unordered_map<std::string, std::unique_ptr<Upstream>> upstreams;
  std::unordered_map<std::string, std::unique_ptr<ServiceGroup>> groups;
};

} // namespace hyssoppaddle::request

#endif
