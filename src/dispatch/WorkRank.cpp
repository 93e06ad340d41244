// Ranks jobs by whether they can meet their objective and by their remaining
// work.
#include "dispatch/WorkRank.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Estimates are wrong by up to half, so a job counts as late or hopeless only
// when even half of its estimated critical path no longer fits.
constexpr double kOptimisticChainFactor = 0.5;
// Remaining work, in core-milliseconds, is reduced by this for each second of
// waiting, so that large jobs eventually pass a stream of small ones.
constexpr double kAgeingCoreMsPerSecond = 4000.0;
// Range in which the share of a workspace affects the order.
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
RankOf(const JobView& aView,
       double aShare,
       WallTime aNow,
       ChainEstimate aEstimate)
{
  WorkRank rank;
  rank.priority = aView.priority;
  if (aView.longRunning) {
    return rank; // its value depends on its running time, so waiting never
                 // helps
  }
  const double factor =
    aEstimate == ChainEstimate::Full ? 1.0 : kOptimisticChainFactor;
  const WallTime soonest = aNow + Scaled(aView.remainingChain, factor);
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
