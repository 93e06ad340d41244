// Transitions of the job state machine.
#include "work/WorkState.h"

#include <algorithm>

namespace hyssoppaddle::work {

namespace {

bool
HasRuns(const Job& aJob)
{
  for (const auto& occurrence : aJob.tasks) {
    for (const auto& step : occurrence) {
      for (const Task& task : step) {
        if (!task.runs.empty()) {
          return true;
        }
      }
    }
  }
  return false;
}

bool
AllTasksDone(const Job& aJob)
{
  for (const auto& occurrence : aJob.tasks) {
    for (const auto& step : occurrence) {
      for (const Task& task : step) {
        if (!task.done) {
          return false;
        }
      }
    }
  }
  return true;
}

// Erases the entries that were last written before aLimit.
template<typename Table, typename Key>
void
EraseOlder(Table& aTable, ExpiryQueue<Key>& aTimes, WallTime aLimit)
{
  for (const Key& key : aTimes.TakeBefore(aLimit)) {
    const auto found = aTable.find(key);
    if (found != aTable.end() && found->second.at < aLimit) {
      aTable.erase(found);
    }
  }
}

} // namespace

std::vector<Verdict>
WorkState::Apply(const Batch& aBatch)
{
  this->tables.now = std::max(this->tables.now, aBatch.stamp);
  std::vector<Verdict> verdicts;
  verdicts.reserve(aBatch.commands.size());
  for (const Command& command : aBatch.commands) {
    verdicts.push_back(std::visit(
      [this](const auto& aConcrete) { return this->ApplyCommand(aConcrete); },
      command));
  }
  this->EraseExpired();
  return verdicts;
}

const Job*
WorkState::FindJob(const JobId& aId) const
{
  const auto found = this->tables.jobs.find(aId);
  return found == this->tables.jobs.end() ? nullptr : &found->second;
}

Verdict
WorkState::ApplyCommand(const SetSetup& aCommand)
{
  const Setup& next = aCommand.setup;
  if (next.version > this->tables.setup.version) {
    this->tables.setup = next;
    this->BindUnfinishedJobs();
    this->FailJobsWithoutAttempts();
    return Verdict::Done;
  }
  return Verdict::Outdated;
}

void
WorkState::BindToQueue(Job& aJob)
{
  const Setup& setup = this->tables.setup;
  const Queue* queue = this->queues.Find(setup, aJob.queueAddress);
  if (queue == nullptr) {
    queue = this->queues.Find(setup, aJob.queue);
  }
  if (queue != nullptr) {
    aJob.queue = queue->name;
    aJob.queueAddress = queue->Address();
  }
}

void
WorkState::BindUnfinishedJobs()
{
  for (auto& [id, job] : this->tables.jobs) {
    if (!job.IsFinal()) {
      this->BindToQueue(job);
    }
  }
}

bool
WorkState::HasUsedItsAttempts(const Job& aJob,
                              const Step& aStep,
                              const Task& aTask)
{
  if (aTask.failures == 0 || aStep.longRunning) {
    return false;
  }
  const Queue* queue = this->queues.Find(this->tables.setup, aJob.queue);
  return queue != nullptr && aTask.failures >= queue->maxAttempts;
}

bool
WorkState::WaitsWithoutAttempts(const Job& aJob)
{
  for (const auto& occurrence : aJob.tasks) {
    for (std::size_t s = 0; s < occurrence.size(); ++s) {
      const Step& step = aJob.spec.steps[s];
      const auto waitsInVain = [&](const Task& aTask) {
        return !aTask.done && aTask.runs.empty() &&
               this->HasUsedItsAttempts(aJob, step, aTask);
      };
      if (std::any_of(
            occurrence[s].begin(), occurrence[s].end(), waitsInVain)) {
        return true;
      }
    }
  }
  return false;
}

void
WorkState::FailJobsWithoutAttempts()
{
  for (auto& [id, job] : this->tables.jobs) {
    if (!job.IsFinal() && this->WaitsWithoutAttempts(job)) {
      this->FinishJob(id, job, JobState::Failed);
    }
  }
}

Verdict
WorkState::ApplyCommand(const SubmitJob& aCommand)
{
  if (this->tables.jobs.contains(aCommand.id)) {
    return Verdict::Done; // a resubmitted job is the same job
  }
  Job job;
  job.queue = aCommand.queue;
  job.queueAddress = aCommand.queueAddress;
  // The setup may have changed since the submission was proposed.
  this->BindToQueue(job);
  job.workspace = aCommand.workspace;
  job.acceptedAt = this->tables.now;
  if (const auto withdrawal = this->tables.withdrawals.extract(aCommand.id)) {
    this->withdrawalTimes.Remove(withdrawal.mapped().at, aCommand.id);
    this->FinishJob(
      aCommand.id,
      this->tables.jobs.emplace(aCommand.id, std::move(job)).first->second,
      JobState::Cancelled);
    return Verdict::Done;
  }
  job.spec = aCommand.spec;
  for (std::uint32_t k = 0; k < job.spec.occurrences; ++k) {
    auto& steps = job.tasks.emplace_back();
    for (const Step& step : job.spec.steps) {
      steps.emplace_back(step.count);
    }
  }
  this->tables.jobs.emplace(aCommand.id, std::move(job));
  return Verdict::Done;
}

Verdict
WorkState::ApplyCommand(const CancelJob& aCommand)
{
  const auto found = this->tables.jobs.find(aCommand.id);
  if (found == this->tables.jobs.end()) {
    return this->Withdraw(aCommand.id);
  }
  if (!found->second.IsFinal()) {
    this->FinishJob(aCommand.id, found->second, JobState::Cancelled);
  }
  return Verdict::Done;
}

// Records the cancel of an unknown job, or renews it.
Verdict
WorkState::Withdraw(const JobId& aId)
{
  auto& withdrawals = this->tables.withdrawals;
  const auto found = withdrawals.find(aId);
  if (found != withdrawals.end()) {
    this->withdrawalTimes.Remove(found->second.at, aId);
  } else if (withdrawals.size() >= kMaxWithdrawals) {
    return Verdict::Full;
  }
  withdrawals[aId].at = this->tables.now;
  this->withdrawalTimes.Add(this->tables.now, aId);
  return Verdict::NotFound;
}

void
WorkState::FinishJob(const JobId& aId, Job& aJob, JobState aState)
{
  aJob.state = aState;
  aJob.endedAt = this->tables.now;
  this->ReleaseTasksIfEnded(aId, aJob);
}

// Frees the tasks of an ended job once none of them can still be executing.
void
WorkState::ReleaseTasksIfEnded(const JobId& aId, Job& aJob)
{
  if (aJob.IsFinal() && !HasRuns(aJob)) {
    aJob.tasks.clear();
    aJob.spec = JobSpec{};
    this->endedJobs.Add(aJob.endedAt, aId);
  }
}

Verdict
WorkState::ApplyCommand(const StartRun& aCommand)
{
  const auto found = this->tables.jobs.find(aCommand.task.job);
  if (found == this->tables.jobs.end() || found->second.IsFinal()) {
    return Verdict::NotFound;
  }
  Job& job = found->second;
  Task* task = job.Find(aCommand.task);
  if (task == nullptr || task->done) {
    return Verdict::Conflict;
  }
  const Step& step = job.spec.steps[aCommand.task.step];
  const auto upstream = this->tables.upstreams.find(aCommand.run.upstream);
  const bool isPresent = upstream != this->tables.upstreams.end() &&
                         upstream->second.boot == aCommand.run.boot &&
                         !upstream->second.draining &&
                         !this->IsEvacuating(upstream->second.dataCentre);
  const bool isFree = task->runs.empty() || step.speculative;
  if (!isPresent || !isFree || aCommand.run.number <= task->lastRun) {
    return Verdict::Conflict;
  }
  task->lastRun = aCommand.run.number;
  task->runs.push_back(aCommand.run);
  job.state = JobState::Running;
  return Verdict::Done;
}

Verdict
WorkState::ApplyCommand(const EndRun& aCommand)
{
  const auto found = this->tables.jobs.find(aCommand.task.job);
  Task* task = found == this->tables.jobs.end()
                 ? nullptr
                 : found->second.Find(aCommand.task);
  if (task == nullptr) {
    return Verdict::NotFound;
  }
  Job& job = found->second;
  const auto run =
    std::find_if(task->runs.begin(), task->runs.end(), [&](const Run& aRun) {
      return aRun.number == aCommand.run && aRun.upstream == aCommand.upstream;
    });
  if (run == task->runs.end()) {
    return Verdict::NotFound; // already recorded, or recorded as lost earlier
  }
  task->runs.erase(run);
  if (!aCommand.checkpoint.empty()) {
    task->checkpoint = aCommand.checkpoint;
  }
  const Step& step = job.spec.steps[aCommand.task.step];
  if (aCommand.kind == EndKind::Done && !step.longRunning) {
    task->done = true;
    if (step.gang) {
      this->CompleteGang(job, aCommand.task, aCommand.run);
    }
  }
  // The failure of a second run does not matter once the task is done.
  const bool hasFailed = aCommand.kind == EndKind::Failed && !task->done;
  task->failures += hasFailed ? 1 : 0;
  // A run that did not fail counts too: the setup may allow fewer attempts now.
  const bool isLast = hasFailed || (!task->done && task->runs.empty());
  if (isLast && !job.IsFinal() && this->HasUsedItsAttempts(job, step, *task)) {
    this->FinishJob(aCommand.task.job, job, JobState::Failed);
    return Verdict::Done;
  }
  if (!job.IsFinal() && AllTasksDone(job)) {
    this->FinishJob(aCommand.task.job, job, JobState::Completed);
    return Verdict::Done;
  }
  this->ReleaseTasksIfEnded(aCommand.task.job, job);
  return Verdict::Done;
}

// The members of a gang end together, so the end of one member counts for all
// members of the same run.
void
WorkState::CompleteGang(Job& aJob, const TaskRef& aTask, std::uint32_t aRun)
{
  for (Task& member : aJob.tasks[aTask.occurrence][aTask.step]) {
    if (member.lastRun == aRun) {
      member.done = true;
    }
  }
}

Verdict
WorkState::ApplyCommand(const SetUpstream& aCommand)
{
  if (this->HasEnded(aCommand.id, aCommand.upstream.boot)) {
    return Verdict::Outdated;
  }
  this->tables.upstreams[aCommand.id] = aCommand.upstream;
  return Verdict::Done;
}

Verdict
WorkState::ApplyCommand(const RemoveUpstream& aCommand)
{
  const auto found = this->tables.upstreams.find(aCommand.id);
  if (found == this->tables.upstreams.end()) {
    return Verdict::NotFound;
  }
  if (aCommand.ended) {
    this->tables.endedBoots[aCommand.id] = { found->second.boot,
                                             this->tables.now };
    this->endedBootTimes.Add(this->tables.now, aCommand.id);
  }
  this->tables.upstreams.erase(found);
  return Verdict::Done;
}

bool
WorkState::HasEnded(const InstanceId& aId, std::uint64_t aBoot) const
{
  const auto found = this->tables.endedBoots.find(aId);
  return found != this->tables.endedBoots.end() && aBoot <= found->second.boot;
}

Verdict
WorkState::ApplyCommand(const StartWave& aCommand)
{
  const auto [entry, isNew] =
    this->tables.waves.try_emplace(aCommand.number, aCommand.wave);
  if (isNew) {
    entry->second.startedAt = this->tables.now;
  }
  return Verdict::Done;
}

Verdict
WorkState::ApplyCommand(const AdvanceWave& aCommand)
{
  const auto found = this->tables.waves.find(aCommand.number);
  if (found == this->tables.waves.end()) {
    return Verdict::NotFound;
  }
  Wave& wave = found->second;
  (aCommand.removed ? wave.removed : wave.started).insert(aCommand.instance);
  return Verdict::Done;
}

Verdict
WorkState::ApplyCommand(const OrderInstance& aCommand)
{
  this->tables.instanceOrders[aCommand.instance] = { aCommand.holder,
                                                     this->tables.now };
  this->instanceOrderTimes.Add(this->tables.now, aCommand.instance);
  return Verdict::Done;
}

// A repetition keeps the time and the caller of the first order.
Verdict
WorkState::ApplyCommand(const SetEvacuation& aCommand)
{
  auto& evacuations = this->tables.evacuations;
  if (!aCommand.requested) {
    evacuations.erase(aCommand.dataCentre);
    return Verdict::Done;
  }
  if (evacuations.size() >= kMaxEvacuations &&
      !evacuations.contains(aCommand.dataCentre)) {
    return Verdict::Full;
  }
  evacuations.try_emplace(aCommand.dataCentre,
                          Evacuation{ this->tables.now, aCommand.by });
  return Verdict::Done;
}

void
WorkState::Restore(WorkTables aTables)
{
  this->tables = std::move(aTables);
  this->queues = {};
  this->BindUnfinishedJobs(); // earlier versions recorded no address
  this->endedJobs = {};
  this->endedBootTimes = {};
  this->instanceOrderTimes = {};
  this->withdrawalTimes = {};
  for (const auto& [id, job] : this->tables.jobs) {
    if (job.IsFinal() && job.tasks.empty()) {
      this->endedJobs.Add(job.endedAt, id);
    }
  }
  for (const auto& [id, boot] : this->tables.endedBoots) {
    this->endedBootTimes.Add(boot.at, id);
  }
  for (const auto& [instance, order] : this->tables.instanceOrders) {
    this->instanceOrderTimes.Add(order.at, instance);
  }
  for (const auto& [id, withdrawal] : this->tables.withdrawals) {
    this->withdrawalTimes.Add(withdrawal.at, id);
  }
}

void
WorkState::EraseExpired()
{
  const WallTime now = this->tables.now;
  for (const JobId& id : this->endedJobs.TakeBefore(now - kEndedJobRetention)) {
    this->tables.jobs.erase(id);
  }
  EraseOlder(
    this->tables.endedBoots, this->endedBootTimes, now - kEndedBootRetention);
  EraseOlder(this->tables.instanceOrders,
             this->instanceOrderTimes,
             now - kInstanceOrderRetention);
  EraseOlder(
    this->tables.withdrawals, this->withdrawalTimes, now - kEndedJobRetention);
}

} // namespace hyssoppaddle::work
