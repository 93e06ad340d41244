// Submission, cancellation, expiry and indexes of jobs.
#include "state/JobTable.h"

#include <vector>

namespace hyssoppaddle::state {

namespace {

bool
IsSameJob(const JobRecord& aRecord, const SubmitJob& aCommand)
{
  return aRecord.team == aCommand.team && aRecord.service == aCommand.service &&
         aRecord.workClass == aCommand.workClass &&
         aRecord.size == aCommand.size && aRecord.slots == aCommand.slots &&
         aRecord.runTime == aCommand.runTime &&
         aRecord.idempotent == aCommand.idempotent &&
         aRecord.payload == aCommand.payload;
}

bool
IsNegative(const Resources& aSize)
{
  return aSize.milliCpus < 0 || aSize.memoryMb < 0 || aSize.accelerators < 0;
}

JobRecord
MakeRecord(const SubmitJob& aCommand, const PoolId& aPool, WallTime aNow)
{
  JobRecord record;
  record.team = aCommand.team;
  record.service = aCommand.service;
  record.pool = aPool;
  record.workClass = aCommand.workClass;
  record.size = aCommand.size;
  record.slots = aCommand.slots;
  record.runTime = aCommand.runTime;
  record.idempotent = aCommand.idempotent;
  record.payload = aCommand.payload;
  record.submittedAt = aNow;
  return record;
}

bool
HasEnded(JobState aState)
{
  return aState != JobState::Waiting && aState != JobState::Placed;
}

Outcome
CheckFields(const SubmitJob& aCommand)
{
  if (aCommand.job.empty() || aCommand.job.value.size() > kMaxJobIdBytes) {
    return Refuse(ErrorCode::InvalidArgument, "a job ID has 1 to 256 bytes");
  }
  if (aCommand.payload.size() > kMaxJobPayloadBytes) {
    return Refuse(ErrorCode::TooLarge, "a payload has at most 256 KiB");
  }
  if (aCommand.slots == 0 || IsNegative(aCommand.size) ||
      aCommand.runTime < Duration(0)) {
    return Refuse(ErrorCode::InvalidArgument,
                  "a job needs at least 1 slot, and its size and run time are "
                  "not negative");
  }
  return Accept();
}

} // namespace

JobTable::JobTable(JobBounds aBounds)
  : bounds(aBounds)
{
}

Outcome
JobTable::Submit(const SubmitJob& aCommand,
                 const BundleTable& aBundles,
                 Context& aContext)
{
  const JobRecord* known = this->records.Find(aCommand.job);
  if (known != nullptr) {
    return IsSameJob(*known, aCommand)
             ? AcceptRepeated("the job was already submitted")
             : Refuse(ErrorCode::Conflict, "another job has this ID");
  }
  if (Outcome outcome = this->CheckSubmit(aCommand, aBundles); !outcome.Ok()) {
    return outcome;
  }
  const PoolId& pool = aBundles.FindService(aCommand.service)->pool;
  const auto added =
    this->records.Add(aCommand.job, MakeRecord(aCommand, pool, aContext.now));
  this->AddToIndexes(added);
  aContext.changes.jobs.push_back(aCommand.job);
  return Accept("the job waits in pool " + pool.value);
}

Outcome
JobTable::CheckSubmit(const SubmitJob& aCommand,
                      const BundleTable& aBundles) const
{
  if (Outcome outcome = CheckFields(aCommand); !outcome.Ok()) {
    return outcome;
  }
  if (aBundles.FindTeam(aCommand.team) == nullptr) {
    return Refuse(ErrorCode::NotFound,
                  "no team is named " + aCommand.team.value);
  }
  const ServiceSpec* service = aBundles.FindService(aCommand.service);
  if (service == nullptr) {
    return Refuse(ErrorCode::NotFound,
                  "no service is named " + aCommand.service.value);
  }
  const std::uint32_t limit = aBundles.LimitOf(aCommand.team);
  if (aCommand.slots > limit) {
    return Refuse(ErrorCode::InvalidArgument,
                  "cannot_run: the job needs " +
                    std::to_string(aCommand.slots) +
                    " slots, but the limit of team " + aCommand.team.value +
                    " is " + std::to_string(limit));
  }
  if (!aBundles.FitsPool(aCommand.size, service->pool)) {
    return Refuse(ErrorCode::InvalidArgument,
                  "cannot_run: the job fits no instance of pool " +
                    service->pool.value);
  }
  if (this->records.Count() >= this->bounds.jobs) {
    return Refuse(ErrorCode::Unavailable,
                  "not run: " + std::to_string(this->bounds.jobs) +
                    " jobs are kept already");
  }
  return Accept();
}

Outcome
JobTable::Cancel(const CancelJobs& aCommand, Context& aContext)
{
  std::size_t cancelled = 0;
  std::size_t stopping = 0;
  std::size_t ended = 0;
  std::size_t unknown = 0;
  for (const JobId& job : aCommand.jobs) {
    const Entry entry = this->records.FindEntry(job);
    // A job of another team counts as unknown, so that its existence is not
    // revealed.
    if (entry == this->records.End() || entry->second.team != aCommand.team) {
      ++unknown;
    } else if (entry->second.state == JobState::Waiting) {
      entry->second.reason = "cancelled by its team";
      this->SetState(entry, JobState::Cancelled, aContext);
      ++cancelled;
    } else if (entry->second.state == JobState::Placed) {
      entry->second.cancelRequested = true;
      entry->second.task->requested = StopMode::Stop;
      aContext.changes.jobs.push_back(job);
      ++stopping;
    } else {
      ++ended;
    }
  }
  return Accept("cancelled " + std::to_string(cancelled) + ", stopping " +
                std::to_string(stopping) + ", ended before " +
                std::to_string(ended) + ", unknown " + std::to_string(unknown));
}

Outcome
JobTable::EndWaiting(const EndJob& aCommand, Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.job);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound, "no job has this ID");
  }
  if (entry->second.state != JobState::Waiting) {
    return Refuse(ErrorCode::Conflict, "the job does not wait");
  }
  entry->second.reason = aCommand.reason;
  this->SetState(entry,
                 aCommand.cannotRun ? JobState::CannotRun : JobState::Failed,
                 aContext);
  return Accept();
}

void
JobTable::Reconcile(const Bundle& aOld,
                    const BundleTable& aBundles,
                    Context& aContext)
{
  const Bundle& bundle = aBundles.Active();
  if (aOld.pools == bundle.pools && aOld.services == bundle.services) {
    return;
  }
  std::vector<JobId> affected;
  for (const auto& [pool, jobs] : this->waiting) {
    for (const auto& [submittedAt, job] : jobs) {
      const JobRecord& record = *this->records.Find(job);
      const ServiceSpec* service = aBundles.FindService(record.service);
      if (service == nullptr || service->pool != pool ||
          !aBundles.FitsPool(record.size, pool)) {
        affected.push_back(job);
      }
    }
  }
  for (const JobId& job : affected) {
    const Entry entry = this->records.FindEntry(job);
    JobRecord& record = entry->second;
    const ServiceSpec* service = aBundles.FindService(record.service);
    if (service != nullptr && aBundles.FitsPool(record.size, service->pool)) {
      this->RemoveFromIndexes(entry);
      record.pool = service->pool;
      this->AddToIndexes(entry);
      aContext.changes.jobs.push_back(job);
      continue;
    }
    record.reason = service == nullptr
                      ? "cannot_run: the bundle has no such service any more"
                      : "cannot_run: the job fits no instance of pool " +
                          service->pool.value + " any more";
    this->SetState(entry, JobState::CannotRun, aContext);
  }
}

void
JobTable::Expire(WallTime aNow)
{
  const auto dropOldest = [&](WaitingSet& aEnded, std::size_t aBound) {
    while (!aEnded.empty() &&
           (aEnded.size() > aBound ||
            aEnded.begin()->first + kEndedJobRetention <= aNow)) {
      this->Erase(JobId(aEnded.begin()->second));
    }
  };
  dropOldest(this->endedIdempotent, this->bounds.endedIdempotent);
  dropOldest(this->endedOther, this->bounds.jobs);
}

const JobRecord*
JobTable::Find(const JobId& aJob) const
{
  return this->records.Find(aJob);
}

const JobTable::WaitingSet&
JobTable::WaitingIn(const PoolId& aPool) const
{
  static const WaitingSet kNoJobs;
  const auto found = this->waiting.find(aPool);
  return found == this->waiting.end() ? kNoJobs : found->second;
}

const std::set<JobId>&
JobTable::PlacedOn(const InstanceId& aInstance) const
{
  static const std::set<JobId> kNoJobs;
  const auto found = this->onInstance.find(aInstance);
  return found == this->onInstance.end() ? kNoJobs : found->second;
}

std::uint32_t
JobTable::SlotsOf(const TeamId& aTeam) const
{
  const auto found = this->slots.find(aTeam);
  return found == this->slots.end() ? 0 : found->second;
}

void
JobTable::Load(std::map<JobId, JobRecord> aRecords)
{
  this->records.Load(std::move(aRecords));
  this->waiting.clear();
  this->onInstance.clear();
  this->slots.clear();
  this->endedIdempotent.clear();
  this->endedOther.clear();
  for (Entry entry = this->records.Begin(); entry != this->records.End();
       ++entry) {
    this->AddToIndexes(entry);
  }
}

void
JobTable::SetState(Entry aEntry, JobState aState, Context& aContext)
{
  this->RemoveFromIndexes(aEntry);
  aEntry->second.state = aState;
  if (aState != JobState::Placed) {
    aEntry->second.task.reset();
  }
  if (HasEnded(aState)) {
    aEntry->second.endedAt = aContext.now;
  }
  this->AddToIndexes(aEntry);
  aContext.changes.jobs.push_back(aEntry->first);
}

void
JobTable::AddToIndexes(Entry aEntry)
{
  const auto& [job, record] = *aEntry;
  if (record.state == JobState::Waiting) {
    this->waiting[record.pool].emplace(record.submittedAt, job);
  } else if (record.state == JobState::Placed) {
    this->onInstance[record.task->instance].insert(job);
    this->slots[record.team] += record.slots;
  } else {
    (record.idempotent ? this->endedIdempotent : this->endedOther)
      .emplace(record.endedAt.value_or(WallTime{}), job);
  }
}

void
JobTable::RemoveFromIndexes(Entry aEntry)
{
  const auto& [job, record] = *aEntry;
  if (record.state == JobState::Waiting) {
    const auto pool = this->waiting.find(record.pool);
    pool->second.erase({ record.submittedAt, job });
    if (pool->second.empty()) {
      this->waiting.erase(pool);
    }
  } else if (record.state == JobState::Placed) {
    const auto instance = this->onInstance.find(record.task->instance);
    instance->second.erase(job);
    if (instance->second.empty()) {
      this->onInstance.erase(instance);
    }
    const auto team = this->slots.find(record.team);
    team->second -= record.slots;
    if (team->second == 0) {
      this->slots.erase(team);
    }
  } else {
    (record.idempotent ? this->endedIdempotent : this->endedOther)
      .erase({ record.endedAt.value_or(WallTime{}), job });
  }
}

void
JobTable::Erase(const JobId& aJob)
{
  const Entry entry = this->records.FindEntry(aJob);
  this->RemoveFromIndexes(entry);
  this->records.Erase(entry);
}

} // namespace hyssoppaddle::state
