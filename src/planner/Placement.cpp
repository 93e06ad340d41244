// Chooses the next job and its instance.
#include "planner/Placement.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hyssoppaddle::planner {

namespace {

// Number of jobs of one team that are tried when its oldest job does not fit.
constexpr int kMaxTriedPerTeam = 4;
// Number of instances scanned for one job, and number of fitting instances that
// are compared.
constexpr int kMaxScannedInstances = 32;
constexpr std::size_t kMaxComparedInstances = 8;
constexpr std::size_t kMaxFailedInstances = 3;
// A work class without a placed job for this long gets the next placement.
constexpr Duration kMaxClassWait{ std::chrono::seconds(30) };

} // namespace

Placement::Placement(JobTracker& aJobs,
                     InstanceLoads& aLoads,
                     ShareLedger& aLedger,
                     Reservations& aReservations)
  : jobs(aJobs)
  , loads(aLoads)
  , ledger(aLedger)
  , reservations(aReservations)
{
}

void
Placement::Reset()
{
  this->pendingPools.clear();
  this->heldByLimit.clear();
  this->holds.clear();
  this->noRoomSince.clear();
  this->lastServed.clear();
}

void
Placement::Run(Context& aContext)
{
  this->pendingPools.merge(this->jobs.TakeDirtyPools());
  while (!this->pendingPools.empty() && aContext.decisionsLeft > 0) {
    auto next = this->pendingPools.lower_bound(this->cursor);
    if (next == this->pendingPools.end()) {
      next = this->pendingPools.begin();
    }
    this->cursor = *next;
    if (!this->PlacePool(aContext, *next)) {
      return;
    }
    this->pendingPools.erase(next);
  }
}

// Returns true when nothing more can be placed in the pool now.
bool
Placement::PlacePool(Context& aContext, const PoolId& aPool)
{
  BlockedTeams blocked;
  this->RemoveStaleHolds(aPool);
  if (const auto* queue = this->jobs.Queue().Find(aPool); queue != nullptr) {
    for (const auto& [workClass, teams] : queue->classes) {
      this->lastServed.try_emplace(std::pair(aPool, workClass), aContext.now);
    }
  }
  while (aContext.decisionsLeft > 0) {
    const PoolLoad& load = this->loads.PoolOf(aPool);
    if (load.byFreeCapacity.empty()) {
      return true;
    }
    const std::optional<Pick> pick = this->NextPick(aContext, aPool, blocked);
    if (!pick) {
      return true;
    }
    if (!this->PlaceOne(aContext, aPool, *pick)) {
      if (blocked.empty()) {
        this->OnNoRoom(aContext, aPool, *pick);
      }
      blocked.emplace(pick->workClass, pick->team);
    }
  }
  return false;
}

std::optional<Placement::Pick>
Placement::NextPick(const Context& aContext,
                    const PoolId& aPool,
                    const BlockedTeams& aBlocked) const
{
  const PlacementQueue::Pool* queue = this->jobs.Queue().Find(aPool);
  if (queue == nullptr) {
    return std::nullopt;
  }
  for (const auto& [workClass, teams] : queue->classes) {
    const auto served = this->lastServed.find(std::pair(aPool, workClass));
    if (served != this->lastServed.end() &&
        aContext.now - served->second > kMaxClassWait) {
      if (auto pick = this->PickInClass(workClass, teams, aBlocked)) {
        return pick;
      }
    }
  }
  for (const auto& [workClass, teams] : queue->classes) {
    if (auto pick = this->PickInClass(workClass, teams, aBlocked)) {
      return pick;
    }
  }
  return std::nullopt;
}

std::optional<Placement::Pick>
Placement::PickInClass(state::WorkClass aClass,
                       const PlacementQueue::Teams& aTeams,
                       const BlockedTeams& aBlocked) const
{
  std::optional<Pick> best;
  std::tuple<double, WallTime> bestKey;
  for (const auto& [team, teamQueue] : aTeams) {
    if (aBlocked.contains(std::pair(aClass, team))) {
      continue;
    }
    const std::tuple key(this->ledger.PriorityKey(team),
                         teamQueue.begin()->first);
    if (!best || key < bestKey) {
      best = Pick{ aClass, team, &teamQueue };
      bestKey = key;
    }
  }
  return best;
}

bool
Placement::PlaceOne(Context& aContext, const PoolId& aPool, const Pick& aPick)
{
  std::vector<JobId> tried;
  for (const auto& [submittedAt, job] : *aPick.teamQueue) {
    tried.push_back(job);
    if (tried.size() == kMaxTriedPerTeam) {
      break;
    }
  }
  for (const JobId& job : tried) {
    if (this->TryJob(aContext, aPool, job)) {
      this->lastServed[std::pair(aPool, aPick.workClass)] = aContext.now;
      this->noRoomSince.erase(std::pair(aPool, aPick.team));
      return true;
    }
  }
  return false;
}

bool
Placement::TryJob(Context& aContext, const PoolId& aPool, const JobId& aJob)
{
  const auto found = aContext.state.Jobs().find(aJob);
  if (found == aContext.state.Jobs().end()) {
    this->jobs.OnJobChanged(aContext, aJob);
    return true;
  }
  const state::JobRecord& record = found->second;
  if (record.failedOn.size() >= kMaxFailedInstances) {
    aContext.TakeDecision();
    aContext.Propose(state::EndJob{
      aJob, false, "failed on 3 different instances: " + record.reason });
    this->jobs.Defer(aContext, aJob);
    return true;
  }
  if (this->reservations.FreeSlots(aContext.state, record.team) <
      record.slots) {
    this->heldByLimit[record.team] = record.slots;
    return false;
  }
  this->heldByLimit.erase(record.team);
  const std::optional<Choice> choice =
    this->Choose(aContext, aPool, aJob, record);
  if (!choice) {
    return false;
  }
  aContext.TakeDecision();
  this->Place(aContext, aJob, record, *choice);
  return true;
}

state::Resources
Placement::SizeOn(const state::JobRecord& aRecord,
                  const InstanceLoad& aLoad) const
{
  const state::Resources learned = this->jobs.Sizes().SizeToReserve(
    aRecord.service, aRecord.team, aRecord.size);
  // A learned size above the capacity of the whole instance would keep the job
  // from running anywhere.
  const auto clamp =
    [](std::int64_t aLearned, std::int64_t aDeclared, std::int64_t aCapacity) {
      return std::max(aDeclared, std::min(aLearned, aCapacity));
    };
  return {
    clamp(learned.milliCpus, aRecord.size.milliCpus, aLoad.capacity.milliCpus),
    clamp(learned.memoryMb, aRecord.size.memoryMb, aLoad.capacity.memoryMb),
    aRecord.size.accelerators
  };
}

bool
Placement::MayUse(const Context& aContext,
                  const PoolId& aPool,
                  const JobId& aJob,
                  const state::JobRecord& aRecord,
                  const InstanceId& aInstance) const
{
  if (aRecord.failedOn.contains(aInstance)) {
    return false;
  }
  if (const auto ofPool = this->holds.find(aPool);
      ofPool != this->holds.end()) {
    const auto hold = ofPool->second.find(aInstance);
    if (hold != ofPool->second.end() && hold->second != aJob) {
      return false;
    }
  }
  const WorkerTrust trust =
    this->jobs.Failures().TrustOf(aInstance, aContext.now);
  if (trust == WorkerTrust::Trusted) {
    return true;
  }
  // A probe task must not be a job that cannot be repeated, nor an urgent one.
  return trust == WorkerTrust::ProbeDue && aRecord.idempotent &&
         aRecord.failedOn.empty() &&
         aRecord.workClass != state::WorkClass::Preview &&
         !this->jobs.HasProposalOn(aInstance);
}

std::optional<Placement::Choice>
Placement::Choose(const Context& aContext,
                  const PoolId& aPool,
                  const JobId& aJob,
                  const state::JobRecord& aRecord) const
{
  using Score = std::tuple<std::uint32_t, std::uint32_t, std::int64_t>;
  std::optional<Choice> choice;
  Score best;
  int scanned = 0;
  for (const auto& [negatedFree, instance] :
       this->loads.PoolOf(aPool).byFreeCapacity) {
    if (++scanned > kMaxScannedInstances) {
      break;
    }
    const InstanceLoad& load = *this->loads.Find(instance);
    if (!load.Fits(this->SizeOn(aRecord, load), aRecord.slots) ||
        !this->MayUse(aContext, aPool, aJob, aRecord, instance)) {
      continue;
    }
    const Score score(this->loads.TasksIn(aRecord.team, load.rack),
                      this->loads.TasksIn(aRecord.team, load.dataCentre),
                      negatedFree);
    if (!choice) {
      choice.emplace();
    }
    if (choice->candidates.empty() || score < best) {
      best = score;
      choice->instance = instance;
    }
    choice->candidates.push_back(instance.value);
    if (choice->candidates.size() == kMaxComparedInstances) {
      break;
    }
  }
  return choice;
}

void
Placement::Place(Context& aContext,
                 const JobId& aJob,
                 const state::JobRecord& aRecord,
                 const Choice& aChoice)
{
  const InstanceLoad& load = *this->loads.Find(aChoice.instance);
  const state::PlaceTask placement{ aJob,
                                    aChoice.instance,
                                    aRecord.epoch + 1,
                                    aContext.options.taskLease,
                                    this->SizeOn(aRecord, load) };
  aContext.Propose(placement);
  aContext.Log(LogDecision{
    .kind = "place",
    .subject = aJob.value,
    .team = aRecord.team,
    .pool = aRecord.pool,
    .candidates = aChoice.candidates,
    .chosen = aChoice.instance.value,
    .rule = "class, share deficit, age; spread over racks",
    .reason = "fewest tasks of the team in its rack, then most free" });
  this->jobs.OnProposed(aContext, aJob, aRecord, placement);
}

std::vector<std::string>
Placement::Explain(const Context& aContext, const JobId& aJob) const
{
  const state::JobRecord& record = aContext.state.Jobs().at(aJob);
  std::vector<std::string> lines;
  const std::uint32_t free =
    this->reservations.FreeSlots(aContext.state, record.team);
  if (free < record.slots) {
    lines.push_back("it waits for the limit of team " + record.team.value +
                    ": it needs " + std::to_string(record.slots) +
                    " slots and " + std::to_string(free) + " are free");
    lines.emplace_back("it goes on when work of the team ends or its limit is "
                       "raised");
    return lines;
  }
  const PoolLoad& load = this->loads.PoolOf(record.pool);
  if (load.instances == 0) {
    lines.push_back("pool " + record.pool.value +
                    " has no instance that takes work");
    lines.emplace_back("it goes on when an instance of the pool serves");
    return lines;
  }
  if (!this->Choose(aContext, record.pool, aJob, record)) {
    lines.push_back(
      "no instance of pool " + record.pool.value +
      " has room for its size: " + std::to_string(load.usedSlots) + " of " +
      std::to_string(load.slots) + " slots are used");
    lines.emplace_back("it goes on when a task ends or an instance joins the "
                       "pool");
    return lines;
  }
  lines.emplace_back("work of a more urgent class or of a team further below "
                     "its share goes first");
  lines.emplace_back("it goes on when that work has been placed");
  return lines;
}

} // namespace hyssoppaddle::planner
