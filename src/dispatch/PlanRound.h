// One look at all waiting jobs of a service, which may take several passes.
//
// Load pattern: thousands of jobs wait and none of them fits, so that one look
// at all of them takes longer than a heartbeat of the leader may be late. A
// pass ends after a bounded number of comparisons, and the next one goes on
// where it ended, after other events have been handled.
#ifndef hyssoppaddle_dispatch_PlanRound_h
#define hyssoppaddle_dispatch_PlanRound_h

#include "dispatch/JobView.h"

#include <map>
#include <set>
#include <span>
#include <tuple>

namespace hyssoppaddle::dispatch {

struct PlanRound
{
  // The service had not been planned for some time when the round began.
  bool isSettled = false;
  // The service has changed since the round began, so another one follows. What
  // this round has looked at is not repeated before that: under a steady flow
  // of changes the jobs behind it would never be reached.
  bool isOutdated = false;
  std::size_t waitingForRoom = 0; // tasks of the jobs that it has looked at
  std::set<JobId> seen;           // jobs that it has looked at

  // Of jobs that it has looked at in part.
  void RecordSteps(const JobId& aJob, std::span<const WaitingStep> aSteps)
  {
    for (const WaitingStep& step : aSteps) {
      this->seenSteps[aJob].insert(KeyOf(step));
    }
  }
  [[nodiscard]] bool HasSeen(const JobId& aJob, const WaitingStep& aStep) const
  {
    const auto found = this->seenSteps.find(aJob);
    return found != this->seenSteps.end() &&
           found->second.contains(KeyOf(aStep));
  }

private:
  using StepKey = std::tuple<bool, std::uint32_t, std::uint32_t>;

  static StepKey KeyOf(const WaitingStep& aStep)
  {
    return { aStep.isSecond, aStep.occurrence, aStep.step };
  }

  std::map<JobId, std::set<StepKey>> seenSteps;
};

} // namespace hyssoppaddle::dispatch

#endif
