// The order in which the waiting jobs of a service are given capacity.
//
// Load pattern: each queue in its turn asks for five times its mean for some
// seconds, more than its pool holds. Serving first come first served makes
// every job of the peak late; serving the smallest remaining work first among
// the jobs that can still meet their objective keeps most of them in time.
#ifndef hyssoppaddle_dispatch_WorkRank_h
#define hyssoppaddle_dispatch_WorkRank_h

#include "dispatch/JobView.h"

#include <compare>

namespace hyssoppaddle::dispatch {

// Lower ranks are served first.
struct WorkRank
{
  enum class Outlook : std::uint8_t
  {
    InTime,   // can meet its objective
    Late,     // can end while it still has value
    Hopeless, // has no value any more; uses only capacity that no other job
              // needs
  };

  Outlook outlook = Outlook::InTime;
  std::uint32_t priority = 0;
  double urgency = 0;

  auto operator<=>(const WorkRank&) const = default;
};

// How much of its estimated critical path a job needs at least.
enum class ChainEstimate : std::uint8_t
{
  Optimistic, // half, since estimates are wrong by up to that
  Full,       // where the leader itself adds to the time of each step
};

// aShare is the workspace's current usage relative to its share by weight; 1
// means exactly its share.
WorkRank
RankOf(const JobView& aView,
       double aShare,
       WallTime aNow,
       ChainEstimate aEstimate = ChainEstimate::Optimistic);

} // namespace hyssoppaddle::dispatch

#endif
