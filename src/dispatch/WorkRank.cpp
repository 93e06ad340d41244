// Ranks jobs by whether they can meet their objective and by the value that a
// core-second spent on them still brings.
#include "dispatch/WorkRank.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Estimates are wrong by up to half, so a job counts as late or hopeless only
// when even half of its estimated critical path no longer fits, and as certain
// to be in time when one and a half of it do.
constexpr double kOptimisticChainFactor = 0.5;
constexpr double kPessimisticChainFactor = 1.5;
// Bounds the preference for jobs with time to spare.
constexpr double kMinChance = 0.1;
// Hopeless jobs: remaining work, in core-milliseconds, is reduced by this for
// each second of waiting, so that large jobs eventually pass a stream of small
// ones.
constexpr double kAgeingCoreMsPerSecond = 4000.0;
// Range in which the share of a workspace affects the order.
constexpr double kMinShare = 0.5;
constexpr double kMaxShare = 2.0;
// Value of a job to its caller: a part for the answer as such, the rest in
// proportion to its work relative to the average job of its queue.
constexpr double kValueOfAnswer = 0.3;
constexpr double kValueOfWork = 0.7;

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

// How likely the job ends by aDeadline if its tasks start now.
double
ChanceToEndBy(const JobView& aView, WallTime aDeadline, WallTime aNow)
{
  const double chain =
    std::max(1.0, static_cast<double>(aView.remainingChain.count()));
  const double chains = static_cast<double>((aDeadline - aNow).count()) / chain;
  const double chance = (chains - kOptimisticChainFactor) /
                        (kPessimisticChainFactor - kOptimisticChainFactor);
  return std::clamp(chance, kMinChance, 1.0);
}

// Core-milliseconds that have to be started for one unit of value.
double
CostOfValue(const JobView& aView, double aShare, double aChance)
{
  const double mean =
    std::max(1.0, aView.meanWork > 0 ? aView.meanWork : aView.totalWork);
  const double value = kValueOfAnswer + kValueOfWork * aView.totalWork / mean;
  const double share = std::clamp(aShare, kMinShare, kMaxShare);
  return aView.unstartedWork * share / (value * aChance);
}

} // namespace

WorkRank
RankOf(const JobView& aView, double aShare, WallTime aNow)
{
  WorkRank rank;
  rank.priority = aView.priority;
  if (aView.longRunning) {
    return rank; // its value depends on its running time, so waiting never
                 // helps
  }
  const WallTime soonest =
    aNow + Scaled(aView.remainingChain, kOptimisticChainFactor);
  WallTime deadline = aView.objective;
  if (soonest > aView.latest) {
    rank.outlook = WorkRank::Outlook::Hopeless;
    const double waited = std::chrono::duration<double>(
                            aNow - (aView.objective - aView.remainingChain))
                            .count();
    rank.urgency =
      aView.remainingWork - kAgeingCoreMsPerSecond * std::max(0.0, waited);
    return rank;
  }
  if (soonest > aView.objective) {
    rank.outlook = WorkRank::Outlook::Late;
    deadline = aView.latest;
  }
  if (aView.isLent) {
    rank.outlook = WorkRank::Outlook::Lent;
  }
  rank.urgency =
    CostOfValue(aView, aShare, ChanceToEndBy(aView, deadline, aNow));
  return rank;
}

} // namespace hyssoppaddle::dispatch
