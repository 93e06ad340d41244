// Failure detector of the leader: tracks which entry instance receives the
// announcements of which upstream, and decides when an upstream is marked
// silent in the log.
#ifndef hyssoppaddle_core_LivenessTable_h
#define hyssoppaddle_core_LivenessTable_h

#include "base/Time.h"
#include "state/Commands.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppaddle::core {

class LivenessTable
{
public:
  // Resets the table when this instance becomes leader. All upstreams in
  // aExpected are suspected until an entry instance reports them; those that
  // none reports within kStartGracePeriod are silent.
  void Start(const std::vector<state::Announcement>& aExpected, Time aNow);
  void Clear();

  // Processes one item of an UpstreamLivenessBatch message. Returns true when
  // the upstream is newly suspected, so that the caller has to query the other
  // entry instances.
  bool Report(const InstanceId& aEntry,
              const wire::UpstreamLiveness& aLiveness,
              Time aNow);

  // Suspects all upstreams that were last heard by aEntry; called when that
  // entry instance stops renewing its leases. Returns the queries for the
  // others.
  std::vector<wire::UpstreamLiveness> SuspectUpstreamsOf(
    const InstanceId& aEntry,
    Time aNow);

  // Records an announcement that was applied from the log and clears any
  // suspicion of its upstream.
  void Accept(const state::Announcement& aAnnouncement);

  // Suspected upstreams that have not been heard since.
  [[nodiscard]] std::vector<InstanceId> SuspectedUpstreams() const;

  // Removes and returns the suspected upstreams whose grace period has ended
  // without a later announcement.
  std::vector<state::MarkUpstreamSilent> TakeSilent(Time aNow);

private:
  struct LivenessRecord
  {
    InstanceId entry; // heard it last; empty before the first report
    std::string boot;
    std::uint64_t sequence = 0;
    bool suspected = false;
    Time suspectedUntil;
  };

  std::map<InstanceId, LivenessRecord> records;
  // Upstreams with `suspected`, ordered by the end of their grace period.
  std::set<std::pair<Time, InstanceId>> suspects;
  // Upstreams by the entry instance that heard them last.
  std::map<InstanceId, std::set<InstanceId>> upstreamsByEntry;

  void Suspect(const InstanceId& aInstance,
               LivenessRecord& aRecord,
               Time aUntil);
  void ClearSuspicion(const InstanceId& aInstance, LivenessRecord& aRecord);
  void SetEntry(const InstanceId& aInstance,
                LivenessRecord& aRecord,
                const InstanceId& aEntry);
};

} // namespace hyssoppaddle::core

#endif
