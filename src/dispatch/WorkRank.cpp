// Ranks jobs by what they can still reach and by the work they need.
#include "dispatch/WorkRank.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Estimates are off by half either way: a job counts as lost only when even
// half of its estimated chain no longer fits.
constexpr double kOptimisticChainFactor = 0.5;
// Each second of waiting counts like this much less work (core-ms), so that
// large jobs age past a stream of small ones.
constexpr double kAgeingCoreMsPerSecond = 4000.0;
// Range in which the share of a workspace changes the order.
constexpr double kMinShare = 0.5;
constexpr double kMaxShare = 2.0;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

WorkRank
RankOf(const JobView& aView, double aShare, WallTime aNow)
{
  WorkRank rank;
  rank.priority = aView.priority;
  if (aView.longRunning) {
    return rank; // it earns by time at work: nothing is gained by waiting
  }
  const WallTime soonest =
    aNow + Scaled(aView.remainingChain, kOptimisticChainFactor);
  if (soonest > aView.latest) {
    rank.outlook = WorkRank::Outlook::Hopeless;
  } else if (soonest > aView.objective) {
    rank.outlook = WorkRank::Outlook::Late;
  }
  const double waited = std::chrono::duration<double>(
                          aNow - (aView.objective - aView.remainingChain))
                          .count();
  const double share = std::clamp(aShare, kMinShare, kMaxShare);
  rank.urgency = aView.remainingWork * share -
                 kAgeingCoreMsPerSecond * std::max(0.0, waited);
  return rank;
}

} // namespace hyssoppaddle::dispatch
