// Slots that commands which are proposed but not yet applied will take from the
// limit of a team. Permits and placements share the reservations, so that
// neither proposes what the state machine would refuse.
#ifndef hyssoppaddle_planner_Reservations_h
#define hyssoppaddle_planner_Reservations_h

#include "base/Id.h"

#include <cstdint>
#include <map>

namespace hyssoppaddle::state {
class FleetState;
}

namespace hyssoppaddle::planner {

class Reservations
{
public:
  void Clear() { this->slots.clear(); }
  void Add(const TeamId& aTeam, std::uint32_t aSlots);
  void Remove(const TeamId& aTeam, std::uint32_t aSlots);
  [[nodiscard]] std::uint32_t ReservedFor(const TeamId& aTeam) const;

  // Number of slots of the team's limit that are neither committed nor
  // reserved.
  [[nodiscard]] std::uint32_t FreeSlots(const state::FleetState& aState,
                                        const TeamId& aTeam) const;

private:
  std::map<TeamId, std::uint32_t> slots;
};

} // namespace hyssoppaddle::planner

#endif
