// Replaces lost instances from the spare pool within the budgets. Repeated
// failures stop the replacement and are reported.
#ifndef hyssoppaddle_planner_Repair_h
#define hyssoppaddle_planner_Repair_h

#include "planner/Context.h"
#include "planner/DomainHistory.h"
#include "planner/Moves.h"
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
         const Moves& aMoves,
         Transfers& aTransfers);

  void Clear();
  void OnTick(Context& aContext);
  // Empty when the instance is not being replaced.
  [[nodiscard]] std::string Explain(const InstanceId& aInstance) const;

private:
  struct Case
  {
    std::optional<InstanceId> replacement;
    bool arrived = false;
    bool stopped = false;
  };

  void Attempt(Context& aContext, const InstanceId& aInstance);
  void Follow(Context& aContext, const InstanceId& aInstance, Case& aCase);
  [[nodiscard]] std::size_t Failures(const Context& aContext,
                                     const InstanceId& aInstance);
  void Stop(Context& aContext, const InstanceId& aInstance, Case& aCase);

  const DomainHistory& history;
  const Moves& moves;
  Transfers& transfers;
  std::map<InstanceId, Case> cases;
  std::map<InstanceId, std::set<Time>> failures; // of replacements
  InstanceId cursor;
};

} // namespace hyssoppaddle::planner

#endif
