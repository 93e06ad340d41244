// Derived facts about jobs. Everything is updated from the changed jobs alone.
#include "planner/JobTracker.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

// A refused placement is tried again after this time, so that a refusal that
// repeats causes no loop.
constexpr Duration kRefusedDelay{ 500000 };
constexpr Duration kProposalTimeout{ 10000000 };
constexpr Duration kEndingDelay{ 5000000 };
constexpr Duration kEndRetry{ 1000000 };
// Usage reported earlier than this is still rising.
constexpr Duration kSettledUsage{ 10000000 };

state::Resources
Larger(const state::Resources& aLeft, const state::Resources& aRight)
{
  return { std::max(aLeft.milliCpus, aRight.milliCpus),
           std::max(aLeft.memoryMb, aRight.memoryMb),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

state::Resources
Negative(const state::Resources& aAmount)
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
                       OwedInstructions& aOwed)
  : loads(aLoads)
  , ledger(aLedger)
  , reservations(aReservations)
  , owed(aOwed)
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
  this->proposalsOn.clear();
  this->byTeam.clear();
  this->liveSlots.clear();
  this->leases.clear();
  this->deferred.clear();
  this->proposalEnds.clear();
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
    this->Close(aContext, aJob, record);
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
    this->Update(aContext, aJob, *record);
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
JobTracker::Open(Context& aContext,
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
  entry.held =
    this->sizes.Expected(aRecord.service, aRecord.team, aRecord.size);
  entry.startedAt = aContext.now;
  entry.heldSince = aContext.now;
  this->queue.Remove(aJob);
  this->loads.Add(entry.instance, entry.team, entry.reserved, entry.slots);
  this->ledger.Charge(entry.team, entry.held);
  this->byTeam[entry.team].emplace(aContext.now, aJob);
  this->liveSlots[entry.team] += entry.slots;
  if (this->failures.TrustOf(entry.instance, aContext.now) ==
      WorkerTrust::ProbeDue) {
    this->failures.ProbeStarted(entry.instance);
  }
  this->live.emplace(aJob, std::move(entry));
}

void
JobTracker::Update(Context& aContext,
                   const JobId& aJob,
                   const state::JobRecord& aRecord)
{
  if (!this->live.contains(aJob)) {
    this->Open(aContext, aJob, aRecord);
  }
  LiveTask& task = this->live.at(aJob);
  if (aRecord.task->leaseEnd != task.leaseEnd) {
    task.leaseEnd = aRecord.task->leaseEnd;
    this->Renew(aContext, aJob, task);
  }
  if (aRecord.task->state != state::TaskState::Placed) {
    task.started = true;
    this->ApplyUsage(task, aRecord.task->usage, aContext.now);
  }
  this->OweFor(aContext, aJob, aRecord);
}

void
JobTracker::Renew(Context& aContext, const JobId& aJob, LiveTask& aTask)
{
  const auto job = aContext.state.Jobs().find(aJob);
  const Duration lease = job->second.task->lease;
  this->leases.erase({ aTask.expiresAt, aJob });
  aTask.expiresAt = aContext.now + WithClockMargin(lease);
  this->leases.emplace(aTask.expiresAt, aJob);
}

// The share is charged what is used once that is known; the instance keeps
// what was charged at start free, since usage may still rise.
void
JobTracker::ApplyUsage(LiveTask& aTask,
                       const state::Resources& aUsage,
                       Time aNow)
{
  if (IsZero(aUsage)) {
    return;
  }
  aTask.peak = Larger(aTask.peak, aUsage);
  const state::Resources reserved = Larger(aTask.charged, aUsage);
  if (!(reserved == aTask.reserved)) {
    this->loads.Remove(aTask.instance, aTask.team, aTask.reserved, aTask.slots);
    this->loads.Add(aTask.instance, aTask.team, reserved, aTask.slots);
    aTask.reserved = reserved;
  }
  if (!(aUsage == aTask.held)) {
    state::Resources error = aUsage;
    error -= aTask.held;
    this->ledger.Charge(aTask.team, error);
    this->ledger.Correct(aTask.team, error, aNow - aTask.heldSince);
    aTask.held = aUsage;
    aTask.heldSince = aNow;
  }
}

void
JobTracker::OweFor(Context& aContext,
                   const JobId& aJob,
                   const state::JobRecord& aRecord)
{
  const state::TaskRecord& task = *aRecord.task;
  Instruction instruction;
  instruction.instance = task.instance;
  instruction.job = aJob;
  instruction.epoch = task.epoch;
  instruction.lease = task.lease;
  if (task.requested.has_value()) {
    instruction.kind = InstructionKind::StopTask;
    instruction.mode = *task.requested;
    this->owed.Owe(instruction, aContext.now);
  } else if (!this->live.at(aJob).started) {
    instruction.kind = InstructionKind::StartTask;
    instruction.resume = aRecord.checkpointed;
    this->owed.Owe(instruction, aContext.now);
  } else {
    this->owed.Settle(task.instance, aJob);
  }
}

void
JobTracker::Close(Context& aContext,
                  const JobId& aJob,
                  const state::JobRecord* aRecord)
{
  const LiveTask task = this->live.at(aJob);
  this->live.erase(aJob);
  this->leases.erase({ task.expiresAt, aJob });
  this->owed.Settle(task.instance, aJob);
  this->loads.Remove(task.instance, task.team, task.reserved, task.slots);
  this->ledger.Charge(task.team, Negative(task.held));
  this->liveSlots[task.team] -= task.slots;
  const auto ofTeam = this->byTeam.find(task.team);
  ofTeam->second.erase({ task.startedAt, aJob });
  if (ofTeam->second.empty()) {
    this->byTeam.erase(ofTeam);
  }
  this->dirtyPools.insert(task.pool);
  if (!IsZero(task.peak) && !IsZero(task.declared)) {
    this->sizes.Learn(task.service, task.team, task.declared, task.peak);
  }
  if (aRecord != nullptr) {
    this->Judge(aContext, aJob, task, *aRecord);
  }
}

// A job is never placed again on an instance where it failed, so the instance
// in its list means that this task failed.
void
JobTracker::Judge(Context& aContext,
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
    this->Renew(aContext, report.job, found->second);
    this->ApplyUsage(found->second, report.usage, aContext.now);
    if (aContext.now - found->second.startedAt > kSettledUsage &&
        !IsZero(report.usage) && !IsZero(found->second.declared)) {
      this->sizes.Learn(found->second.service,
                        found->second.team,
                        found->second.declared,
                        found->second.peak);
    }
  }
}

void
JobTracker::Proposed(Context& aContext,
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
  proposal.held =
    this->sizes.Expected(aRecord.service, aRecord.team, aRecord.size);
  this->queue.Remove(aJob);
  this->loads.Add(
    proposal.instance, proposal.team, proposal.size, proposal.slots);
  this->reservations.Add(proposal.team, proposal.slots);
  this->ledger.Charge(proposal.team, proposal.held);
  this->proposalEnds.emplace(proposal.until, aJob);
  ++this->proposalsOn[proposal.instance];
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
  this->ledger.Charge(proposal.team, Negative(proposal.held));
  this->proposalEnds.erase({ proposal.until, aJob });
  const auto count = this->proposalsOn.find(proposal.instance);
  if (--count->second == 0) {
    this->proposalsOn.erase(count);
  }
  this->proposals.erase(found);
}

void
JobTracker::PlacementRefused(Context& aContext,
                             const state::PlaceTask& aPlacement)
{
  const auto found = this->proposals.find(aPlacement.job);
  if (found == this->proposals.end() ||
      found->second.epoch != aPlacement.epoch) {
    return;
  }
  this->DropProposal(aPlacement.job);
  this->deferred.emplace(aContext.now + kRefusedDelay, aPlacement.job);
}

void
JobTracker::Defer(Context& aContext, const JobId& aJob)
{
  this->queue.Remove(aJob);
  this->deferred.emplace(aContext.now + kEndingDelay, aJob);
}

bool
JobTracker::HasProposalOn(const InstanceId& aInstance) const
{
  return this->proposalsOn.contains(aInstance);
}

void
JobTracker::OnTick(Context& aContext)
{
  while (!this->proposalEnds.empty() &&
         this->proposalEnds.begin()->first <= aContext.now) {
    const JobId job = this->proposalEnds.begin()->second;
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
  while (!this->leases.empty() && this->leases.begin()->first <= aContext.now &&
         aContext.Take()) {
    const JobId job = this->leases.begin()->second;
    this->leases.erase(this->leases.begin());
    LiveTask& task = this->live.at(job);
    task.expiresAt = aContext.now + kEndRetry;
    this->leases.emplace(task.expiresAt, job);
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
  static const std::set<std::pair<Time, JobId>> kNone;
  const auto found = this->byTeam.find(aTeam);
  return found == this->byTeam.end() ? kNone : found->second;
}

std::set<PoolId>
JobTracker::TakeDirtyPools()
{
  std::set<PoolId> taken;
  taken.swap(this->dirtyPools);
  return taken;
}

} // namespace hyssoppaddle::planner
