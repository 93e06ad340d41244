// Attributes demand to pools.
#include "planner/PoolDemand.h"

namespace hyssoppaddle::planner {

PoolDemand::PoolDemand(const JobTracker& aJobs,
                       const InstanceLoads& aLoads,
                       const PermitAllocator& aPermits)
  : jobs(aJobs)
  , loads(aLoads)
  , permits(aPermits)
{
}

void
PoolDemand::ReadBundle(const state::Bundle& aBundle)
{
  this->poolsOf.clear();
  this->teamsOf.clear();
  const auto connect = [this](const TeamId& aTeam, const PoolId& aPool) {
    this->poolsOf[aTeam].insert(aPool);
    this->teamsOf[aPool].insert(aTeam);
  };
  std::map<WorkspaceId, std::set<PoolId>> ofWorkspace;
  for (const state::ServiceSpec& service : aBundle.services) {
    ofWorkspace[service.workspace].insert(service.pool);
    if (service.open && !service.openTeam.empty()) {
      connect(service.openTeam, service.pool);
    }
  }
  for (const state::TeamSpec& team : aBundle.teams) {
    for (const PoolId& pool : ofWorkspace[team.workspace]) {
      connect(team.name, pool);
    }
  }
  this->BuildGroups();
}

void
PoolDemand::BuildGroups()
{
  this->groups.clear();
  std::set<TeamId> done;
  for (const auto& [first, pools] : this->poolsOf) {
    if (done.contains(first)) {
      continue;
    }
    Group group;
    std::set<PoolId> seen;
    std::vector<TeamId> unvisited{ first };
    done.insert(first);
    while (!unvisited.empty()) {
      const TeamId team = unvisited.back();
      unvisited.pop_back();
      group.teams.push_back(team);
      for (const PoolId& pool : this->poolsOf[team]) {
        if (!seen.insert(pool).second) {
          continue;
        }
        group.pools.push_back(pool);
        for (const TeamId& next : this->teamsOf[pool]) {
          if (done.insert(next).second) {
            unvisited.push_back(next);
          }
        }
      }
    }
    this->groups.push_back(std::move(group));
  }
}

double
PoolDemand::RequestSlots(const PoolId& aPool) const
{
  const auto teams = this->teamsOf.find(aPool);
  if (teams == this->teamsOf.end()) {
    return 0;
  }
  const auto own = static_cast<double>(this->loads.PoolOf(aPool).slots);
  double sum = 0;
  for (const TeamId& team : teams->second) {
    const wire::TeamDemand demand = this->permits.Demand(team);
    if (demand.inUse + demand.waiting == 0) {
      continue;
    }
    double all = 0;
    for (const PoolId& pool : this->poolsOf.at(team)) {
      all += static_cast<double>(this->loads.PoolOf(pool).slots);
    }
    const double part = all > 0 ? own / all : 0;
    sum += part * (demand.inUse + demand.waiting);
  }
  return sum;
}

double
PoolDemand::Slots(const PoolId& aPool) const
{
  const PlacementQueue::Pool* waiting = this->jobs.Queue().Find(aPool);
  const auto running = static_cast<double>(this->loads.PoolOf(aPool).usedSlots);
  return running + this->RequestSlots(aPool) +
         (waiting == nullptr ? 0.0 : static_cast<double>(waiting->slots));
}

std::uint64_t
PoolDemand::TeamSlots(const TeamId& aTeam) const
{
  const wire::TeamDemand demand = this->permits.Demand(aTeam);
  return this->jobs.Queue().TeamSlots(aTeam) + this->jobs.LiveSlots(aTeam) +
         demand.inUse + demand.waiting;
}

} // namespace hyssoppaddle::planner
