// Explains the phase of an instance: why it is in this phase, what it waits
// for, and what allows it to continue.
#include "planner/Lifecycle.h"

#include "state/PhaseRules.h"

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

std::string
DrainWait(const Context& aContext,
          const InstanceId& aInstance,
          bool aHasDeparted)
{
  const std::size_t tasks = aContext.state.JobsOn(aInstance).size();
  if (!aHasDeparted) {
    return "it waits until its upstream announces its departure";
  }
  if (tasks > 0) {
    return "it waits for " + std::to_string(tasks) +
           " tasks to end or to checkpoint";
  }
  return "it waits until requests sent before its departure have ended";
}

} // namespace

std::vector<std::string>
Lifecycle::Explain(const Context& aContext, const InstanceId& aInstance) const
{
  const state::InstanceRecord& record =
    aContext.state.Instances().at(aInstance);
  std::vector<std::string> lines{
    "it is " + std::string(state::ToString(record.phase)) + " in pool " +
    record.pool.value + (record.reason.empty() ? "" : ": " + record.reason)
  };
  const auto found = this->progress.find(aInstance);
  switch (record.phase) {
    case Serving:
      if (record.requested.has_value() || record.retired) {
        const std::string why =
          this->budget.DescribeShortage(aContext, record.pool);
        lines.push_back(why.empty() ? "its stop was proposed"
                                    : "its stop waits: " + why);
        lines.emplace_back("it goes on when more instances of the pool serve");
      }
      break;
    case Draining:
      lines.push_back(DrainWait(aContext,
                                aInstance,
                                found != this->progress.end() &&
                                  found->second.departedAt.has_value()));
      lines.emplace_back("then it stops");
      break;
    case Stopped:
      if (record.purpose == state::StopPurpose::OperatorDrain) {
        lines.emplace_back("it goes on when an operator requests its return");
      }
      break;
    case Rebooting:
      lines.emplace_back("it goes on when its upstream announces a new boot");
      break;
    case Soaking:
      lines.emplace_back("it serves again when the soak time has passed");
      break;
    case Lost:
      lines.emplace_back("it goes on when its upstream announces itself");
      break;
    case Expected:
      lines.emplace_back("it serves when its upstream announces itself");
      break;
    case Moving:
      lines.emplace_back("it restarts in its new pool next");
      break;
  }
  return lines;
}

} // namespace hyssoppaddle::planner
