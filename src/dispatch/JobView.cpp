// Derives the view of a job from its recorded state.
#include "dispatch/JobView.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A job has no value after this multiple of its objective.
constexpr int kLateFactor = 3;
using Times = std::vector<Duration>; // of one task of each step

// What runs of the occurrence have shown, or else the declared estimates.
Times
TimesOf(const JobId& aId,
        const work::Job& aJob,
        std::uint32_t aOccurrence,
        const StepTimes* aMeasured)
{
  Times times;
  times.reserve(aJob.spec.steps.size());
  for (std::uint32_t s = 0; s < aJob.spec.steps.size(); ++s) {
    const auto measured = aMeasured == nullptr
                            ? std::nullopt
                            : aMeasured->TimeOf({ aId, aOccurrence, s, 0 });
    times.push_back(measured.value_or(DeclaredTime(aJob.spec.steps[s])));
  }
  return times;
}

bool
IsDone(const std::vector<work::Task>& aTasks)
{
  return std::all_of(aTasks.begin(), aTasks.end(), [](const work::Task& aTask) {
    return aTask.done;
  });
}

Duration
LongestPath(const work::JobSpec& aSpec,
            const Times& aTimes,
            const std::vector<bool>& aSkip)
{
  std::vector<Duration> ends(aSpec.steps.size(), Duration(0));
  Duration longest{ 0 };
  for (std::size_t i = 0; i < aSpec.steps.size(); ++i) {
    Duration start{ 0 };
    for (const std::uint32_t before : aSpec.steps[i].after) {
      start = std::max(start, ends[before]);
    }
    ends[i] = start + (aSkip[i] ? Duration(0) : aTimes[i]);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

// Critical path through the steps that are not done.
Duration
RemainingChain(const work::JobSpec& aSpec,
               const Times& aTimes,
               const std::vector<std::vector<work::Task>>& aOccurrence)
{
  std::vector<bool> skip;
  skip.reserve(aOccurrence.size());
  for (const auto& step : aOccurrence) {
    skip.push_back(IsDone(step));
  }
  return LongestPath(aSpec, aTimes, skip);
}

void
AddOccurrence(JobView& aView,
              const work::Job& aJob,
              const Times& aTimes,
              std::uint32_t aNumber)
{
  const auto& steps = aJob.tasks[aNumber];
  std::vector<bool> stuck(steps.size(), false); // waits for an impossible step
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const work::Step& step = aJob.spec.steps[s];
    const bool open = aJob.IsStepOpen(aNumber, s);
    const double each =
      static_cast<double>(step.size.milliCpus) / 1000.0 *
      std::chrono::duration<double, std::milli>(aTimes[s]).count();
    double work = 0;
    bool hasRuns = false;
    WaitingStep waiting{ false, aNumber, s };
    for (std::uint32_t i = 0; i < steps[s].size(); ++i) {
      const work::Task& task = steps[s][i];
      if (task.done) {
        continue;
      }
      work += each;
      hasRuns = hasRuns || !task.runs.empty();
      if (open && task.runs.empty()) {
        if (waiting.indexes.empty()) {
          waiting.indexes.reserve(steps[s].size() - i);
        }
        waiting.indexes.push_back(i);
      }
    }
    stuck[s] = (aView.impossible[s] && !hasRuns) ||
               std::any_of(step.after.begin(),
                           step.after.end(),
                           [&](std::uint32_t aBefore) {
                             return stuck[aBefore] && !IsDone(steps[aBefore]);
                           });
    aView.remainingWork += work;
    aView.possibleWork += stuck[s] ? 0 : work;
    if (!waiting.indexes.empty()) {
      aView.waiting.push_back(std::move(waiting));
    }
  }
}

} // namespace

bool
JobView::HasImpossibleSteps() const
{
  const auto end = this->impossible.end();
  return std::find(this->impossible.begin(), end, true) != end;
}

std::size_t
JobView::CountWaiting() const
{
  std::size_t count = 0;
  for (const WaitingStep& step : this->waiting) {
    count += step.Count();
  }
  return count;
}

JobView
MakeView(const JobId& aId,
         const work::Job& aJob,
         const work::Queue* aQueue,
         WallTime aNow,
         const StepTimes* aMeasured,
         ImpossibleSteps aImpossible)
{
  JobView view;
  view.impossible = std::move(aImpossible);
  view.impossible.resize(aJob.spec.steps.size(), false);
  view.id = aId;
  view.queue = aJob.queue;
  view.workspace = aJob.workspace;
  view.started = aJob.state == work::JobState::Running;
  view.longRunning =
    std::any_of(aJob.spec.steps.begin(),
                aJob.spec.steps.end(),
                [](const work::Step& aStep) { return aStep.longRunning; });
  WallTime start = aJob.acceptedAt;
  Times times = TimesOf(aId, aJob, 0, aMeasured);
  for (std::uint32_t k = 0; k < aJob.tasks.size(); ++k) {
    const WallTime due = aJob.DueAt(k);
    if (due > aNow) {
      view.nextDue = due;
      break;
    }
    const double before = view.remainingWork;
    Times current = k == 0 ? times : TimesOf(aId, aJob, k, aMeasured);
    AddOccurrence(view, aJob, current, k);
    if (view.remainingWork > before && view.remainingChain.count() == 0) {
      view.remainingChain = RemainingChain(aJob.spec, current, aJob.tasks[k]);
      times = std::move(current);
      start = due;
    }
  }
  const Duration chain = LongestPath(
    aJob.spec, times, std::vector<bool>(aJob.spec.steps.size(), false));
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
