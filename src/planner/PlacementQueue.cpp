// Index of waiting jobs.
#include "planner/PlacementQueue.h"

namespace hyssoppaddle::planner {

void
PlacementQueue::Clear()
{
  this->places.clear();
  this->pools.clear();
  this->teamSlots.clear();
}

void
PlacementQueue::Put(const JobId& aJob, const state::JobRecord& aRecord)
{
  const auto found = this->places.find(aJob);
  if (found != this->places.end()) {
    if (found->second.pool == aRecord.pool) {
      return;
    }
    this->Remove(aJob);
  }
  this->places.emplace(aJob,
                       Place{ aRecord.pool,
                              aRecord.workClass,
                              aRecord.team,
                              aRecord.submittedAt,
                              aRecord.slots });
  Pool& pool = this->pools[aRecord.pool];
  pool.classes[aRecord.workClass][aRecord.team].emplace(aRecord.submittedAt,
                                                        aJob);
  pool.slots += aRecord.slots;
  ++pool.jobs;
  this->teamSlots[aRecord.team] += aRecord.slots;
}

void
PlacementQueue::Remove(const JobId& aJob)
{
  const auto found = this->places.find(aJob);
  if (found == this->places.end()) {
    return;
  }
  const Place& place = found->second;
  const auto pool = this->pools.find(place.pool);
  Teams& teams = pool->second.classes[place.workClass];
  Line& line = teams[place.team];
  line.erase({ place.submittedAt, aJob });
  if (line.empty()) {
    teams.erase(place.team);
  }
  if (teams.empty()) {
    pool->second.classes.erase(place.workClass);
  }
  pool->second.slots -= place.slots;
  if (--pool->second.jobs == 0) {
    this->pools.erase(pool);
  }
  const auto team = this->teamSlots.find(place.team);
  team->second -= place.slots;
  if (team->second == 0) {
    this->teamSlots.erase(team);
  }
  this->places.erase(found);
}

bool
PlacementQueue::Has(const JobId& aJob) const
{
  return this->places.contains(aJob);
}

const PlacementQueue::Pool*
PlacementQueue::Find(const PoolId& aPool) const
{
  const auto found = this->pools.find(aPool);
  return found == this->pools.end() ? nullptr : &found->second;
}

const std::map<PoolId, PlacementQueue::Pool>&
PlacementQueue::Pools() const
{
  return this->pools;
}

std::uint64_t
PlacementQueue::TeamSlots(const TeamId& aTeam) const
{
  const auto found = this->teamSlots.find(aTeam);
  return found == this->teamSlots.end() ? 0 : found->second;
}

const std::map<TeamId, std::uint64_t>&
PlacementQueue::SlotsByTeam() const
{
  return this->teamSlots;
}

} // namespace hyssoppaddle::planner
