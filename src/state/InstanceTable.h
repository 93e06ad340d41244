// Stores the instances of the fleet: their pools, phases and requested actions.
#ifndef hyssoppaddle_state_InstanceTable_h
#define hyssoppaddle_state_InstanceTable_h

#include "state/BundleTable.h"
#include "state/Context.h"
#include "state/RecordMap.h"
#include "state/Records.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::state {

class InstanceTable
{
public:
  // Updates the table to aBundle, which replaces aOld: adds new instances,
  // retires instances that are no longer listed, and records changed pools as
  // requested moves. Returns the instances that were removed immediately.
  std::vector<InstanceId> Reconcile(const Bundle& aOld,
                                    const Bundle& aBundle,
                                    Context& aContext);

  // aBoot is the boot ID of the instance's last announcement.
  Outcome SetPhase(const SetInstancePhase& aCommand,
                   const BundleTable& aBundles,
                   const std::string& aBoot,
                   Context& aContext);
  Outcome Move(const MoveInstance& aCommand,
               const BundleTable& aBundles,
               Context& aContext);
  Outcome Request(const RequestInstanceAction& aCommand,
                  const BundleTable& aBundles,
                  Context& aContext);

  // aIsNewBoot is true if the boot ID differs from the previous announcement.
  void OnAnnouncement(const Announcement& aAnnouncement,
                      bool aIsNewBoot,
                      Context& aContext);
  void OnSilent(const InstanceId& aInstance, Context& aContext);

  [[nodiscard]] const InstanceRecord* Find(const InstanceId& aInstance) const;
  [[nodiscard]] const std::map<InstanceId, InstanceRecord>& Records() const
  {
    return this->records.Records();
  }
  [[nodiscard]] const std::set<InstanceId>& InPool(const PoolId& aPool) const;
  [[nodiscard]] std::uint32_t AvailableIn(const PoolId& aPool) const;
  void Load(std::map<InstanceId, InstanceRecord> aRecords);

private:
  using Entry = RecordMap<InstanceId, InstanceRecord>::Entry;

  void AddFromSpec(const InstanceSpec& aSpec,
                   const PoolId& aPool,
                   Context& aContext);
  void UpdateFromSpec(Entry aEntry,
                      const InstanceSpec& aSpec,
                      const PoolId& aPool,
                      Context& aContext);
  // Refuses a phase change that would leave fewer serving instances in the pool
  // than its min_available budget.
  [[nodiscard]] Outcome CheckBudget(const InstanceRecord& aRecord,
                                    const SetInstancePhase& aCommand,
                                    const BundleTable& aBundles) const;
  void SetPhase(Entry aEntry,
                InstancePhase aPhase,
                StopPurpose aPurpose,
                const std::string& aReason,
                Context& aContext);
  // Removes a retired instance once it is out of service.
  void DropIfRetired(Entry aEntry);
  void SetPool(Entry aEntry, const PoolId& aPool);
  void AddToIndexes(Entry aEntry);
  void RemoveFromIndexes(Entry aEntry);

  RecordMap<InstanceId, InstanceRecord> records;
  std::map<PoolId, std::set<InstanceId>> byPool;
  std::map<PoolId, std::uint32_t> available; // instances in phase Serving
};

} // namespace hyssoppaddle::state

#endif
