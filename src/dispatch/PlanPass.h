// State of one pass over the waiting tasks of a service.
//
// Load pattern: at a peak hundreds of tasks wait for a full pool. A task that
// needs at least as much as one that found no room is not tried again in the
// same pass.
#ifndef hyssoppaddle_dispatch_PlanPass_h
#define hyssoppaddle_dispatch_PlanPass_h

#include "dispatch/Placement.h"

#include <vector>

namespace hyssoppaddle::dispatch {

struct PlanPass
{
  // Usable upstreams of the service. Starts that are proposed during the pass
  // reduce their room but do not change which of them are usable.
  std::vector<Candidate> candidates;
  // Sizes that fit no candidate, of steps without constraints of their own.
  std::vector<state::Resources> unplaceable;

  // True when the step is certain to find no upstream: its constraints can only
  // exclude further candidates.
  [[nodiscard]] bool IsUnplaceable(const work::Step& aStep) const;
  // Records that the step found no upstream.
  void RecordMiss(const work::Step& aStep);
};

} // namespace hyssoppaddle::dispatch

#endif
