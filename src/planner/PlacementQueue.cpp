// Updates the index of waiting jobs.
#include "planner/PlacementQueue.h"

namespace hyssoppaddle::planner {

void
PlacementQueue::Clear()
{
  this->queueKeys.clear();
  this->pools.clear();
  this->teamSlots.clear();
}

void
PlacementQueue::Put(const JobId& aJob, const state::JobRecord& aRecord)
{
  const auto found = this->queueKeys.find(aJob);
  if (found != this->queueKeys.end()) {
    if (found->second.pool == aRecord.pool) {
      return;
    }
    this->Remove(aJob);
  }
  this->queueKeys.emplace(aJob,
                          QueueKey{ aRecord.pool,
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
  const auto found = this->queueKeys.find(aJob);
  if (found == this->queueKeys.end()) {
    return;
  }
  const QueueKey& queueKey = found->second;
  const auto pool = this->pools.find(queueKey.pool);
  Teams& teams = pool->second.classes[queueKey.workClass];
  TeamQueue& teamQueue = teams[queueKey.team];
  teamQueue.erase({ queueKey.submittedAt, aJob });
  if (teamQueue.empty()) {
    teams.erase(queueKey.team);
  }
  if (teams.empty()) {
    pool->second.classes.erase(queueKey.workClass);
  }
  pool->second.slots -= queueKey.slots;
  if (--pool->second.jobs == 0) {
    this->pools.erase(pool);
  }
  const auto team = this->teamSlots.find(queueKey.team);
  team->second -= queueKey.slots;
  if (team->second == 0) {
    this->teamSlots.erase(team);
  }
  this->queueKeys.erase(found);
}

bool
PlacementQueue::Contains(const JobId& aJob) const
{
  return this->queueKeys.contains(aJob);
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
