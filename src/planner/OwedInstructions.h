// Instructions that upstreams have not yet shown to have followed. They are
// sent again with a growing delay until the state shows the effect.
#ifndef hyssoppaddle_planner_OwedInstructions_h
#define hyssoppaddle_planner_OwedInstructions_h

#include "planner/Context.h"

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace hyssoppaddle::planner {

class OwedInstructions
{
public:
  void Clear();
  // Replaces what is owed about the job (or, without a job, to the instance
  // itself). An equal instruction keeps its resend time.
  void Owe(const Instruction& aInstruction, Time aNow);
  void Settle(const InstanceId& aInstance, const JobId& aJob);
  void SendDue(Context& aContext);

  [[nodiscard]] std::vector<Instruction> To(const InstanceId& aInstance) const;

private:
  struct Debt
  {
    Instruction instruction;
    Time dueAt{};
    Duration delay{ 0 };
  };

  std::map<InstanceId, std::map<JobId, Debt>> debts;
  std::set<std::tuple<Time, InstanceId, JobId>> due;
};

} // namespace hyssoppaddle::planner

#endif
