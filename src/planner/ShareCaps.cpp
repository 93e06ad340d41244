// Weighted max-min fair split of full pools.
#include "planner/ShareCaps.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::planner {

namespace {

constexpr Duration kUpdateInterval{ std::chrono::seconds(1) };

} // namespace

void
FillByShare(double aSlots, std::vector<Claimant>& aClaimants)
{
  double left = aSlots;
  double shares = 0;
  std::vector<Claimant*> byDemand;
  for (Claimant& claimant : aClaimants) {
    byDemand.push_back(&claimant);
    shares += claimant.share;
  }
  const auto demandsLessPerShare = [](const Claimant* aLeft,
                                      const Claimant* aRight) {
    return aLeft->demand * aRight->share < aRight->demand * aLeft->share;
  };
  std::sort(byDemand.begin(), byDemand.end(), demandsLessPerShare);
  for (Claimant* claimant : byDemand) {
    const double part = shares > 0 ? left * claimant->share / shares : 0;
    claimant->capped = claimant->demand > part;
    claimant->slots = std::min(claimant->demand, part);
    left -= claimant->slots;
    shares -= claimant->share;
  }
}

ShareCaps::ShareCaps(const PoolDemand& aDemand,
                     const InstanceLoads& aLoads,
                     const JobTracker& aJobs,
                     PermitAllocator& aPermits)
  : demand(aDemand)
  , loads(aLoads)
  , jobs(aJobs)
  , permits(aPermits)
{
}

void
ShareCaps::OnTick(const Context& aContext)
{
  if (aContext.now < this->nextAt) {
    return;
  }
  this->nextAt = aContext.now + kUpdateInterval;
  this->permits.ClearCaps();
  for (const PoolDemand::Group& group : this->demand.Groups()) {
    if (group.teams.size() > 1) {
      this->CapGroup(aContext, group);
    }
  }
}

void
ShareCaps::CapGroup(const Context& aContext, const PoolDemand::Group& aGroup)
{
  double slots = 0;
  for (const PoolId& pool : aGroup.pools) {
    slots += static_cast<double>(this->loads.PoolOf(pool).slots);
  }
  std::vector<Claimant> claimants;
  double totalDemand = 0;
  int competing = 0;
  for (const TeamId& team : aGroup.teams) {
    const state::TeamSpec* spec = aContext.state.FindTeam(team);
    Claimant claimant;
    claimant.share = spec == nullptr ? 1 : spec->share;
    const double limit = spec == nullptr ? 0 : spec->limit;
    claimant.demand =
      std::min(limit, static_cast<double>(this->demand.TeamSlots(team)));
    totalDemand += claimant.demand;
    competing += claimant.demand > 0 ? 1 : 0;
    claimants.push_back(claimant);
  }
  if (competing < 2 || totalDemand <= slots) {
    return;
  }
  FillByShare(slots, claimants);
  for (std::size_t index = 0; index < claimants.size(); ++index) {
    if (!claimants[index].capped) {
      continue;
    }
    const auto cap =
      static_cast<std::uint32_t>(std::ceil(claimants[index].slots));
    const std::uint32_t tasks = this->jobs.LiveSlots(aGroup.teams[index]);
    this->permits.SetCap(aGroup.teams[index],
                         std::max(1U, cap > tasks ? cap - tasks : 0U));
  }
}

} // namespace hyssoppaddle::planner
