// Derives the view of a job from its recorded state.
#include "dispatch/JobView.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A job has no value after this multiple of its objective.
constexpr int kLateFactor = 3;
// Assumed for steps without an estimate.
constexpr Duration kDefaultEstimate = std::chrono::seconds(1);

Duration
EstimateOf(const work::Step& aStep)
{
  return aStep.estimate.count() > 0 ? aStep.estimate : kDefaultEstimate;
}

bool
IsDone(const std::vector<work::Task>& aTasks)
{
  return std::all_of(aTasks.begin(), aTasks.end(), [](const work::Task& aTask) {
    return aTask.done;
  });
}

Duration
LongestPath(const work::JobSpec& aSpec, const std::vector<bool>& aSkip)
{
  std::vector<Duration> ends(aSpec.steps.size(), Duration(0));
  Duration longest{ 0 };
  for (std::size_t i = 0; i < aSpec.steps.size(); ++i) {
    Duration start{ 0 };
    for (const std::uint32_t before : aSpec.steps[i].after) {
      start = std::max(start, ends[before]);
    }
    ends[i] = start + (aSkip[i] ? Duration(0) : EstimateOf(aSpec.steps[i]));
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

void
AddOccurrence(JobView& aView, const work::Job& aJob, std::uint32_t aNumber)
{
  const auto& steps = aJob.tasks[aNumber];
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const work::Step& step = aJob.spec.steps[s];
    const bool open = aJob.IsStepOpen(aNumber, s);
    const double each =
      static_cast<double>(step.size.milliCpus) / 1000.0 *
      std::chrono::duration<double, std::milli>(EstimateOf(step)).count();
    for (std::uint32_t i = 0; i < steps[s].size(); ++i) {
      const work::Task& task = steps[s][i];
      if (task.done) {
        continue;
      }
      aView.remainingWork += each;
      if (open && task.runs.empty()) {
        aView.pending.push_back({ aView.id, aNumber, s, i });
      }
    }
  }
}

} // namespace

Duration
RemainingChain(const work::JobSpec& aSpec,
               const std::vector<std::vector<work::Task>>& aOccurrence)
{
  std::vector<bool> skip;
  skip.reserve(aOccurrence.size());
  for (const auto& step : aOccurrence) {
    skip.push_back(IsDone(step));
  }
  return LongestPath(aSpec, skip);
}

JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow)
{
  JobView view;
  view.id = aId;
  view.queue = aJob.queue;
  view.workspace = aJob.workspace;
  view.started = aJob.state == work::JobState::Running;
  view.longRunning =
    std::any_of(aJob.spec.steps.begin(),
                aJob.spec.steps.end(),
                [](const work::Step& aStep) { return aStep.longRunning; });
  WallTime start = aJob.acceptedAt;
  for (std::uint32_t k = 0; k < aJob.tasks.size(); ++k) {
    const WallTime due = aJob.DueAt(k);
    if (due > aNow) {
      view.nextDue = due;
      break;
    }
    const double before = view.remainingWork;
    AddOccurrence(view, aJob, k);
    if (view.remainingWork > before && view.remainingChain.count() == 0) {
      view.remainingChain = RemainingChain(aJob.spec, aJob.tasks[k]);
      start = due;
    }
  }
  const Duration chain =
    LongestPath(aJob.spec, std::vector<bool>(aJob.spec.steps.size(), false));
  Duration allowed = chain * 2;
  if (aQueue != nullptr) {
    view.hasQueue = true;
    view.needsAdvice = aQueue->needsAdvice;
    view.service = aQueue->service;
    view.priority = aQueue->priority;
    allowed = Duration(static_cast<std::int64_t>(
                aQueue->stretch * static_cast<double>(chain.count()))) +
              aQueue->targetCompletion;
  }
  view.objective = start + allowed;
  view.latest = start + allowed * kLateFactor;
  return view;
}

} // namespace hyssoppaddle::dispatch
