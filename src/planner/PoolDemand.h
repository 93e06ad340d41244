// Demand for slots per pool and per team, from live and waiting tasks and from
// the waiting counts that entry instances report.
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

  // A renewal names no service, so the requests of a team count for the pools
  // of the services of its workspace, and of open services that charge it.
  void ReadBundle(const state::Bundle& aBundle);

  // Slots that the pool's tasks, waiting jobs and requests would use now.
  [[nodiscard]] double Slots(const PoolId& aPool) const;
  // Slots of requests in use and waiting for the pool.
  [[nodiscard]] double RequestSlots(const PoolId& aPool) const;
  [[nodiscard]] std::uint64_t TeamSlots(const TeamId& aTeam) const;

  // Teams whose pools are connected, and those pools.
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
