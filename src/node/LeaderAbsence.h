// Decides how long a call waits at an entry node while no leader accepts calls,
// and when a caller that is refused should come back.
//
// Load pattern: the leader is lost while hundreds of calls a second arrive. An
// election among live replicas ends within the time limits of most callers, so
// refusing them would only bring them back later. While most replicas are down,
// no election can succeed, so each caller is refused at once. It is asked to
// come back the later the longer the outage has lasted, so that it does not use
// up its attempts, but early enough for some attempts within its time limit.
#ifndef hyssoppaddle_node_LeaderAbsence_h
#define hyssoppaddle_node_LeaderAbsence_h

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace hyssoppaddle::node {

// What an entry node knows while it knows no leader.
struct LeaderAbsence
{
  Duration lasted{ 0 };      // since a leader was last known
  Duration electable{ 0 };   // of that, since CanElect has held
  std::size_t replicas = 0;  // known here; 0: none yet
  std::size_t reachable = 0; // of these, connected to this node or on it

  // False when the replicas that can be reached cannot elect a leader.
  [[nodiscard]] bool CanElect() const;
};

// Until when a call that arrived at aArrivedAt and has not been sent is held.
// Its caller needs the answer by aAnswerBy.
[[nodiscard]] Time
HoldUntil(const LeaderAbsence& aAbsence,
          Time aArrivedAt,
          Time aAnswerBy,
          Time aNow);

// When the caller of a refused call should come back. aTimeLeft is how long the
// caller still needs an answer. aDraw is any number that differs between the
// calls; it spreads their return.
[[nodiscard]] Duration
ReturnAfter(const LeaderAbsence& aAbsence,
            Duration aTimeLeft,
            std::uint64_t aDraw);

} // namespace hyssoppaddle::node

#endif
