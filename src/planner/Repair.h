// Replaces lost instances by instances of the spare pool within the budgets.
// After repeated failures the replacement stops, and this is reported.
#ifndef hyssoppaddle_planner_Repair_h
#define hyssoppaddle_planner_Repair_h

#include "planner/Context.h"
#include "planner/DomainHistory.h"
#include "planner/PoolBalancer.h"
#include "planner/Transfers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hyssoppaddle::planner {

class Repair
{
public:
  Repair(const DomainHistory& aHistory,
         const PoolBalancer& aBalancer,
         Transfers& aTransfers);

  void Clear();
  void OnTick(Context& aContext);
  // Returns an empty string when the instance is not being replaced.
  [[nodiscard]] std::string Explain(const InstanceId& aInstance) const;

private:
  struct Case
  {
    std::optional<InstanceId> replacement;
    bool arrived = false;
    bool stopped = false;
  };

  void Attempt(Context& aContext, const InstanceId& aInstance);
  void UpdateCase(Context& aContext, const InstanceId& aInstance, Case& aCase);
  [[nodiscard]] std::size_t Failures(const Context& aContext,
                                     const InstanceId& aInstance);
  void StopCase(Context& aContext, const InstanceId& aInstance, Case& aCase);

  const DomainHistory& history;
  const PoolBalancer& balancer;
  Transfers& transfers;
  std::map<InstanceId, Case> cases;
  std::map<InstanceId, std::set<Time>> failures; // times of failed replacements
  InstanceId cursor;
};

} // namespace hyssoppaddle::planner

#endif
