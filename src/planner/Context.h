// What every unit of the planner sees during one step: the replicated state,
// the time, the effects so far and the decisions still allowed.
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
  WallTime wall;
  Effects& effects;
  std::size_t left; // decisions allowed in the rest of this step

  // Spends one decision; false when the step has used its bound.
  bool Take()
  {
    if (this->left == 0) {
      return false;
    }
    --this->left;
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
