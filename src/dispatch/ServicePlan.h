// The part of one pass over the waiting jobs that concerns a service.
#ifndef hyssoppaddle_dispatch_ServicePlan_h
#define hyssoppaddle_dispatch_ServicePlan_h

#include "dispatch/PlanPass.h"
#include "dispatch/PlanRound.h"
#include "dispatch/WorkRank.h"

#include <optional>
#include <vector>

namespace hyssoppaddle::dispatch {

struct RankedJob
{
  WorkRank rank;
  JobView* view = nullptr;
};

struct ServicePlan
{
  explicit ServicePlan(ServiceId aService)
    : service(std::move(aService))
  {
  }

  ServiceId service;
  PlanRound round;
  std::optional<PlanPass> pass;   // none before the service is looked at
  std::vector<RankedJob> waiting; // the best rank first
  std::size_t next = 0;           // index in `waiting`
  bool isEnded = false;
  bool isInterrupted = false; // the next pass goes on with the round
  bool isHeldBack = false;    // jobs were passed over for lack of starts
};

} // namespace hyssoppaddle::dispatch

#endif
