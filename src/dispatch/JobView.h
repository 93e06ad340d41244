// What the leader derives from a job in order to schedule it.
#ifndef hyssoppaddle_dispatch_JobView_h
#define hyssoppaddle_dispatch_JobView_h

#include "dispatch/RunObservation.h"
#include "dispatch/StepTimes.h"

#include <vector>

namespace hyssoppaddle::dispatch {

// Tasks of one step in one occurrence that wait for an upstream. What is true
// of one of them is true of all, so that a step of many tasks costs no more
// than a step of few until they are placed.
struct WaitingStep
{
  // Second runs of tasks that have one come after all others.
  bool isSecond = false;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> indexes{}; // of the tasks, ascending, never empty

  [[nodiscard]] work::TaskRef Ref(const JobId& aJob, std::uint32_t aIndex) const
  {
    return { aJob, this->occurrence, this->step, aIndex };
  }
  [[nodiscard]] work::TaskRef First(const JobId& aJob) const
  {
    return this->Ref(aJob, this->indexes.front());
  }
  [[nodiscard]] bool IsSameStep(const WaitingStep& aOther) const
  {
    return this->occurrence == aOther.occurrence && this->step == aOther.step;
  }
  [[nodiscard]] std::uint32_t Count() const
  {
    return static_cast<std::uint32_t>(this->indexes.size());
  }
};

// Steps of a job, by their number, that the whole fleet or the limit of the
// workspace could not hold.
using ImpossibleSteps = std::vector<bool>;

struct JobView
{
  JobId id;
  work::QueueId queue;
  ServiceId service;
  WorkspaceId workspace;
  bool hasQueue = false; // false when the current setup has no such queue
  bool needsAdvice = false;
  std::uint32_t priority = 0;
  bool longRunning = false;
  bool started = false;
  // Tasks of open steps that have no run, in the order of their steps.
  std::vector<WaitingStep> waiting;
  ImpossibleSteps impossible;
  // Due time of the next occurrence that is not due yet.
  WallTime nextDue = WallTime::max();
  // Core-milliseconds of work not done yet, by measured times of steps or their
  // declared estimates.
  double remainingWork = 0;
  // The part of it that does not wait for an impossible step. The rest keeps no
  // other job waiting.
  double possibleWork = 0;
  Duration remainingChain{ 0 }; // critical path of the remaining steps
  WallTime objective{};         // full value until then
  WallTime latest{};            // no value after this

  [[nodiscard]] bool IsImpossible(const WaitingStep& aStep) const
  {
    return this->impossible[aStep.step];
  }
  [[nodiscard]] bool HasImpossibleSteps() const;
  [[nodiscard]] std::size_t CountWaiting() const;
};

// aQueue may be null when a newer setup no longer contains it. Times that are
// known from aMeasured, if it is not null, take the place of declared ones.
// aImpossible may be empty when there is no impossible step.
JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow,
         const StepTimes* aMeasured = nullptr,
         ImpossibleSteps aImpossible = {});

} // namespace hyssoppaddle::dispatch

#endif
