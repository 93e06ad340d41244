// What the instances that may serve a service could hold if nothing ran on
// them.
//
// Load pattern: jobs that no pool can ever run, such as a gang of more tasks
// than the whole fleet has room for. They wait, since instances can be added,
// but they cost no search, keep no caller away and move no instance.
#ifndef hyssoppaddle_dispatch_FleetCapacity_h
#define hyssoppaddle_dispatch_FleetCapacity_h

#include "work/Job.h"

#include <vector>

namespace hyssoppaddle::dispatch {

class FleetCapacity
{
public:
  // aInstances are the capacities of all instances that may serve the service.
  explicit FleetCapacity(std::vector<state::Resources> aInstances);

  // Number of tasks of the step that fit at the same time, at most aMost. Looks
  // at resources and at the limit for one upstream only: labels and the answers
  // of an advisor can differ after a restart.
  [[nodiscard]] std::uint32_t Count(const work::Step& aStep,
                                    std::uint32_t aMost) const;
  // True when one task of the step, or all tasks of a gang together, cannot
  // run. False as long as no instance is known.
  [[nodiscard]] bool IsImpossible(const work::Step& aStep) const;

private:
  std::vector<state::Resources> instances;
  // The largest amount of each resource on one instance. A step that exceeds it
  // needs no look at the instances.
  state::Resources largest;
  state::Resources total;
};

// Number of tasks of the step that have to run at the same time.
[[nodiscard]] std::uint32_t
TasksTogether(const work::Step& aStep);

} // namespace hyssoppaddle::dispatch

#endif
