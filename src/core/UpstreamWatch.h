// Upstreams that announce themselves to this entry instance, and which of them
// fell silent.
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
  // Records an announcement and the interval that its answer gives. A newly
  // watched upstream is queued for the leader.
  void Hear(const state::Announcement& aAnnouncement,
            Duration aInterval,
            Time aNow);

  // Moves upstreams that have been silent for three intervals plus 1 s from the
  // watch into the queue.
  void CollectSilent(Time aNow);

  // Queues every watched upstream again: a new leader knows of none.
  void QueueAll();

  // Queues the upstream with the sequence heard here, when it is watched and
  // later than aSequence of the same boot, or of another boot.
  void Confirm(const InstanceId& aInstance,
               const std::string& aBoot,
               std::uint64_t aSequence);

  // Takes the queue, at most kMaxBatch entries.
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
  // Same upstreams as `watched`, ordered by when they count as silent.
  std::set<std::pair<Time, InstanceId>> bySilence;
  std::vector<wire::UpstreamLiveness> queue;

  void Enqueue(const InstanceId& aInstance,
               const Watched& aWatched,
               bool aSilent);
};

} // namespace hyssoppaddle::core

#endif
