// Demand for slots per pool and per team, computed from live tasks, waiting
// jobs and the waiting requests that entry instances report.
#ifndef hyssoppaddle_planner_PoolDemand_h
#define hyssoppaddle_planner_PoolDemand_h

#include "planner/Context.h"
#include "planner/InstanceLoads.h"
#include "planner/JobTracker.h"
#include "planner/PermitAllocator.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace hyssoppaddle::planner {

class PoolDemand
{
public:
  PoolDemand(const JobTracker& aJobs,
             const InstanceLoads& aLoads,
             const PermitAllocator& aPermits);

  // A renewal names no service. The requests of a team therefore count towards
  // the pools of all services of its workspace, and of open services that
  // charge the team.
  void ReadBundle(const state::Bundle& aBundle);

  // Number of slots that the tasks, waiting jobs and requests of the pool would
  // use now.
  [[nodiscard]] double Slots(const PoolId& aPool) const;
  // Number of slots for requests in use and waiting in the pool.
  [[nodiscard]] double RequestSlots(const PoolId& aPool) const;
  [[nodiscard]] std::uint64_t TeamSlots(const TeamId& aTeam) const;

  // Teams that are connected by common pools, and these pools.
  struct Group
  {
    std::vector<TeamId> teams;
    std::vector<PoolId> pools;
  };
  [[nodiscard]] const std::vector<Group>& Groups() const
  {
    return this->groups;
  }

private:
  void BuildGroups();

  const JobTracker& jobs;
  const InstanceLoads& loads;
  const PermitAllocator& permits;
  std::map<TeamId, std::set<PoolId>> poolsOf;
  std::map<PoolId, std::set<TeamId>> teamsOf;
  std::vector<Group> groups;
};

} // namespace hyssoppaddle::planner

#endif
