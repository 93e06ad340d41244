// Owner of the fleet instances: their pool, phase and the wishes about them.
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
  // Follows aBundle, the successor of aOld: adds instances, retires those it no
  // longer lists and records changed pools as wishes. Returns the instances
  // that left at once.
  std::vector<InstanceId> Reconcile(const Bundle& aOld,
                                    const Bundle& aBundle,
                                    Context& aContext);

  // aBoot is the last announced boot ID of the instance.
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

  // aIsNewBoot: the announcement names another boot than the one before it.
  void OnAnnouncement(const Announcement& aAnnouncement,
                      bool aIsNewBoot,
                      Context& aContext);
  void OnSilent(const InstanceId& aInstance, Context& aContext);

  [[nodiscard]] const InstanceRecord* Find(const InstanceId& aInstance) const;
  [[nodiscard]] const std::map<InstanceId, InstanceRecord>& Records() const
  {
    return this->records.Records();
  }
  [[nodiscard]] const std::set<InstanceId>& Of(const PoolId& aPool) const;
  [[nodiscard]] std::uint32_t AvailableIn(const PoolId& aPool) const;
  void Load(std::map<InstanceId, InstanceRecord> aRecords);

private:
  using Entry = RecordMap<InstanceId, InstanceRecord>::Entry;

  void AddListed(const InstanceSpec& aSpec,
                 const PoolId& aPool,
                 Context& aContext);
  void UpdateListed(Entry aEntry,
                    const InstanceSpec& aSpec,
                    const PoolId& aPool,
                    Context& aContext);
  // Refuses a planned stop that the budget of the pool does not allow.
  [[nodiscard]] Outcome CheckBudget(const InstanceRecord& aRecord,
                                    const SetInstancePhase& aCommand,
                                    const BundleTable& aBundles) const;
  void SetPhase(Entry aEntry,
                InstancePhase aPhase,
                StopPurpose aPurpose,
                const std::string& aReason,
                Context& aContext);
  // A retired instance leaves the table once it is out of service.
  void DropIfRetired(Entry aEntry);
  void SetPool(Entry aEntry, const PoolId& aPool);
  void AddToIndexes(Entry aEntry);
  void RemoveFromIndexes(Entry aEntry);

  RecordMap<InstanceId, InstanceRecord> records;
  std::map<PoolId, std::set<InstanceId>> byPool;
  std::map<PoolId, std::uint32_t> available; // in phase Serving
};

} // namespace hyssoppaddle::state

#endif
