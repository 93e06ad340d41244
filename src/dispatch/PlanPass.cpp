// Remembers what found no room in this pass.
#include "dispatch/PlanPass.h"

#include "dispatch/FleetCapacity.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Steps that use the room of an upstream like any other step of their size.
bool
IsUnconstrained(const work::Step& aStep)
{
  return aStep.requiredLabel.empty() && aStep.maxPerUpstream == 0 &&
         !aStep.fills;
}

} // namespace

PlanPass::PlanPass(std::vector<Candidate> aCandidates)
  : candidates(std::move(aCandidates))
{
  this->MeasureRoom();
}

void
PlanPass::MeasureRoom()
{
  state::Resources most;
  for (const Candidate& candidate : this->candidates) {
    const state::Resources free = candidate.session->Free();
    most.milliCpus = std::max(most.milliCpus, free.milliCpus);
    most.memoryMb = std::max(most.memoryMb, free.memoryMb);
    most.accelerators = std::max(most.accelerators, free.accelerators);
  }
  this->misses.mostFree = most;
}

bool
PlanPass::IsUnplaceable(const work::Step& aStep) const
{
  if (!SizeInRoom(aStep).FitsInto(this->misses.mostFree)) {
    return true;
  }
  return !aStep.fills && std::any_of(this->misses.sizes.begin(),
                                     this->misses.sizes.end(),
                                     [&](const state::Resources& aSize) {
                                       return aSize.FitsInto(aStep.size);
                                     });
}

bool
PlanPass::IsGangUnplaceable(const work::Step& aStep) const
{
  if (this->IsUnplaceable(aStep)) {
    return true;
  }
  return !aStep.fills &&
         std::any_of(this->misses.gangs.begin(),
                     this->misses.gangs.end(),
                     [&](const auto& aGang) {
                       return aGang.first.FitsInto(aStep.size) &&
                              aGang.second <= aStep.count;
                     });
}

bool
PlanPass::FitsIntoEmpty(const work::Step& aStep) const
{
  std::uint32_t left = TasksTogether(aStep);
  for (const Candidate& candidate : this->candidates) {
    const work::Upstream& record = candidate.session->record;
    if (aStep.requiredLabel.empty() || HasLabel(record, aStep.requiredLabel)) {
      left -= SizeInRoom(aStep).CountInto(record.capacity, left);
    }
    if (left == 0) {
      return true;
    }
  }
  return false;
}

void
PlanPass::RecordMiss(const work::Step& aStep)
{
  // A slow upstream may refuse a task and then take one of another kind.
  const bool anySlow = std::any_of(
    this->candidates.begin(),
    this->candidates.end(),
    [](const Candidate& aCandidate) { return aCandidate.session->isSlow; });
  if (IsUnconstrained(aStep) && !anySlow) {
    this->misses.sizes.push_back(aStep.size);
  }
  this->MeasureRoom();
}

void
PlanPass::RecordGangMiss(const work::Step& aStep)
{
  if (IsUnconstrained(aStep)) {
    this->misses.gangs.emplace_back(aStep.size, aStep.count);
  }
}

} // namespace hyssoppaddle::dispatch
