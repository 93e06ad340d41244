// State that every unit of the planner shares during one step: the replicated
// state, the time, the effects produced so far and the number of decisions that
// remain.
#ifndef hyssoppaddle_planner_Context_h
#define hyssoppaddle_planner_Context_h

#include "planner/Planner.h"

#include <cstddef>
#include <utility>

namespace hyssoppaddle::planner {

struct Context
{
  const state::FleetState& state;
  const PlannerOptions& options;
  Time now;
  WallTime wallNow;
  Effects& effects;
  std::size_t decisionsLeft; // in the rest of this step

  // Consumes one decision. Returns false when the step has used up its limit.
  bool TakeDecision()
  {
    if (this->decisionsLeft == 0) {
      return false;
    }
    --this->decisionsLeft;
    return true;
  }

  void Propose(state::CommandBody aBody) const
  {
    this->effects.emplace_back(ProposeCommand{ std::move(aBody) });
  }

  void Send(Instruction aInstruction) const
  {
    this->effects.emplace_back(SendInstruction{ std::move(aInstruction) });
  }

  void Log(LogDecision aLine) const
  {
    this->effects.emplace_back(std::move(aLine));
  }
};

} // namespace hyssoppaddle::planner

#endif
