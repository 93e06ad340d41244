// Splits the slots of full pools by share between the teams that compete for
// them. Slots that one team does not demand are lent to the others.
#ifndef hyssoppaddle_planner_ShareCaps_h
#define hyssoppaddle_planner_ShareCaps_h

#include "planner/Context.h"
#include "planner/PoolDemand.h"

#include <cstdint>
#include <vector>

namespace hyssoppaddle::planner {

struct Claimant
{
  double share = 1;
  double demand = 0;
  double slots = 0; // result
  bool capped = false;
};

// Weighted max-min fairness: no claimant gets more than its demand, and the
// remaining slots are divided among the others by share. `capped` marks
// claimants that got less than their demand.
void
FillByShare(double aSlots, std::vector<Claimant>& aClaimants);

class ShareCaps
{
public:
  ShareCaps(const PoolDemand& aDemand,
            const InstanceLoads& aLoads,
            const JobTracker& aJobs,
            PermitAllocator& aPermits);

  void Clear() { this->nextAt = {}; }
  // Recomputes the caps once a second.
  void OnTick(const Context& aContext);

private:
  void CapGroup(const Context& aContext, const PoolDemand::Group& aGroup);

  const PoolDemand& demand;
  const InstanceLoads& loads;
  const JobTracker& jobs;
  PermitAllocator& permits;
  Time nextAt{};
};

} // namespace hyssoppaddle::planner

#endif
