// What runs where: free slots and resources of every instance, ordered by free
// capacity within its pool, and the number of tasks per rack for spreading.
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
  bool eligible = false; // may take new tasks
  state::Resources used;
  std::uint32_t usedSlots = 0;
  std::int64_t freeMille = 0; // least free resource, in thousandths

  [[nodiscard]] bool Fits(const state::Resources& aSize,
                          std::uint32_t aSlots) const;
};

// Slots and resources of the instances of one pool that may take tasks.
struct PoolLoad
{
  std::uint32_t instances = 0;
  std::uint64_t slots = 0;
  std::uint64_t usedSlots = 0; // of all its instances, eligible or not
  // Most free first: (minus the free thousandths, instance).
  std::set<std::pair<std::int64_t, InstanceId>> byFree;
};

class InstanceLoads
{
public:
  void Clear();
  // Reads the instance and its upstream again; true when it became able to
  // take tasks or changed its size.
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
  // Tasks of the team in the rack, and in the data centre.
  [[nodiscard]] std::uint32_t TasksIn(const TeamId& aTeam,
                                      const RackId& aRack) const;
  [[nodiscard]] std::uint32_t TasksIn(const TeamId& aTeam,
                                      const DataCentreId& aDataCentre) const;
  // Sums over the instances that may take tasks.
  [[nodiscard]] const state::Resources& Capacity() const;
  [[nodiscard]] std::uint64_t Slots() const;

private:
  void Detach(const InstanceId& aInstance, const InstanceLoad& aLoad);
  void Attach(const InstanceId& aInstance, InstanceLoad& aLoad);
  void Adjust(const InstanceId& aInstance,
              const state::Resources& aAdd,
              const state::Resources& aTake,
              std::int64_t aSlots);
  void CountSpread(const InstanceLoad& aLoad, const TeamId& aTeam, int aDelta);

  std::map<InstanceId, InstanceLoad> loads;
  std::map<PoolId, PoolLoad> pools;
  std::map<std::pair<TeamId, RackId>, int> rackTasks;
  std::map<std::pair<TeamId, DataCentreId>, int> centreTasks;
  state::Resources capacity;
  std::uint64_t slots = 0;
};

} // namespace hyssoppaddle::planner

#endif
