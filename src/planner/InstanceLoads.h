// Load of the instances: free slots and resources of every instance, ordered by
// free capacity within its pool, and the number of tasks per rack and data
// centre for spreading.
#ifndef hyssoppaddle_planner_InstanceLoads_h
#define hyssoppaddle_planner_InstanceLoads_h

#include "base/Id.h"
#include "state/FleetState.h"
#include "state/Resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace hyssoppaddle::planner {

struct InstanceLoad
{
  PoolId pool;
  DataCentreId dataCentre;
  RackId rack;
  state::Resources capacity;
  std::uint32_t slots = 0;
  bool eligible = false; // accepts new tasks
  state::Resources used;
  std::uint32_t usedSlots = 0;
  std::int64_t freePermille = 0; // of the scarcest resource

  [[nodiscard]] bool Fits(const state::Resources& aSize,
                          std::uint32_t aSlots) const;
};

// Totals over the instances of one pool that accept tasks.
struct PoolLoad
{
  std::uint32_t instances = 0;
  std::uint64_t slots = 0;
  std::uint64_t usedSlots = 0; // of all instances of the pool
  // Most free capacity first: pairs of the negated freePermille and the
  // instance.
  std::set<std::pair<std::int64_t, InstanceId>> byFreeCapacity;
};

class InstanceLoads
{
public:
  void Clear();
  // Reloads the instance and its upstream from the state. Returns true when the
  // instance starts to accept tasks or its number of slots changed.
  bool Refresh(const state::FleetState& aState, const InstanceId& aInstance);
  void Add(const InstanceId& aInstance,
           const TeamId& aTeam,
           const state::Resources& aSize,
           std::uint32_t aSlots);
  void Remove(const InstanceId& aInstance,
              const TeamId& aTeam,
              const state::Resources& aSize,
              std::uint32_t aSlots);

  [[nodiscard]] const InstanceLoad* Find(const InstanceId& aInstance) const;
  [[nodiscard]] const PoolLoad& PoolOf(const PoolId& aPool) const;
  // Number of tasks of the team in the rack or in the data centre.
  [[nodiscard]] std::uint32_t TasksIn(const TeamId& aTeam,
                                      const RackId& aRack) const;
  [[nodiscard]] std::uint32_t TasksIn(const TeamId& aTeam,
                                      const DataCentreId& aDataCentre) const;
  // Sums over all instances that accept tasks.
  [[nodiscard]] const state::Resources& Capacity() const;
  [[nodiscard]] std::uint64_t Slots() const;

private:
  void Detach(const InstanceId& aInstance, const InstanceLoad& aLoad);
  void Attach(const InstanceId& aInstance, InstanceLoad& aLoad);
  void Adjust(const InstanceId& aInstance,
              const state::Resources& aAdded,
              const state::Resources& aRemoved,
              std::int64_t aSlots);
  void CountTask(const InstanceLoad& aLoad, const TeamId& aTeam, int aDelta);

  std::map<InstanceId, InstanceLoad> loads;
  std::map<PoolId, PoolLoad> pools;
  std::map<std::pair<TeamId, RackId>, int> rackTasks;
  std::map<std::pair<TeamId, DataCentreId>, int> dataCentreTasks;
  state::Resources capacity;
  std::uint64_t slots = 0;
};

} // namespace hyssoppaddle::planner

#endif
