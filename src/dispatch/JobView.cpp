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

// Core-milliseconds of one task.
double
WorkOf(const work::Step& aStep)
{
  return static_cast<double>(aStep.size.milliCpus) / 1000.0 *
         std::chrono::duration<double, std::milli>(EstimateOf(aStep)).count();
}

bool
IsLongRunning(const work::JobSpec& aSpec)
{
  return std::any_of(aSpec.steps.begin(),
                     aSpec.steps.end(),
                     [](const work::Step& aStep) { return aStep.longRunning; });
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

Duration
FullChain(const work::JobSpec& aSpec)
{
  return LongestPath(aSpec, std::vector<bool>(aSpec.steps.size(), false));
}

// Sets what the queue grants the job. aStart: from when its objective counts.
void
SetTerms(JobView& aView,
         const work::JobSpec& aSpec,
         const work::Queue* aQueue,
         WallTime aStart)
{
  const Duration chain = FullChain(aSpec);
  Duration allowed = chain * 2;
  if (aQueue != nullptr) {
    aView.hasQueue = true;
    aView.needsAdvice = aQueue->needsAdvice;
    aView.service = aQueue->service;
    aView.priority = aQueue->priority;
    allowed = Duration(static_cast<std::int64_t>(
                aQueue->stretch * static_cast<double>(chain.count()))) +
              aQueue->targetCompletion;
  }
  aView.objective = aStart + allowed;
  aView.latest = aStart + allowed * kLateFactor;
}

void
AddOccurrence(JobView& aView, const work::Job& aJob, std::uint32_t aNumber)
{
  const auto& steps = aJob.tasks[aNumber];
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const work::Step& step = aJob.spec.steps[s];
    const bool open = aJob.IsStepOpen(aNumber, s);
    const double each = WorkOf(step);
    for (std::uint32_t i = 0; i < steps[s].size(); ++i) {
      const work::Task& task = steps[s][i];
      aView.totalWork += each;
      if (task.done) {
        continue;
      }
      aView.remainingWork += each;
      aView.unstartedWork += task.runs.empty() ? each : 0;
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
  view.longRunning = IsLongRunning(aJob.spec);
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
  SetTerms(view, aJob.spec, aQueue, start);
  return view;
}

JobView
MakeOfferView(const JobId& aId,
              const WorkspaceId& aWorkspace,
              const work::Queue& aQueue,
              const work::JobSpec& aSpec,
              WallTime aNow)
{
  JobView view;
  view.id = aId;
  view.queue = aQueue.name;
  view.workspace = aWorkspace;
  view.longRunning = IsLongRunning(aSpec);
  for (const work::Step& step : aSpec.steps) {
    view.totalWork += WorkOf(step) * step.count;
  }
  view.remainingWork = view.totalWork;
  view.unstartedWork = view.totalWork;
  view.remainingChain = FullChain(aSpec);
  SetTerms(view, aSpec, &aQueue, aNow);
  return view;
}

} // namespace hyssoppaddle::dispatch
