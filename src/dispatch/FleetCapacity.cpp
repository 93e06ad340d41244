// Adds up the room on empty instances.
#include "dispatch/FleetCapacity.h"

#include "dispatch/Placement.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

FleetCapacity::FleetCapacity(std::vector<state::Resources> aInstances)
  : instances(std::move(aInstances))
{
  for (const state::Resources& each : this->instances) {
    this->total += each;
    this->largest.milliCpus = std::max(this->largest.milliCpus, each.milliCpus);
    this->largest.memoryMb = std::max(this->largest.memoryMb, each.memoryMb);
    this->largest.accelerators =
      std::max(this->largest.accelerators, each.accelerators);
  }
}

std::uint32_t
FleetCapacity::Count(const work::Step& aStep, std::uint32_t aMost) const
{
  const state::Resources size = SizeInRoom(aStep);
  std::uint32_t count = 0;
  if (!size.FitsInto(this->largest)) {
    return count;
  }
  for (const state::Resources& each : this->instances) {
    std::uint32_t most = aMost - count;
    if (aStep.maxPerUpstream > 0) {
      most = std::min(most, aStep.maxPerUpstream);
    }
    count += size.CountInto(each, most);
    if (count == aMost) {
      break;
    }
  }
  return count;
}

bool
FleetCapacity::IsImpossible(const work::Step& aStep) const
{
  const std::uint32_t needed = TasksTogether(aStep);
  if (this->instances.empty()) {
    return false;
  }
  return SizeInRoom(aStep).CountInto(this->total, needed) < needed ||
         this->Count(aStep, needed) < needed;
}

std::uint32_t
TasksTogether(const work::Step& aStep)
{
  return aStep.gang ? aStep.count : 1;
}

} // namespace hyssoppaddle::dispatch
