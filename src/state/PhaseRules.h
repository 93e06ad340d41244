// Which phase of an instance can follow which.
#ifndef hyssoppaddle_state_PhaseRules_h
#define hyssoppaddle_state_PhaseRules_h

#include "state/Commands.h"

#include <optional>
#include <string_view>

namespace hyssoppaddle::state {

// True when SetInstancePhase may lead from aFrom to aTo, budgets aside.
bool
CanFollow(InstancePhase aFrom, InstancePhase aTo);

// Phase after a Serving announcement; nothing when the phase stays.
std::optional<InstancePhase>
PhaseAfterServing(InstancePhase aPhase, StopPurpose aPurpose, bool aIsNewBoot);

// True when an upstream that falls silent in this phase makes the instance
// Lost. One that is stopped or reboots is expected to be silent.
bool
IsLostWhenSilent(InstancePhase aPhase);

std::string_view
ToString(InstancePhase aPhase);

} // namespace hyssoppaddle::state

#endif
