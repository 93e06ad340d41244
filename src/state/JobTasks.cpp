// Tasks of jobs: placement with an epoch, reports, and the effect of a task's
// end on its job. The epoch is a fencing token: a report or stop with an
// earlier epoch has no effect.
#include "state/JobTable.h"

#include <array>

namespace hyssoppaddle::state {

namespace {

bool
IsLive(TaskState aState)
{
  return aState == TaskState::Placed || aState == TaskState::Running ||
         aState == TaskState::Throttled;
}

// State of a job after its task has ended, if no cancellation is pending. A
// non-idempotent job waits again only if its task reported that it did not run
// or that it stopped at a checkpoint from which it can resume.
struct EndRule
{
  TaskState task;
  JobState idempotent;
  JobState nonIdempotent;
};

constexpr std::array kEndRules{
  EndRule{ TaskState::Checkpointed, JobState::Waiting, JobState::Waiting },
  EndRule{ TaskState::Done, JobState::Done, JobState::Done },
  EndRule{ TaskState::Failed, JobState::Waiting, JobState::Failed },
  EndRule{ TaskState::Stopped, JobState::Waiting, JobState::Failed },
  EndRule{ TaskState::NotRun, JobState::Waiting, JobState::Waiting },
  EndRule{ TaskState::Unknown, JobState::Waiting, JobState::OutcomeUnknown },
};

JobState
StateAfter(TaskState aTask, const JobRecord& aJob)
{
  for (const EndRule& rule : kEndRules) {
    if (rule.task != aTask) {
      continue;
    }
    const JobState next =
      aJob.idempotent ? rule.idempotent : rule.nonIdempotent;
    const bool endsByCancel =
      aJob.cancelRequested &&
      (next == JobState::Waiting || aTask == TaskState::Stopped);
    return endsByCancel ? JobState::Cancelled : next;
  }
  return JobState::OutcomeUnknown;
}

// Returns true if the reported state confirms the requested change.
bool
ConfirmsRequest(TaskState aReported, StopMode aRequested)
{
  return (aRequested == StopMode::Throttle &&
          aReported == TaskState::Throttled) ||
         (aRequested == StopMode::Resume && aReported == TaskState::Running);
}

} // namespace

Outcome
JobTable::CheckPlace(const PlaceTask& aCommand) const
{
  const JobRecord* job = this->Find(aCommand.job);
  if (job == nullptr) {
    return Refuse(ErrorCode::NotFound, "no job has this ID");
  }
  if (job->state != JobState::Waiting) {
    return Refuse(ErrorCode::Conflict, "the job does not wait");
  }
  if (aCommand.epoch != job->epoch + 1) {
    return Refuse(ErrorCode::Conflict,
                  "the epoch must be " + std::to_string(job->epoch + 1));
  }
  if (aCommand.lease <= Duration(0) || aCommand.lease > kMaxTaskLease) {
    return Refuse(ErrorCode::InvalidArgument,
                  "a lease is longer than 0 and at most 1 h");
  }
  return Accept();
}

Outcome
JobTable::Place(const PlaceTask& aCommand,
                const std::string& aBoot,
                Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.job);
  JobRecord& job = entry->second;
  this->RemoveFromIndexes(entry);
  TaskRecord task;
  task.instance = aCommand.instance;
  task.boot = aBoot;
  task.epoch = aCommand.epoch;
  task.placedAt = aContext.now;
  task.leaseEnd = aContext.now + aCommand.lease;
  task.lease = aCommand.lease;
  task.charged = aCommand.charged;
  job.task = std::move(task);
  job.epoch = aCommand.epoch;
  job.state = JobState::Placed;
  job.reason.clear();
  this->AddToIndexes(entry);
  aContext.changes.jobs.push_back(aCommand.job);
  return Accept();
}

Outcome
JobTable::Stop(const StopTask& aCommand, Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.job);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound, "no job has this ID");
  }
  JobRecord& job = entry->second;
  if (!job.task.has_value() || job.task->epoch != aCommand.epoch) {
    return Refuse(ErrorCode::Conflict, "no live task has this epoch");
  }
  if (job.cancelRequested && aCommand.mode != StopMode::Stop) {
    return Refuse(ErrorCode::Conflict, "the job is being cancelled");
  }
  job.task->requested = aCommand.mode;
  job.reason = aCommand.reason;
  aContext.changes.jobs.push_back(aCommand.job);
  return Accept();
}

Outcome
JobTable::Report(const ReportTasks& aCommand,
                 const std::string& aCurrentBoot,
                 Context& aContext)
{
  const bool isCurrentBoot =
    aCurrentBoot.empty() || aCurrentBoot == aCommand.boot;
  for (const TaskReport& report : aCommand.reports) {
    this->ApplyReport(aCommand, report, isCurrentBoot, aContext);
  }
  return Accept();
}

void
JobTable::ApplyReport(const ReportTasks& aCommand,
                      const TaskReport& aReport,
                      bool aIsCurrentBoot,
                      Context& aContext)
{
  const Entry entry = this->records.FindEntry(aReport.job);
  if (entry == this->records.End() || !entry->second.task.has_value()) {
    return;
  }
  const TaskRecord& task = *entry->second.task;
  if (task.epoch != aReport.epoch || task.instance != aCommand.instance) {
    return;
  }
  if (!IsLive(aReport.state)) {
    this->FinishTask(entry, aReport.state, aReport.detail, aContext);
    return;
  }
  // A delayed report of a replaced process does not renew the lease.
  if (aIsCurrentBoot) {
    this->RenewTask(entry, aReport, aContext);
  }
}

void
JobTable::RenewTask(Entry aEntry, const TaskReport& aReport, Context& aContext)
{
  TaskRecord& task = *aEntry->second.task;
  task.state = aReport.state;
  task.usage = aReport.usage;
  task.leaseEnd = aContext.now + task.lease;
  if (task.requested.has_value() &&
      ConfirmsRequest(task.state, *task.requested)) {
    task.requested.reset();
  }
  aContext.changes.jobs.push_back(aEntry->first);
}

void
JobTable::EndTasksOfEarlierBoots(const InstanceId& aInstance,
                                 const std::string& aBoot,
                                 Context& aContext)
{
  const std::set<JobId> jobs = this->PlacedOn(aInstance);
  for (const JobId& job : jobs) {
    const Entry entry = this->records.FindEntry(job);
    if (entry->second.task->boot != aBoot) {
      this->FinishTask(entry,
                       TaskState::Unknown,
                       "the upstream restarted while it had the task",
                       aContext);
    }
  }
}

Outcome
JobTable::End(const EndTask& aCommand, Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.job);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound, "no job has this ID");
  }
  const JobRecord& job = entry->second;
  if (!job.task.has_value() || job.task->epoch != aCommand.epoch) {
    return Refuse(ErrorCode::Conflict, "no live task has this epoch");
  }
  if (aCommand.state != TaskState::Unknown) {
    return Refuse(ErrorCode::InvalidArgument,
                  "without a report the end of a task is unknown");
  }
  // The worker's clock may be slower than the leader's, so the lease ends only
  // after the clock margin.
  const Duration margin = WithClockMargin(job.task->lease) - job.task->lease;
  if (aContext.now < job.task->leaseEnd + margin) {
    return Refuse(ErrorCode::Conflict,
                  "the lease and its margin have not passed");
  }
  this->FinishTask(entry, aCommand.state, aCommand.reason, aContext);
  return Accept();
}

void
JobTable::FinishTask(Entry aEntry,
                     TaskState aState,
                     const std::string& aReason,
                     Context& aContext)
{
  JobRecord& job = aEntry->second;
  if (aState == TaskState::Failed) {
    job.failedOn.insert(job.task->instance);
  }
  if (aState == TaskState::Checkpointed) {
    job.checkpointed = true;
  }
  // The reason names the instance, because `explain` must show where a job ran
  // after its task record was removed.
  job.reason = aReason.empty() ? "task " + std::to_string(job.task->epoch) +
                                   " ended on " + job.task->instance.value
                               : aReason;
  this->SetState(aEntry, StateAfter(aState, job), aContext);
}

} // namespace hyssoppaddle::state
