// Availability budgets ahead of the state machine: counts stops that are
// proposed but not applied, and keeps a reserve right after a repair.
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
  // Empty when the pool can spare one more serving instance; otherwise why not.
  [[nodiscard]] std::string WhyNot(const Context& aContext,
                                   const PoolId& aPool) const;
  // Serving instances above what the budget and the reserve need.
  [[nodiscard]] std::uint32_t Spare(const Context& aContext,
                                    const PoolId& aPool) const;

  // Proposes Serving to Draining when the budget allows; false otherwise.
  bool Drain(Context& aContext,
             const InstanceId& aInstance,
             state::StopPurpose aPurpose,
             const std::string& aReason);
  void OnInstance(const state::FleetState& aState, const InstanceId& aInstance);
  void OnRefused(const InstanceId& aInstance);
  void OnTick(Time aNow);

private:
  struct Stop
  {
    PoolId pool;
    Time until{};
  };

  [[nodiscard]] std::uint32_t Reserve(const Context& aContext,
                                      const PoolId& aPool) const;
  void Resolve(const InstanceId& aInstance);

  const DomainHistory& history;
  std::map<InstanceId, Stop> stops;
  std::map<PoolId, std::uint32_t> stopsIn;
};

} // namespace hyssoppaddle::planner

#endif
