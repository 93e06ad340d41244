// Keeps the load index of the instances up to date.
#include "planner/InstanceLoads.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr std::int64_t kPermille = 1000;

std::int64_t
FreePermille(std::int64_t aUsed, std::int64_t aTotal)
{
  return aTotal <= 0 ? kPermille : (aTotal - aUsed) * kPermille / aTotal;
}

std::int64_t
LeastFreePermille(const InstanceLoad& aLoad)
{
  return std::min(
    { FreePermille(aLoad.usedSlots, aLoad.slots),
      FreePermille(aLoad.used.milliCpus, aLoad.capacity.milliCpus),
      FreePermille(aLoad.used.memoryMb, aLoad.capacity.memoryMb) });
}

const state::UpstreamRecord*
FindUpstream(const state::FleetState& aState, const InstanceId& aInstance)
{
  const auto found = aState.Upstreams().find(aInstance);
  return found == aState.Upstreams().end() ? nullptr : &found->second;
}

// The announced pool is not compared: an upstream keeps its own settings when
// its instance moves to another pool, and each task names its service.
bool
IsEligible(const state::InstanceRecord& aInstance,
           const state::UpstreamRecord* aUpstream)
{
  return aUpstream != nullptr &&
         aUpstream->state == state::UpstreamState::Serving &&
         !aInstance.retired &&
         (aInstance.phase == state::InstancePhase::Serving ||
          aInstance.phase == state::InstancePhase::Soaking);
}

bool
HasRoom(std::int64_t aNeed, std::int64_t aUsed, std::int64_t aTotal)
{
  return aNeed <= 0 || aUsed + aNeed <= aTotal;
}

} // namespace

bool
InstanceLoad::Fits(const state::Resources& aSize, std::uint32_t aSlots) const
{
  return this->usedSlots + aSlots <= this->slots &&
         HasRoom(
           aSize.milliCpus, this->used.milliCpus, this->capacity.milliCpus) &&
         HasRoom(
           aSize.memoryMb, this->used.memoryMb, this->capacity.memoryMb) &&
         HasRoom(aSize.accelerators,
                 this->used.accelerators,
                 this->capacity.accelerators);
}

void
InstanceLoads::Clear()
{
  *this = InstanceLoads();
}

void
InstanceLoads::Detach(const InstanceId& aInstance, const InstanceLoad& aLoad)
{
  PoolLoad& pool = this->pools[aLoad.pool];
  pool.usedSlots -= aLoad.usedSlots;
  if (!aLoad.eligible) {
    return;
  }
  pool.byFreeCapacity.erase({ -aLoad.freePermille, aInstance });
  --pool.instances;
  pool.slots -= aLoad.slots;
  this->capacity -= aLoad.capacity;
  this->slots -= aLoad.slots;
}

void
InstanceLoads::Attach(const InstanceId& aInstance, InstanceLoad& aLoad)
{
  PoolLoad& pool = this->pools[aLoad.pool];
  aLoad.freePermille = LeastFreePermille(aLoad);
  pool.usedSlots += aLoad.usedSlots;
  if (!aLoad.eligible) {
    return;
  }
  pool.byFreeCapacity.emplace(-aLoad.freePermille, aInstance);
  ++pool.instances;
  pool.slots += aLoad.slots;
  this->capacity += aLoad.capacity;
  this->slots += aLoad.slots;
}

bool
InstanceLoads::Refresh(const state::FleetState& aState,
                       const InstanceId& aInstance)
{
  const auto instance = aState.Instances().find(aInstance);
  const auto known = this->loads.find(aInstance);
  if (instance == aState.Instances().end()) {
    if (known != this->loads.end()) {
      this->Detach(aInstance, known->second);
      this->loads.erase(known);
    }
    return false;
  }
  const state::UpstreamRecord* upstream = FindUpstream(aState, aInstance);
  const bool isNew = known == this->loads.end();
  InstanceLoad& load = this->loads[aInstance];
  if (!isNew) {
    this->Detach(aInstance, load);
  }
  const bool wasEligible = load.eligible;
  const std::uint32_t oldSlots = load.slots;
  load.pool = instance->second.pool;
  load.dataCentre = instance->second.dataCentre;
  load.rack = instance->second.rack;
  load.capacity = instance->second.capacity;
  load.slots = upstream == nullptr ? 0 : upstream->announcement.slots;
  load.eligible = IsEligible(instance->second, upstream);
  this->Attach(aInstance, load);
  return load.eligible && (!wasEligible || load.slots != oldSlots);
}

void
InstanceLoads::Adjust(const InstanceId& aInstance,
                      const state::Resources& aAdded,
                      const state::Resources& aRemoved,
                      std::int64_t aSlots)
{
  const auto found = this->loads.find(aInstance);
  if (found == this->loads.end()) {
    return;
  }
  InstanceLoad& load = found->second;
  this->Detach(aInstance, load);
  load.used += aAdded;
  load.used -= aRemoved;
  load.usedSlots = static_cast<std::uint32_t>(load.usedSlots + aSlots);
  this->Attach(aInstance, load);
}

void
InstanceLoads::CountTask(const InstanceLoad& aLoad,
                         const TeamId& aTeam,
                         int aDelta)
{
  const auto count = [aDelta](auto& aMap, auto aKey) {
    const auto found = aMap.try_emplace(std::move(aKey), 0).first;
    found->second += aDelta;
    if (found->second <= 0) {
      aMap.erase(found);
    }
  };
  count(this->rackTasks, std::pair(aTeam, aLoad.rack));
  count(this->dataCentreTasks, std::pair(aTeam, aLoad.dataCentre));
}

void
InstanceLoads::Add(const InstanceId& aInstance,
                   const TeamId& aTeam,
                   const state::Resources& aSize,
                   std::uint32_t aSlots)
{
  this->Adjust(aInstance, aSize, {}, aSlots);
  if (const InstanceLoad* load = this->Find(aInstance); load != nullptr) {
    this->CountTask(*load, aTeam, 1);
  }
}

void
InstanceLoads::Remove(const InstanceId& aInstance,
                      const TeamId& aTeam,
                      const state::Resources& aSize,
                      std::uint32_t aSlots)
{
  this->Adjust(aInstance, {}, aSize, -static_cast<std::int64_t>(aSlots));
  if (const InstanceLoad* load = this->Find(aInstance); load != nullptr) {
    this->CountTask(*load, aTeam, -1);
  }
}

const InstanceLoad*
InstanceLoads::Find(const InstanceId& aInstance) const
{
  const auto found = this->loads.find(aInstance);
  return found == this->loads.end() ? nullptr : &found->second;
}

const PoolLoad&
InstanceLoads::PoolOf(const PoolId& aPool) const
{
  static const PoolLoad kNoLoad;
  const auto found = this->pools.find(aPool);
  return found == this->pools.end() ? kNoLoad : found->second;
}

std::uint32_t
InstanceLoads::TasksIn(const TeamId& aTeam, const RackId& aRack) const
{
  const auto found = this->rackTasks.find(std::pair(aTeam, aRack));
  return found == this->rackTasks.end()
           ? 0
           : static_cast<std::uint32_t>(found->second);
}

std::uint32_t
InstanceLoads::TasksIn(const TeamId& aTeam,
                       const DataCentreId& aDataCentre) const
{
  const auto found = this->dataCentreTasks.find(std::pair(aTeam, aDataCentre));
  return found == this->dataCentreTasks.end()
           ? 0
           : static_cast<std::uint32_t>(found->second);
}

const state::Resources&
InstanceLoads::Capacity() const
{
  return this->capacity;
}

std::uint64_t
InstanceLoads::Slots() const
{
  return this->slots;
}

} // namespace hyssoppaddle::planner
