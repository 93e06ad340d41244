// Updates the instance table to a newly accepted bundle. A new instance is
// added to the pool that lists it. A changed pool of a known instance is
// recorded only as a requested move, because the instance must drain before it
// moves.
#include "state/InstanceTable.h"

#include <utility>

namespace hyssoppaddle::state {

std::vector<InstanceId>
InstanceTable::Reconcile(const Bundle& aOld,
                         const Bundle& aBundle,
                         Context& aContext)
{
  // Most bundles change only teams or limits.
  if (aOld.pools == aBundle.pools) {
    return {};
  }
  std::set<InstanceId> listed;
  for (const PoolSpec& pool : aBundle.pools) {
    for (const InstanceSpec& spec : pool.instances) {
      listed.insert(spec.name);
      const Entry known = this->records.FindEntry(spec.name);
      if (known == this->records.End()) {
        this->AddFromSpec(spec, pool.name, aContext);
      } else {
        this->UpdateFromSpec(known, spec, pool.name, aContext);
      }
    }
  }
  std::vector<InstanceId> left;
  for (Entry entry = this->records.Begin(); entry != this->records.End();) {
    const Entry current = entry++;
    if (listed.contains(current->first) || current->second.retired) {
      continue;
    }
    const InstanceId instance = current->first;
    aContext.changes.instances.push_back(instance);
    current->second.retired = true;
    this->DropIfRetired(current);
    if (this->records.Find(instance) == nullptr) {
      left.push_back(instance);
    }
  }
  return left;
}

void
InstanceTable::AddFromSpec(const InstanceSpec& aSpec,
                           const PoolId& aPool,
                           Context& aContext)
{
  InstanceRecord record;
  record.pool = aPool;
  record.homePool = aPool;
  record.dataCentre = aSpec.dataCentre;
  record.rack = aSpec.rack;
  record.capacity = aSpec.capacity;
  record.since = aContext.now;
  record.lastMaintainedAt = aContext.now;
  this->AddToIndexes(this->records.Add(aSpec.name, std::move(record)));
  aContext.changes.instances.push_back(aSpec.name);
}

void
InstanceTable::UpdateFromSpec(Entry aEntry,
                              const InstanceSpec& aSpec,
                              const PoolId& aPool,
                              Context& aContext)
{
  InstanceRecord& record = aEntry->second;
  const InstanceRecord before = record;
  record.dataCentre = aSpec.dataCentre;
  record.rack = aSpec.rack;
  record.capacity = aSpec.capacity;
  record.retired = false;
  if (record.homePool != aPool) {
    record.homePool = aPool;
    const bool isInListedPool = record.pool == aPool;
    if (!isInListedPool) {
      record.requested = InstanceAction::Move;
      record.requestedPool = aPool;
    } else if (record.requested == InstanceAction::Move) {
      record.requested.reset();
      record.requestedPool = PoolId();
    }
  }
  if (!(record == before)) {
    aContext.changes.instances.push_back(aEntry->first);
  }
}

} // namespace hyssoppaddle::state
