// What is left of the evacuation of a data centre, and what it costs.
//
// Load pattern: a third of the fleet may start nothing while queues peak in
// turn. Short tasks there end by themselves; long-running tasks move as other
// upstreams have room for them.
#ifndef hyssoppaddle_dispatch_DataCentreEvacuation_h
#define hyssoppaddle_dispatch_DataCentreEvacuation_h

#include "dispatch/Placement.h"
#include "work/WorkState.h"

#include <string>
#include <vector>

namespace hyssoppaddle::dispatch {

struct EvacuationProgress
{
  DataCentreId dataCentre;
  work::Evacuation order;
  std::size_t upstreams = 0;
  std::size_t tasks = 0;       // that end by themselves
  std::size_t longRunning = 0; // tasks that have to move
  // Until the last of `tasks` ends, by the estimates; 0 when they are overdue.
  Duration expectedEnd{ 0 };
};

// One entry for each data centre under evacuation, in the order of their names.
std::vector<EvacuationProgress>
MeasureEvacuations(const work::WorkState& aState,
                   const Sessions& aSessions,
                   Time aNow);

// The services that have upstreams, all of them in data centres under
// evacuation.
std::vector<ServiceId>
ServicesWithoutUpstreams(const Sessions& aSessions);

// The names of the services, separated by spaces.
std::string
Text(const std::vector<ServiceId>& aServices);

} // namespace hyssoppaddle::dispatch

#endif
