// What the leader derives from a job to order its work.
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
  std::uint32_t priority = 0;
  bool longRunning = false;
  bool started = false;
  std::vector<work::TaskRef> pending; // of open steps, without a run
  WallTime nextDue = WallTime::max(); // of a later occurrence
  // Core-milliseconds of work not yet done, by the declared estimates.
  double remainingWork = 0;
  Duration remainingChain{ 0 }; // longest path of open and later steps
  WallTime objective{};         // worth most before
  WallTime latest{};            // worth nothing after
};

// Longest path of estimates through the steps that are not done.
Duration
RemainingChain(const work::JobSpec& aSpec,
               const std::vector<std::vector<work::Task>>& aOccurrence);

// aQueue may be null when a newer setup has dropped it.
JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow);

} // namespace hyssoppaddle::dispatch

#endif
