// Tracks the upstreams that announce themselves to this entry instance, and
// reports those that appear or fall silent to the leader.
#ifndef hyssoppaddle_core_UpstreamWatch_h
#define hyssoppaddle_core_UpstreamWatch_h

#include "base/Time.h"
#include "state/Commands.h"
#include "wire/PeerMessage.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hyssoppaddle::core {

class UpstreamWatch
{
public:
  // Records an announcement and the interval until the next one. An upstream
  // that is new here or has a new boot is queued for the leader.
  void RecordAnnouncement(const state::Announcement& aAnnouncement,
                          Duration aInterval,
                          Time aNow);

  // Stops watching the upstreams that have been silent for three intervals plus
  // 1 s, and queues them as silent.
  void CollectSilent(Time aNow);

  // Queues every watched upstream again, for a new leader that has no reports.
  void QueueAll();

  // Answers a query of the leader: queues the upstream when it is watched here
  // and has announced a later sequence than aSequence, or another boot.
  void QueueIfNewer(const InstanceId& aInstance,
                    const std::string& aBoot,
                    std::uint64_t aSequence);

  // Removes and returns the first entries of the queue, at most kMaxBatchSize.
  std::vector<wire::UpstreamLiveness> TakeQueue();
  [[nodiscard]] bool HasQueue() const;

  [[nodiscard]] std::size_t size() const;

private:
  struct Watched
  {
    std::string boot;
    std::uint64_t sequence = 0;
    Time silentAt;
  };

  std::map<InstanceId, Watched> watched;
  // The upstreams of `watched`, ordered by the time at which they count as
  // silent.
  std::set<std::pair<Time, InstanceId>> bySilence;
  std::vector<wire::UpstreamLiveness> queue;

  void Enqueue(const InstanceId& aInstance,
               const Watched& aWatched,
               bool aSilent);
};

} // namespace hyssoppaddle::core

#endif
