// The order in which waiting jobs of one service get room.
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

// Smaller ranks come first.
struct WorkRank
{
  enum class Outlook : std::uint8_t
  {
    InTime,   // can meet its objective
    Late,     // can end before it is worth nothing
    Hopeless, // worth nothing any more, runs in room that nobody else needs
  };

  Outlook outlook = Outlook::InTime;
  std::uint32_t priority = 0;
  double urgency = 0;

  auto operator<=>(const WorkRank&) const = default;
};

// aShare is what the job's workspace uses now against its part by weight; 1 is
// exactly its part.
WorkRank
RankOf(const JobView& aView, double aShare, WallTime aNow);

} // namespace hyssoppaddle::dispatch

#endif
