// Updates the data derived from jobs. Each update reads only the jobs that
// changed.
#include "planner/JobTracker.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

// A refused placement is retried after this time, so that a repeated refusal
// does not cause a busy loop.
constexpr Duration kRefusalRetryDelay{ std::chrono::milliseconds(500) };
constexpr Duration kProposalTimeout{ std::chrono::seconds(10) };
constexpr Duration kDeferDelay{ std::chrono::seconds(5) };
constexpr Duration kEndTaskRetryInterval{ std::chrono::seconds(1) };
// The usage of a younger task is still rising and is not learned from.
constexpr Duration kUsageSettlingTime{ std::chrono::seconds(10) };

// The part of a task's lease that its worker is given. The rest is the time for
// the delivery of the start and for the worker to stop the task.
constexpr Duration
WorkerLease(Duration aLease)
{
  return aLease - aLease / 5;
}

state::Resources
ComponentMax(const state::Resources& aLeft, const state::Resources& aRight)
{
  return { std::max(aLeft.milliCpus, aRight.milliCpus),
           std::max(aLeft.memoryMb, aRight.memoryMb),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

state::Resources
Negated(const state::Resources& aAmount)
{
  state::Resources none;
  none -= aAmount;
  return none;
}

bool
IsZero(const state::Resources& aAmount)
{
  return aAmount == state::Resources{};
}

} // namespace

JobTracker::JobTracker(InstanceLoads& aLoads,
                       ShareLedger& aLedger,
                       Reservations& aReservations,
                       InstructionOutbox& aOutbox)
  : loads(aLoads)
  , ledger(aLedger)
  , reservations(aReservations)
  , outbox(aOutbox)
{
}

void
JobTracker::Reset()
{
  this->queue.Clear();
  this->failures.Clear();
  this->sizes.Clear();
  this->live.clear();
  this->proposals.clear();
  this->proposalsByInstance.clear();
  this->tasksByTeam.clear();
  this->liveSlots.clear();
  this->leaseExpiries.clear();
  this->deferred.clear();
  this->proposalTimeouts.clear();
  this->dirtyPools.clear();
}

void
JobTracker::OnJobChanged(Context& aContext, const JobId& aJob)
{
  const auto found = aContext.state.Jobs().find(aJob);
  const state::JobRecord* record =
    found == aContext.state.Jobs().end() ? nullptr : &found->second;
  const auto known = this->live.find(aJob);
  const bool hasTask = record != nullptr && record->task.has_value();
  if (known != this->live.end() &&
      (!hasTask || record->task->epoch != known->second.epoch)) {
    this->RemoveTask(aContext, aJob, record);
  }
  if (record == nullptr) {
    this->DropProposal(aJob);
    this->queue.Remove(aJob);
    this->failures.ForgetJob(aJob);
    return;
  }
  const auto proposal = this->proposals.find(aJob);
  if (proposal != this->proposals.end() &&
      (record->epoch >= proposal->second.epoch ||
       record->state != state::JobState::Waiting)) {
    this->DropProposal(aJob);
  }
  if (hasTask) {
    this->UpdateTask(aContext, aJob, *record);
    return;
  }
  this->Enqueue(aContext, aJob, *record);
}

void
JobTracker::Enqueue(Context& aContext,
                    const JobId& aJob,
                    const state::JobRecord& aRecord)
{
  if (aRecord.state != state::JobState::Waiting) {
    this->queue.Remove(aJob);
    this->failures.ForgetJob(aJob);
    return;
  }
  if (this->proposals.contains(aJob)) {
    return;
  }
  this->queue.Put(aJob, aRecord);
  this->dirtyPools.insert(aRecord.pool);
  (void)aContext;
}

void
JobTracker::AddTask(Context& aContext,
                    const JobId& aJob,
                    const state::JobRecord& aRecord)
{
  const state::TaskRecord& task = *aRecord.task;
  LiveTask entry;
  entry.instance = task.instance;
  entry.epoch = task.epoch;
  entry.team = aRecord.team;
  entry.service = aRecord.service;
  entry.pool = aRecord.pool;
  entry.slots = aRecord.slots;
  entry.declared = aRecord.size;
  entry.charged = task.charged;
  entry.reserved = task.charged;
  entry.shareCharge =
    this->sizes.ExpectedUsage(aRecord.service, aRecord.team, aRecord.size);
  entry.startedAt = aContext.now;
  entry.shareChargeSince = aContext.now;
  this->queue.Remove(aJob);
  this->loads.Add(entry.instance, entry.team, entry.reserved, entry.slots);
  this->ledger.Charge(entry.team, entry.shareCharge);
  this->tasksByTeam[entry.team].emplace(aContext.now, aJob);
  this->liveSlots[entry.team] += entry.slots;
  if (this->failures.TrustOf(entry.instance, aContext.now) ==
      WorkerTrust::ProbeDue) {
    this->failures.ProbeStarted(entry.instance);
  }
  this->live.emplace(aJob, std::move(entry));
}

void
JobTracker::UpdateTask(Context& aContext,
                       const JobId& aJob,
                       const state::JobRecord& aRecord)
{
  if (!this->live.contains(aJob)) {
    this->AddTask(aContext, aJob, aRecord);
  }
  LiveTask& task = this->live.at(aJob);
  if (aRecord.task->leaseEnd != task.leaseEnd) {
    task.leaseEnd = aRecord.task->leaseEnd;
    this->RenewLease(aContext, aJob, task);
  }
  if (aRecord.task->state != state::TaskState::Placed) {
    task.started = true;
    this->ApplyUsage(task, aRecord.task->usage, aContext.now);
  }
  this->UpdateInstruction(aContext, aJob, aRecord);
}

void
JobTracker::RenewLease(Context& aContext, const JobId& aJob, LiveTask& aTask)
{
  const auto job = aContext.state.Jobs().find(aJob);
  const Duration lease = job->second.task->lease;
  this->leaseExpiries.erase({ aTask.expiresAt, aJob });
  aTask.expiresAt = aContext.now + WithClockMargin(lease);
  this->leaseExpiries.emplace(aTask.expiresAt, aJob);
}

// The share is charged the reported usage once it is known. On the instance, at
// least the size charged at start stays reserved, since the usage may still
// rise.
void
JobTracker::ApplyUsage(LiveTask& aTask,
                       const state::Resources& aUsage,
                       Time aNow)
{
  if (IsZero(aUsage)) {
    return;
  }
  aTask.peakUsage = ComponentMax(aTask.peakUsage, aUsage);
  const state::Resources reserved = ComponentMax(aTask.charged, aUsage);
  if (!(reserved == aTask.reserved)) {
    this->loads.Remove(aTask.instance, aTask.team, aTask.reserved, aTask.slots);
    this->loads.Add(aTask.instance, aTask.team, reserved, aTask.slots);
    aTask.reserved = reserved;
  }
  if (!(aUsage == aTask.shareCharge)) {
    state::Resources error = aUsage;
    error -= aTask.shareCharge;
    this->ledger.Charge(aTask.team, error);
    this->ledger.Correct(aTask.team, error, aNow - aTask.shareChargeSince);
    aTask.shareCharge = aUsage;
    aTask.shareChargeSince = aNow;
  }
}

void
JobTracker::UpdateInstruction(Context& aContext,
                              const JobId& aJob,
                              const state::JobRecord& aRecord)
{
  const state::TaskRecord& task = *aRecord.task;
  Instruction instruction;
  instruction.instance = task.instance;
  instruction.job = aJob;
  instruction.epoch = task.epoch;
  instruction.lease = WorkerLease(task.lease);
  if (task.requested.has_value()) {
    instruction.kind = InstructionKind::StopTask;
    instruction.mode = *task.requested;
    this->outbox.KeepSending(instruction, aContext.now);
  } else if (!this->live.at(aJob).started) {
    instruction.kind = InstructionKind::StartTask;
    instruction.resume = aRecord.checkpointed;
    this->outbox.KeepSending(instruction, aContext.now);
  } else {
    this->outbox.StopSending(task.instance, aJob);
  }
}

void
JobTracker::RemoveTask(Context& aContext,
                       const JobId& aJob,
                       const state::JobRecord* aRecord)
{
  const LiveTask task = this->live.at(aJob);
  this->live.erase(aJob);
  this->leaseExpiries.erase({ task.expiresAt, aJob });
  this->outbox.StopSending(task.instance, aJob);
  this->loads.Remove(task.instance, task.team, task.reserved, task.slots);
  this->ledger.Charge(task.team, Negated(task.shareCharge));
  this->liveSlots[task.team] -= task.slots;
  const auto teamTasks = this->tasksByTeam.find(task.team);
  teamTasks->second.erase({ task.startedAt, aJob });
  if (teamTasks->second.empty()) {
    this->tasksByTeam.erase(teamTasks);
  }
  this->dirtyPools.insert(task.pool);
  if (!IsZero(task.peakUsage) && !IsZero(task.declared)) {
    this->sizes.Learn(task.service, task.team, task.declared, task.peakUsage);
  }
  if (aRecord != nullptr) {
    this->RecordOutcome(aContext, aJob, task, *aRecord);
  }
}

// A job is never placed again on an instance where it failed. If the instance
// is in the job's failedOn set, it is therefore this task that failed.
void
JobTracker::RecordOutcome(Context& aContext,
                          const JobId& aJob,
                          const LiveTask& aTask,
                          const state::JobRecord& aRecord)
{
  if (aRecord.state == state::JobState::Done) {
    this->failures.TaskSucceeded(aTask.instance);
    return;
  }
  if (!aRecord.failedOn.contains(aTask.instance)) {
    this->failures.ProbeEnded(aTask.instance, aContext.now);
    return;
  }
  const bool elsewhere = aRecord.failedOn.size() > 1;
  if (this->failures.TaskFailed(
        aTask.instance, aJob, elsewhere, aContext.now)) {
    aContext.Log(
      LogDecision{ .kind = "place",
                   .subject = aTask.instance.value,
                   .team = {},
                   .pool = aTask.pool,
                   .candidates = {},
                   .chosen = "taken out",
                   .rule = "failing worker",
                   .reason = "at least 3 tasks of 2 jobs failed only here" });
  }
}

void
JobTracker::OnUsage(Context& aContext, const UsageReported& aReport)
{
  for (const state::TaskReport& report : aReport.reports) {
    const auto found = this->live.find(report.job);
    if (found == this->live.end() || found->second.epoch != report.epoch ||
        found->second.instance != aReport.instance) {
      continue;
    }
    const bool isLive = report.state == state::TaskState::Running ||
                        report.state == state::TaskState::Throttled;
    if (!isLive) {
      continue;
    }
    this->RenewLease(aContext, report.job, found->second);
    this->ApplyUsage(found->second, report.usage, aContext.now);
    if (aContext.now - found->second.startedAt > kUsageSettlingTime &&
        !IsZero(report.usage) && !IsZero(found->second.declared)) {
      this->sizes.Learn(found->second.service,
                        found->second.team,
                        found->second.declared,
                        found->second.peakUsage);
    }
  }
}

void
JobTracker::OnProposed(Context& aContext,
                       const JobId& aJob,
                       const state::JobRecord& aRecord,
                       const state::PlaceTask& aPlacement)
{
  Proposal proposal{ aPlacement.instance,
                     aPlacement.epoch,
                     aRecord.team,
                     aRecord.slots,
                     aPlacement.charged,
                     {},
                     aContext.now + kProposalTimeout };
  proposal.shareCharge =
    this->sizes.ExpectedUsage(aRecord.service, aRecord.team, aRecord.size);
  this->queue.Remove(aJob);
  this->loads.Add(
    proposal.instance, proposal.team, proposal.size, proposal.slots);
  this->reservations.Add(proposal.team, proposal.slots);
  this->ledger.Charge(proposal.team, proposal.shareCharge);
  this->proposalTimeouts.emplace(proposal.timeoutAt, aJob);
  ++this->proposalsByInstance[proposal.instance];
  this->proposals.insert_or_assign(aJob, std::move(proposal));
}

void
JobTracker::DropProposal(const JobId& aJob)
{
  const auto found = this->proposals.find(aJob);
  if (found == this->proposals.end()) {
    return;
  }
  const Proposal& proposal = found->second;
  this->loads.Remove(
    proposal.instance, proposal.team, proposal.size, proposal.slots);
  this->reservations.Remove(proposal.team, proposal.slots);
  this->ledger.Charge(proposal.team, Negated(proposal.shareCharge));
  this->proposalTimeouts.erase({ proposal.timeoutAt, aJob });
  const auto count = this->proposalsByInstance.find(proposal.instance);
  if (--count->second == 0) {
    this->proposalsByInstance.erase(count);
  }
  this->proposals.erase(found);
}

void
JobTracker::OnPlacementRefused(Context& aContext,
                               const state::PlaceTask& aPlacement)
{
  const auto found = this->proposals.find(aPlacement.job);
  if (found == this->proposals.end() ||
      found->second.epoch != aPlacement.epoch) {
    return;
  }
  this->DropProposal(aPlacement.job);
  this->deferred.emplace(aContext.now + kRefusalRetryDelay, aPlacement.job);
}

void
JobTracker::Defer(Context& aContext, const JobId& aJob)
{
  this->queue.Remove(aJob);
  this->deferred.emplace(aContext.now + kDeferDelay, aJob);
}

bool
JobTracker::HasProposalOn(const InstanceId& aInstance) const
{
  return this->proposalsByInstance.contains(aInstance);
}

void
JobTracker::OnTick(Context& aContext)
{
  while (!this->proposalTimeouts.empty() &&
         this->proposalTimeouts.begin()->first <= aContext.now) {
    const JobId job = this->proposalTimeouts.begin()->second;
    this->DropProposal(job);
    this->deferred.emplace(aContext.now, job);
  }
  while (!this->deferred.empty() &&
         this->deferred.begin()->first <= aContext.now) {
    const JobId job = this->deferred.begin()->second;
    this->deferred.erase(this->deferred.begin());
    this->OnJobChanged(aContext, job);
  }
  this->ExpireLeases(aContext);
}

void
JobTracker::ExpireLeases(Context& aContext)
{
  while (!this->leaseExpiries.empty() &&
         this->leaseExpiries.begin()->first <= aContext.now &&
         aContext.TakeDecision()) {
    const JobId job = this->leaseExpiries.begin()->second;
    this->leaseExpiries.erase(this->leaseExpiries.begin());
    LiveTask& task = this->live.at(job);
    task.expiresAt = aContext.now + kEndTaskRetryInterval;
    this->leaseExpiries.emplace(task.expiresAt, job);
    aContext.Propose(
      state::EndTask{ job,
                      task.epoch,
                      state::TaskState::Unknown,
                      "the lease and its margin passed without a report" });
  }
}

const LiveTask*
JobTracker::Find(const JobId& aJob) const
{
  const auto found = this->live.find(aJob);
  return found == this->live.end() ? nullptr : &found->second;
}

std::uint32_t
JobTracker::LiveSlots(const TeamId& aTeam) const
{
  const auto found = this->liveSlots.find(aTeam);
  return found == this->liveSlots.end() ? 0 : found->second;
}

const std::set<std::pair<Time, JobId>>&
JobTracker::TasksOf(const TeamId& aTeam) const
{
  static const std::set<std::pair<Time, JobId>> kNoTasks;
  const auto found = this->tasksByTeam.find(aTeam);
  return found == this->tasksByTeam.end() ? kNoTasks : found->second;
}

std::set<PoolId>
JobTracker::TakeDirtyPools()
{
  std::set<PoolId> taken;
  taken.swap(this->dirtyPools);
  return taken;
}

} // namespace hyssoppaddle::planner
