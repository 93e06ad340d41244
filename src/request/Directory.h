// Local view of the upstreams of each service. It is built incrementally from
// the replicated state and from announcements made to this entry instance; the
// latest announcement in the order (bootedAtMs, boot, sequence) wins.
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
  Directory(const state::FleetState& aView, Duration aHeardFor);

  // What an event did to one upstream. upstream is null when it is not known.
  struct Update
  {
    Upstream* upstream = nullptr;
    bool rebooted = false;     // another boot ID than before
    bool becameUsable = false; // joined its group
    bool repeated = false;     // an announcement that says nothing new
    ServiceGroup* left = nullptr;
  };

  // The record of the upstream or of its instance changed.
  Update OnRecordChanged(const InstanceId& aInstance, Time aNow);
  // An announcement older than the one known changes nothing.
  Update OnAnnounced(const state::Announcement& aAnnouncement, Time aNow);
  // The last announcement here is heardFor old.
  Update OnHeardLapsed(const InstanceId& aInstance, Time aNow);

  [[nodiscard]] bool IsHeardHere(const Upstream& aUpstream, Time aNow) const;
  [[nodiscard]] Upstream* Find(const InstanceId& aInstance) const;
  ServiceGroup& Group(const ServiceId& aService);
  [[nodiscard]] const ServiceGroup* FindGroup(const ServiceId& aService) const;
  // Upstreams that were in the replicated state and no longer are. Costs a scan
  // only when their number shows that some were removed without being named, as
  // a restored snapshot can do.
  [[nodiscard]] std::vector<InstanceId> FindRemoved() const;
  // Forgets an upstream that is in no record and has nothing running.
  void DropIfUnused(const InstanceId& aInstance);

private:
  Upstream& Obtain(const InstanceId& aInstance);
  void ReadRecords(Upstream& aUpstream);
  void Reconsider(Upstream& aUpstream, Time aNow, Update& aUpdate);

  const state::FleetState* view;
  std::size_t inLog = 0; // upstreams with a record
  Duration heardFor;
  // Never iterated, so their order decides nothing.
  std::unordered_map<std::string, std::unique_ptr<Upstream>> upstreams;
  std::unordered_map<std::string, std::unique_ptr<ServiceGroup>> groups;
};

} // namespace hyssoppaddle::request

#endif
