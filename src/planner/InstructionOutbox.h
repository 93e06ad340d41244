// Instructions to upstreams that the replicated state does not yet show as
// carried out. They are sent again with increasing delay until it does.
#ifndef hyssoppaddle_planner_InstructionOutbox_h
#define hyssoppaddle_planner_InstructionOutbox_h

#include "planner/Context.h"

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace hyssoppaddle::planner {

class InstructionOutbox
{
public:
  void Clear();
  // Replaces the pending instruction about the job or, without a job, the one
  // to the instance itself. An equal instruction keeps its resend time.
  void KeepSending(const Instruction& aInstruction, Time aNow);
  void StopSending(const InstanceId& aInstance, const JobId& aJob);
  void SendDue(Context& aContext);

  [[nodiscard]] std::vector<Instruction> PendingFor(
    const InstanceId& aInstance) const;

private:
  struct PendingInstruction
  {
    Instruction instruction;
    Time dueAt{};
    Duration resendDelay{ 0 };
  };

  std::map<InstanceId, std::map<JobId, PendingInstruction>> pendingByInstance;
  std::set<std::tuple<Time, InstanceId, JobId>> due;
};

} // namespace hyssoppaddle::planner

#endif
