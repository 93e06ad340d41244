// Remembers the sizes that found no room in this pass.
#include "dispatch/PlanPass.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

bool
PlanPass::IsUnplaceable(const work::Step& aStep) const
{
  return !aStep.fills && std::any_of(this->unplaceable.begin(),
                                     this->unplaceable.end(),
                                     [&](const state::Resources& aSize) {
                                       return aSize.FitsInto(aStep.size);
                                     });
}

void
PlanPass::RecordMiss(const work::Step& aStep)
{
  const bool isConstrained =
    !aStep.requiredLabel.empty() || aStep.maxPerUpstream > 0 || aStep.fills;
  if (!isConstrained) {
    this->unplaceable.push_back(aStep.size);
  }
}

} // namespace hyssoppaddle::dispatch
