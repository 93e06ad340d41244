// State of one pass over the waiting tasks of a service.
//
// Load pattern: at a peak hundreds of tasks wait for a full pool. A pass
// searches the upstreams only for tasks that may fit, so that each of the
// others costs a comparison.
#ifndef hyssoppaddle_dispatch_PlanPass_h
#define hyssoppaddle_dispatch_PlanPass_h

#include "dispatch/Placement.h"

#include <span>
#include <utility>
#include <vector>

namespace hyssoppaddle::dispatch {

class PlanPass
{
public:
  // aCandidates are the usable upstreams of the service. Starts that are
  // proposed during the pass reduce their room but do not change which of them
  // are usable.
  explicit PlanPass(std::vector<Candidate> aCandidates);

  [[nodiscard]] std::span<const Candidate> Candidates() const
  {
    return this->candidates;
  }
  // True when the step is certain to find no upstream: its constraints can only
  // exclude further candidates.
  [[nodiscard]] bool IsUnplaceable(const work::Step& aStep) const;
  // The same for all members of a gang together.
  [[nodiscard]] bool IsGangUnplaceable(const work::Step& aStep) const;
  // True when the candidates would take a task of the step, or all tasks of a
  // gang, if they were empty.
  [[nodiscard]] bool FitsIntoEmpty(const work::Step& aStep) const;
  // Records that the step found no upstream.
  void RecordMiss(const work::Step& aStep);
  void RecordGangMiss(const work::Step& aStep);

private:
  // What the searches of the pass have shown not to fit. Holds as long as no
  // candidate gains room.
  struct Misses
  {
    // At least the free resources of each candidate.
    state::Resources mostFree;
    // Sizes that fit no candidate, of steps without constraints of their own.
    std::vector<state::Resources> sizes;
    // The same for steps whose members start together, with their numbers.
    std::vector<std::pair<state::Resources, std::uint32_t>> gangs;
  };

  void MeasureRoom();

  std::vector<Candidate> candidates;
  Misses misses;
};

} // namespace hyssoppaddle::dispatch

#endif
