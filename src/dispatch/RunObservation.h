// What one run has shown about the time that tasks of its kind take. The
// modules that learn from runs share these observations.
#ifndef hyssoppaddle_dispatch_RunObservation_h
#define hyssoppaddle_dispatch_RunObservation_h

#include "work/Job.h"

#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

struct RunObservation
{
  std::string kind; // see KindOf
  InstanceId upstream;
  work::TaskRef task;
  Duration elapsed{ 0 }; // at work, by the clock of the leader
  // Part of the task's work that was done in that time, in (0, 1]. Less than 1
  // for runs that continue from a checkpoint.
  double fraction = 1.0;
  Duration declared{ 0 }; // estimate for the whole task
  std::int64_t milliCpus = 0;
  // Kinds of the other runs that were on the upstream for at least the second
  // half of that time, sorted and without repetition.
  std::vector<std::string> neighbours;
};

// Tasks of one kind behave alike: those of the same image, or else those of the
// same step of jobs of the same queue.
std::string
KindOf(const work::QueueId& aQueue,
       const work::Step& aStep,
       std::uint32_t aStepNumber);

// The declared estimate, or a default where there is none.
Duration
DeclaredTime(const work::Step& aStep);

} // namespace hyssoppaddle::dispatch

#endif
