// Counts the proposed slots per team.
#include "planner/Reservations.h"

#include "state/FleetState.h"

#include <algorithm>

namespace hyssoppaddle::planner {

void
Reservations::Add(const TeamId& aTeam, std::uint32_t aSlots)
{
  this->slots[aTeam] += aSlots;
}

void
Reservations::Remove(const TeamId& aTeam, std::uint32_t aSlots)
{
  const auto found = this->slots.find(aTeam);
  if (found == this->slots.end()) {
    return;
  }
  found->second -= std::min(found->second, aSlots);
  if (found->second == 0) {
    this->slots.erase(found);
  }
}

std::uint32_t
Reservations::ReservedFor(const TeamId& aTeam) const
{
  const auto found = this->slots.find(aTeam);
  return found == this->slots.end() ? 0 : found->second;
}

std::uint32_t
Reservations::FreeSlots(const state::FleetState& aState,
                        const TeamId& aTeam) const
{
  const state::TeamSpec* team = aState.FindTeam(aTeam);
  if (team == nullptr) {
    return 0;
  }
  const std::uint32_t taken =
    aState.CommittedSlots(aTeam) + this->ReservedFor(aTeam);
  return taken >= team->limit ? 0 : team->limit - taken;
}

} // namespace hyssoppaddle::planner
