// Places waiting jobs on instances, ordered by work class, share deficit and
// age, and spread over racks and data centres.
#ifndef hyssoppaddle_planner_Placement_h
#define hyssoppaddle_planner_Placement_h

#include "planner/Context.h"
#include "planner/InstanceLoads.h"
#include "planner/JobTracker.h"
#include "planner/Reservations.h"
#include "planner/ShareLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppaddle::planner {

class Placement
{
public:
  Placement(JobTracker& aJobs,
            InstanceLoads& aLoads,
            ShareLedger& aLedger,
            Reservations& aReservations);

  void Reset();
  // Places the jobs that fit in the pools that changed since the last call,
  // until the step has no decisions left. The remaining pools are handled by
  // the next call.
  void Run(Context& aContext);
  // Checks one pool per tick for jobs that can never run, and lets Run() try
  // the other jobs of the pool again.
  void Sweep(Context& aContext);

  // Slots of waiting jobs that only their team's limit keeps from running.
  [[nodiscard]] const std::map<TeamId, std::uint32_t>& HeldByLimit() const
  {
    return this->heldByLimit;
  }
  [[nodiscard]] std::vector<std::string> Explain(const Context& aContext,
                                                 const JobId& aJob) const;

private:
  using BlockedTeams = std::set<std::pair<state::WorkClass, TeamId>>;
  using TeamQueue = PlacementQueue::TeamQueue;

  struct Pick
  {
    state::WorkClass workClass = state::WorkClass::Print;
    TeamId team;
    const TeamQueue* teamQueue = nullptr;
  };

  struct Choice
  {
    InstanceId instance;
    std::vector<std::string> candidates;
  };

  // Instances of a pool that are kept free, each for one job.
  using Holds = std::map<InstanceId, JobId>;

  bool PlacePool(Context& aContext, const PoolId& aPool);
  [[nodiscard]] std::optional<Pick> NextPick(
    const Context& aContext,
    const PoolId& aPool,
    const BlockedTeams& aBlocked) const;
  [[nodiscard]] std::optional<Pick> PickInClass(
    state::WorkClass aClass,
    const PlacementQueue::Teams& aTeams,
    const BlockedTeams& aBlocked) const;
  bool PlaceOne(Context& aContext, const PoolId& aPool, const Pick& aPick);
  bool TryJob(Context& aContext, const PoolId& aPool, const JobId& aJob);
  void Place(Context& aContext,
             const JobId& aJob,
             const state::JobRecord& aRecord,
             const Choice& aChoice);
  [[nodiscard]] std::optional<Choice> Choose(
    const Context& aContext,
    const PoolId& aPool,
    const JobId& aJob,
    const state::JobRecord& aRecord) const;
  [[nodiscard]] bool MayUse(const Context& aContext,
                            const PoolId& aPool,
                            const JobId& aJob,
                            const state::JobRecord& aRecord,
                            const InstanceId& aInstance) const;
  [[nodiscard]] state::Resources SizeOn(const state::JobRecord& aRecord,
                                        const InstanceLoad& aLoad) const;
  void SweepPool(Context& aContext, const PoolId& aPool);
  void SweepJob(Context& aContext,
                const PoolId& aPool,
                const JobId& aJob,
                std::uint32_t aLargestSlots);
  [[nodiscard]] std::string CannotRunReason(const Context& aContext,
                                            const state::JobRecord& aRecord,
                                            std::uint32_t aLargestSlots) const;
  void RemoveStaleHolds(const PoolId& aPool);
  void OnNoRoom(Context& aContext, const PoolId& aPool, const Pick& aPick);
  void HoldFor(Context& aContext,
               const PoolId& aPool,
               const JobId& aJob,
               const state::JobRecord& aRecord);
  [[nodiscard]] std::uint32_t LargestSlots(const Context& aContext,
                                           const PoolId& aPool) const;

  JobTracker& jobs;
  InstanceLoads& loads;
  ShareLedger& ledger;
  Reservations& reservations;
  std::set<PoolId> pendingPools;
  PoolId cursor;      // last pool of Run()
  PoolId sweepCursor; // last pool of Sweep()
  std::map<TeamId, std::uint32_t> heldByLimit;
  std::map<PoolId, Holds> holds;
  // Time since when the team that is first in a pool has found no room for its
  // next job.
  std::map<std::pair<PoolId, TeamId>, Time> noRoomSince;
  std::map<std::pair<PoolId, state::WorkClass>, Time> lastServed;
};

} // namespace hyssoppaddle::planner

#endif
