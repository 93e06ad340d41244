// The allowed transitions between the phases of an instance.
#ifndef hyssoppaddle_state_PhaseRules_h
#define hyssoppaddle_state_PhaseRules_h

#include "state/Commands.h"

#include <optional>
#include <string_view>

namespace hyssoppaddle::state {

// Returns true if SetInstancePhase may change aFrom to aTo. Budgets are not
// checked here.
bool
IsAllowedTransition(InstancePhase aFrom, InstancePhase aTo);

// Returns the phase after a Serving announcement, or nullopt if the phase does
// not change.
std::optional<InstancePhase>
PhaseAfterServing(InstancePhase aPhase, StopPurpose aPurpose, bool aIsNewBoot);

// Returns true if an instance in this phase becomes Lost when its upstream
// falls silent. A stopped or rebooting upstream is expected to be silent.
bool
IsLostWhenSilent(InstancePhase aPhase);

std::string_view
ToString(InstancePhase aPhase);

} // namespace hyssoppaddle::state

#endif
