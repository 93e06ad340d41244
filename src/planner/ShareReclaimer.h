// Recovers lent share within 10 s: asks tasks of teams above their share to
// checkpoint, or throttles those that do not, while a team below its share
// waits. It never kills.
#ifndef hyssoppaddle_planner_ShareReclaimer_h
#define hyssoppaddle_planner_ShareReclaimer_h

#include "planner/Context.h"
#include "planner/JobTracker.h"
#include "planner/ShareLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace hyssoppaddle::planner {

class ShareReclaimer
{
public:
  ShareReclaimer(const JobTracker& aJobs, const ShareLedger& aLedger);

  void Clear();
  void OnTick(Context& aContext);

private:
  struct Asked
  {
    std::uint64_t epoch = 0;
    TeamId team;
    TeamId taker;
    double fraction = 0; // of the fleet, that the team will lose
    Time at{};
    bool throttled = false;
  };

  void ReclaimIn(Context& aContext,
                 const PoolId& aPool,
                 const PlacementQueue::Pool& aQueue);
  [[nodiscard]] std::optional<TeamId> Taker(
    const Context& aContext,
    const PlacementQueue::Pool& aQueue) const;
  [[nodiscard]] std::optional<JobId> Victim(const Context& aContext,
                                            const PoolId& aPool,
                                            const TeamId& aTaker) const;
  [[nodiscard]] bool MayAsk(const Context& aContext,
                            const JobId& aJob,
                            const LiveTask& aTask) const;
  void Ask(Context& aContext, const JobId& aJob, const TeamId& aTaker);
  void FollowUp(Context& aContext);
  // Dominant fraction per unit of share once the asked tasks have ended.
  [[nodiscard]] double LevelAfter(const TeamId& aTeam) const;

  const JobTracker& jobs;
  const ShareLedger& ledger;
  std::map<JobId, Asked> asked;
  std::map<TeamId, double> losses;     // fractions asked back
  std::map<TeamId, double> gains;      // fractions that the takers will get
  std::map<PoolId, Time> waitingSince; // with a taker and a giver
  PoolId cursor;
};

} // namespace hyssoppaddle::planner

#endif
