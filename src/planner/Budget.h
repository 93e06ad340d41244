// Applies availability budgets before the state machine does: counts planned
// stops that are proposed but not yet applied, and keeps a reserve of instances
// after a repair.
#ifndef hyssoppaddle_planner_Budget_h
#define hyssoppaddle_planner_Budget_h

#include "planner/Context.h"
#include "planner/DomainHistory.h"

#include <cstdint>
#include <map>
#include <string>

namespace hyssoppaddle::planner {

class Budget
{
public:
  explicit Budget(const DomainHistory& aHistory);

  void Clear();
  // Returns an empty string when the pool can spare one more serving instance,
  // otherwise the reason why it cannot.
  [[nodiscard]] std::string DescribeShortage(const Context& aContext,
                                             const PoolId& aPool) const;
  // Number of serving instances above min_available, the reserve and the stops
  // already proposed.
  [[nodiscard]] std::uint32_t SpareInstances(const Context& aContext,
                                             const PoolId& aPool) const;

  // Proposes the transition from Serving to Draining if the budget allows it.
  // Returns false otherwise.
  bool ProposeDrain(Context& aContext,
                    const InstanceId& aInstance,
                    state::StopPurpose aPurpose,
                    const std::string& aReason);
  void OnInstance(const state::FleetState& aState, const InstanceId& aInstance);
  void OnRefused(const InstanceId& aInstance);
  void OnTick(Time aNow);

private:
  struct PendingStop
  {
    PoolId pool;
    Time timeoutAt{};
  };

  [[nodiscard]] std::uint32_t RepairReserve(const Context& aContext,
                                            const PoolId& aPool) const;
  void RemovePendingStop(const InstanceId& aInstance);

  const DomainHistory& history;
  std::map<InstanceId, PendingStop> pendingStops;
  std::map<PoolId, std::uint32_t> pendingStopsInPool;
};

} // namespace hyssoppaddle::planner

#endif
