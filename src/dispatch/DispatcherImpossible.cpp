// Steps that cannot run: which they are, and what their owner is told.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"
#include "dispatch/WorkspaceLimit.h"

#include <algorithm>
#include <limits>

namespace hyssoppaddle::dispatch {

namespace {

// Intervals between two reviews after a change of the fleet. Instances move all
// the time, which rarely makes a job possible or impossible.
constexpr Duration kFleetReviewInterval = seconds(1);
constexpr Duration kImpossibleJobReviewInterval = milliseconds(100);

// aWorkspace may be null.
bool
ExceedsLimit(const work::Workspace* aWorkspace, const work::Step& aStep)
{
  const std::uint32_t needed = TasksTogether(aStep);
  return aWorkspace != nullptr &&
         CountWithinLimit({}, aStep.size, aWorkspace->limit, needed) < needed;
}

// Capacity of an instance whose upstream is not known: as much as any other
// one. Where none of them has accelerators, it may be the only one that has.
state::Resources
LargestCapacity(std::span<const state::Resources> aKnown)
{
  state::Resources largest;
  for (const state::Resources& each : aKnown) {
    largest.milliCpus = std::max(largest.milliCpus, each.milliCpus);
    largest.memoryMb = std::max(largest.memoryMb, each.memoryMb);
    largest.accelerators = std::max(largest.accelerators, each.accelerators);
  }
  if (largest.accelerators == 0) {
    largest.accelerators = std::numeric_limits<std::int32_t>::max();
  }
  return largest;
}

} // namespace

const FleetCapacity&
Dispatcher::FleetCapacityFor(const ServiceId& aService)
{
  const auto found = this->fleetCapacities.find(aService);
  if (found != this->fleetCapacities.end()) {
    return found->second;
  }
  // With an owner of the instances, those of other pools can be moved here.
  const bool isShared = this->options.hasInstanceOwner;
  std::vector<state::Resources> instances;
  std::set<std::string_view> withUpstream;
  for (const auto& [id, session] : this->sessions) {
    if (isShared || session.record.service == aService) {
      instances.push_back(session.record.capacity);
      withUpstream.insert(session.record.instance);
    }
  }
  if (isShared && !this->owner.hasList) {
    instances.clear(); // nothing is known yet of instances without an upstream
  } else if (isShared && !instances.empty()) {
    const state::Resources largest = LargestCapacity(instances);
    for (const auto& [instance, row] : this->owner.instances) {
      if (!withUpstream.contains(instance)) {
        instances.push_back(largest);
      }
    }
  }
  return this->fleetCapacities
    .emplace(aService, FleetCapacity(std::move(instances)))
    .first->second;
}

ImpossibleSteps
Dispatcher::FindImpossibleSteps(const work::Job& aJob,
                                const work::Queue* aQueue)
{
  ImpossibleSteps impossible;
  if (aQueue == nullptr) {
    return impossible;
  }
  const FleetCapacity& fleet = this->FleetCapacityFor(aQueue->service);
  const work::Workspace* workspace =
    this->state.CurrentSetup().FindWorkspace(aJob.workspace);
  impossible.reserve(aJob.spec.steps.size());
  for (const work::Step& step : aJob.spec.steps) {
    impossible.push_back(fleet.IsImpossible(step) ||
                         ExceedsLimit(workspace, step));
  }
  return impossible;
}

void
Dispatcher::LogImpossibleSteps(const JobView& aView, const work::Job& aJob)
{
  const auto first =
    std::find(aView.impossible.begin(), aView.impossible.end(), true);
  if (first == aView.impossible.end()) {
    this->LogDecision(
      "job_possible", aView.id.value, { { "queue", aView.queue.value } });
    return;
  }
  const auto number = first - aView.impossible.begin();
  const work::Step& step = aJob.spec.steps[number];
  const std::uint32_t needed = TasksTogether(step);
  const bool isLimited = ExceedsLimit(
    this->state.CurrentSetup().FindWorkspace(aView.workspace), step);
  this->LogDecision(
    "job_impossible",
    aView.id.value,
    { { "queue", aView.queue.value },
      { "workspace", aView.workspace.value },
      { "steps",
        Text(
          std::count(aView.impossible.begin(), aView.impossible.end(), true)) },
      { "first_step", Text(number) },
      { "gang", step.gang ? "yes" : "no" },
      { "tasks_together", Text(needed) },
      { "fit_into_fleet",
        Text(this->FleetCapacityFor(aView.service).Count(step, needed)) },
      { "reason", isLimited ? "workspace_limit" : "fleet" },
      { "millicores", Text(step.size.milliCpus) },
      { "memory_mb", Text(step.size.memoryMb) },
      { "accelerators", Text(step.size.accelerators) } });
}

void
Dispatcher::ReviewImpossibleSteps()
{
  const Duration interval = this->hasImpossibleJobs
                              ? kImpossibleJobReviewInterval
                              : kFleetReviewInterval;
  if (!this->fleetChanged || this->now - this->fleetReviewedAt < interval) {
    return;
  }
  this->fleetChanged = false;
  this->fleetReviewedAt = this->now;
  this->fleetCapacities.clear();
  std::vector<JobId> changed;
  for (const auto& [id, view] : this->views) {
    if (this->JudgeSteps(id)) {
      changed.push_back(id);
    }
  }
  for (const JobId& id : changed) {
    this->RefreshView(id);
  }
  this->hasImpossibleJobs = this->CountImpossibleJobs() > 0;
}

bool
Dispatcher::JudgeSteps(const JobId& aJob)
{
  const auto view = this->views.find(aJob);
  const work::Job* job = this->FindJob(aJob);
  const work::Queue* queue =
    job == nullptr ? nullptr
                   : this->queues.Find(this->state.CurrentSetup(), job->queue);
  if (view == this->views.end() || queue == nullptr) {
    return false;
  }
  ImpossibleSteps impossible = this->FindImpossibleSteps(*job, queue);
  if (impossible == view->second.impossible) {
    return false;
  }
  view->second.impossible = std::move(impossible);
  this->LogImpossibleSteps(view->second, *job);
  return true;
}

std::size_t
Dispatcher::CountImpossibleJobs() const
{
  return std::count_if(
    this->views.begin(), this->views.end(), [](const auto& aItem) {
      return aItem.second.HasImpossibleSteps();
    });
}

} // namespace hyssoppaddle::dispatch
