// What the leader derives from the recorded jobs.
#include "dispatch/Dispatcher.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

void
Dispatcher::RefreshView(const JobId& aJob)
{
  const work::Job* job = this->FindJob(aJob);
  if (job == nullptr || job->IsFinal()) {
    this->views.erase(aJob);
    this->runWatch.ForgetJob(aJob);
    this->tickets.ForgetJob(aJob);
    return;
  }
  const work::Queue* queue =
    this->queues.Find(this->state.CurrentSetup(), job->queue);
  const auto [found, isNew] = this->views.try_emplace(aJob);
  JobView& view = found->second;
  // Known until the fleet or the setup changes.
  ImpossibleSteps impossible =
    isNew ? this->FindImpossibleSteps(*job, queue) : std::move(view.impossible);
  view = MakeView(aJob,
                  *job,
                  queue,
                  this->wall,
                  &this->runWatch.StepTimesSoFar(),
                  std::move(impossible));
  this->AddSecondRuns(view);
  this->LeaveOutProposedStarts(view);
  if (view.HasImpossibleSteps()) {
    this->hasImpossibleJobs = true;
    if (isNew) {
      this->LogImpossibleSteps(view, *job);
    }
  }
  this->dirtyServices.insert(view.service);
}

void
Dispatcher::LeaveOutProposedStarts(JobView& aView) const
{
  if (this->proposedStarts.empty()) {
    return;
  }
  for (WaitingStep& step : aView.waiting) {
    std::vector<std::uint32_t> proposed; // ascending, like the set
    for (auto task = this->proposedStarts.lower_bound(step.Ref(aView.id, 0));
         task != this->proposedStarts.end() && task->job == aView.id &&
         task->occurrence == step.occurrence && task->step == step.step;
         ++task) {
      proposed.push_back(task->index);
    }
    if (!proposed.empty()) {
      std::erase_if(step.indexes, [&proposed](std::uint32_t aIndex) {
        return std::binary_search(proposed.begin(), proposed.end(), aIndex);
      });
    }
  }
  std::erase_if(aView.waiting,
                [](const WaitingStep& aStep) { return aStep.indexes.empty(); });
}

void
Dispatcher::RefreshAllViews()
{
  std::erase_if(this->views, [this](const auto& aItem) {
    return this->FindJob(aItem.first) == nullptr;
  });
  for (const auto& [id, job] : this->state.Tables().jobs) {
    this->JudgeSteps(id);
    this->RefreshView(id);
  }
  for (const auto& [id, session] : this->sessions) {
    this->dirtyServices.insert(session.record.service);
  }
}

} // namespace hyssoppaddle::dispatch
