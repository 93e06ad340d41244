// What the leader derives from a job in order to schedule it.
#ifndef hyssoppaddle_dispatch_JobView_h
#define hyssoppaddle_dispatch_JobView_h

#include "work/Job.h"

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
  // Core-milliseconds of work not done yet, from the declared estimates.
  double remainingWork = 0;
  double unstartedWork = 0; // the part of it whose tasks have no run
  double totalWork = 0;     // of the occurrences that are due
  // Of the recent jobs of the queue when the view was made; 0: unknown.
  double meanWork = 0;
  bool isLent = false;          // beyond the rate that its workspace is owed
  Duration remainingChain{ 0 }; // critical path of the remaining steps
  WallTime objective{};         // full value until then
  WallTime latest{};            // no value after this
};

// Critical path through the steps that are not done, by their estimates.
Duration
RemainingChain(const work::JobSpec& aSpec,
               const std::vector<std::vector<work::Task>>& aOccurrence);

// The view of a job that is not accepted yet.
JobView
MakeOfferView(const JobId& aId,
              const WorkspaceId& aWorkspace,
              const work::Queue& aQueue,
              const work::JobSpec& aSpec,
              WallTime aNow);

// aQueue may be null when a newer setup no longer contains it.
JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow);

} // namespace hyssoppaddle::dispatch

#endif
