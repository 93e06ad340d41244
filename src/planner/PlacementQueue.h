// Waiting jobs by pool, work class and team, oldest first. The index is updated
// on every change, so that no step scans all jobs.
#ifndef hyssoppaddle_planner_PlacementQueue_h
#define hyssoppaddle_planner_PlacementQueue_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hyssoppaddle::planner {

class PlacementQueue
{
public:
  using TeamQueue = std::set<std::pair<WallTime, JobId>>;
  using Teams = std::map<TeamId, TeamQueue>;

  struct Pool
  {
    std::map<state::WorkClass, Teams> classes;
    std::uint64_t slots = 0; // of all waiting jobs
    std::size_t jobs = 0;
  };

  void Clear();
  void Put(const JobId& aJob, const state::JobRecord& aRecord);
  void Remove(const JobId& aJob);

  [[nodiscard]] bool Contains(const JobId& aJob) const;
  // Returns null when no job waits for the pool.
  [[nodiscard]] const Pool* Find(const PoolId& aPool) const;
  [[nodiscard]] const std::map<PoolId, Pool>& Pools() const;
  [[nodiscard]] std::uint64_t TeamSlots(const TeamId& aTeam) const;
  [[nodiscard]] const std::map<TeamId, std::uint64_t>& SlotsByTeam() const;

private:
  struct QueueKey
  {
    PoolId pool;
    state::WorkClass workClass = state::WorkClass::Print;
    TeamId team;
    WallTime submittedAt;
    std::uint32_t slots = 0;
  };

  std::map<JobId, QueueKey> queueKeys;
  std::map<PoolId, Pool> pools;
  std::map<TeamId, std::uint64_t> teamSlots;
};

} // namespace hyssoppaddle::planner

#endif
