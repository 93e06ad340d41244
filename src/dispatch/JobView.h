// What the leader derives from a job in order to schedule it.
#ifndef hyssoppaddle_dispatch_JobView_h
#define hyssoppaddle_dispatch_JobView_h

#include "dispatch/RunObservation.h"
#include "dispatch/StepTimes.h"

#include <vector>

namespace hyssoppaddle::dispatch {

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
  std::vector<work::TaskRef> pending; // tasks of open steps that have no run
  // Due time of the next occurrence that is not due yet.
  WallTime nextDue = WallTime::max();
  // Core-milliseconds of work not done yet, by measured times of steps or their
  // declared estimates.
  double remainingWork = 0;
  Duration remainingChain{ 0 }; // critical path of the remaining steps
  WallTime objective{};         // full value until then
  WallTime latest{};            // no value after this
};

// aQueue may be null when a newer setup no longer contains it. Times that are
// known from aMeasured, if it is not null, take the place of declared ones.
JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow,
         const StepTimes* aMeasured = nullptr);

} // namespace hyssoppaddle::dispatch

#endif
