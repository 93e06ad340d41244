// The order in which the waiting jobs of a service are given capacity.
//
// Load pattern: each queue in its turn asks for five times its mean for some
// seconds, more than its pool holds. Serving first come first served makes
// every job of the peak late. The order prefers the jobs from which callers
// gain the most, in time, for each core-second that is still to be started.
// Jobs that a workspace sends beyond its share come after those that are owed.
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
    Lent,     // can end while it has value, but is beyond its workspace's share
    Hopeless, // has no value any more; uses only capacity that no other job
              // needs
  };

  Outlook outlook = Outlook::InTime;
  std::uint32_t priority = 0;
  double urgency = 0;

  auto operator<=>(const WorkRank&) const = default;
};

// aShare is the workspace's current usage relative to its share by weight; 1
// means exactly its share.
WorkRank
RankOf(const JobView& aView, double aShare, WallTime aNow);

} // namespace hyssoppaddle::dispatch

#endif
