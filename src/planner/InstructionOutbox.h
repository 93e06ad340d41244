// Instructions to upstreams that the replicated state does not yet show as
// carried out. They are sent again with increasing delay until it does.
//
// The leader counts the lease of a task from its placement, the worker from the
// arrival of the start. A start that is resent therefore carries only the rest
// of its lease, and is no longer sent when less than half is left.
#ifndef hyssoppaddle_planner_InstructionOutbox_h
#define hyssoppaddle_planner_InstructionOutbox_h

#include "planner/Context.h"

#include <map>
#include <optional>
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

  [[nodiscard]] std::vector<Instruction> PendingFor(const InstanceId& aInstance,
                                                    Time aNow) const;

private:
  struct PendingInstruction
  {
    Instruction instruction; // with the whole lease
    Time since{};            // the lease counts from here
    Time dueAt{};
    Duration resendDelay{ 0 };
  };

  // The instruction as it may be sent now, if it may be.
  [[nodiscard]] static std::optional<Instruction> SendableAt(
    const PendingInstruction& aPending,
    Time aNow);

  std::map<InstanceId, std::map<JobId, PendingInstruction>> pendingByInstance;
  std::set<std::tuple<Time, InstanceId, JobId>> due;
};

} // namespace hyssoppaddle::planner

#endif
