// Recovers lent share within 10 s: while a team below its share waits, tasks of
// teams above their share are asked to checkpoint. Tasks that do not are
// throttled. No task is killed.
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
  struct CheckpointRequest
  {
    std::uint64_t epoch = 0;
    TeamId team;
    TeamId preemptor;
    double fraction = 0; // of the fleet, freed by the checkpoint
    Time requestedAt{};
    bool throttled = false;
  };

  void ReclaimIn(Context& aContext,
                 const PoolId& aPool,
                 const PlacementQueue::Pool& aQueue);
  [[nodiscard]] std::optional<TeamId> FindPreemptor(
    const Context& aContext,
    const PlacementQueue::Pool& aQueue) const;
  [[nodiscard]] std::optional<JobId> FindVictim(const Context& aContext,
                                                const PoolId& aPool,
                                                const TeamId& aPreemptor) const;
  [[nodiscard]] bool MayCheckpoint(const Context& aContext,
                                   const JobId& aJob,
                                   const LiveTask& aTask) const;
  void RequestCheckpoint(Context& aContext,
                         const JobId& aJob,
                         const TeamId& aPreemptor);
  void ThrottleOverdue(Context& aContext);
  // Dominant fraction per unit of share after all tasks asked to checkpoint
  // have ended.
  [[nodiscard]] double ProjectedLevel(const TeamId& aTeam) const;

  const JobTracker& jobs;
  const ShareLedger& ledger;
  std::map<JobId, CheckpointRequest> checkpointRequests;
  std::map<TeamId, double> pendingLosses; // fractions to be freed
  std::map<TeamId, double> pendingGains;  // fractions the preemptors will get
  std::map<PoolId, Time> waitingSince;    // pools with a preemptor and a victim
  PoolId cursor;
};

} // namespace hyssoppaddle::planner

#endif
