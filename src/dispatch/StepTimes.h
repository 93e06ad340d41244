// Measured run times of the steps of the jobs that have not ended.
//
// Load pattern: the declared estimates of single steps are off by up to three
// times in both directions, independently of each other, while the tasks of one
// step take nearly the same time. The first tasks of a step to end tell the
// time of the others, and what the job's objective should have been.
#ifndef hyssoppaddle_dispatch_StepTimes_h
#define hyssoppaddle_dispatch_StepTimes_h

#include "work/Job.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>

namespace hyssoppaddle::dispatch {

class StepTimes
{
public:
  // Runs from which the time of a step is known.
  static constexpr std::size_t kMinRuns = 2;
  // Steps that are remembered. Further ones are known by their estimate only.
  static constexpr std::size_t kMaxSteps = 8192;

  // Records the time that a whole task of aStep (index 0) takes, by a run on an
  // upstream that is not held slow.
  void Add(const work::TaskRef& aStep, Duration aTime);

  // The median of the first runs, the lower one of two; absent before there are
  // kMinRuns of them.
  [[nodiscard]] std::optional<Duration> TimeOf(
    const work::TaskRef& aStep) const;

  void ForgetJob(const JobId& aJob);

private:
  static constexpr std::size_t kKeptRuns = 7;

  struct Measured
  {
    std::array<Duration, kKeptRuns> times{}; // sorted
    std::size_t count = 0;
  };

  // Invariant: at most kMaxSteps entries.
  std::map<work::TaskRef, Measured> steps;
};

} // namespace hyssoppaddle::dispatch

#endif
