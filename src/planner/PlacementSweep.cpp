// The slow path of placement: ends jobs that can never run, one pool per tick,
// and keeps instances free for large jobs that small ones would otherwise
// block.
#include "planner/Placement.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr int kMaxSweptPerTeam = 16;
// An instance is kept free for a job of the team that goes first when the job
// has found no room for this long. A shorter time leaves slots idle without
// benefit, since the next task that ends usually makes room.
constexpr Duration kHoldDelay{ std::chrono::seconds(1) };
// In each pool at most one instance, plus one for every kInstancesPerHold
// instances, is kept free.
constexpr std::size_t kInstancesPerHold = 4;

} // namespace

void
Placement::Sweep(Context& aContext)
{
  const auto& pools = this->jobs.Queue().Pools();
  if (pools.empty()) {
    this->holds.clear();
    this->heldByLimit.clear();
    return;
  }
  auto next = pools.upper_bound(this->sweepCursor);
  if (next == pools.end()) {
    next = pools.begin();
  }
  this->sweepCursor = next->first;
  this->SweepPool(aContext, this->sweepCursor);
}

void
Placement::SweepPool(Context& aContext, const PoolId& aPool)
{
  // Jobs of the pool may fit again without a reported change, for example when
  // slots of a team's limit were freed in another pool.
  this->jobs.MarkDirty(aPool);
  const std::uint32_t largest = this->LargestSlots(aContext, aPool);
  // Collected first, because SweepJob() removes jobs from the queue.
  std::vector<JobId> heads;
  for (const auto& [workClass, teams] :
       this->jobs.Queue().Find(aPool)->classes) {
    for (const auto& [team, teamQueue] : teams) {
      int swept = 0;
      for (const auto& [submittedAt, job] : teamQueue) {
        if (++swept > kMaxSweptPerTeam) {
          break;
        }
        heads.push_back(job);
      }
    }
  }
  for (const JobId& job : heads) {
    if (aContext.decisionsLeft > 0) {
      this->SweepJob(aContext, aPool, job, largest);
    }
  }
}

// Number of slots of the largest instance that the pool has or had. Returns 0
// while one of its instances has not announced itself, since that one may be
// larger.
std::uint32_t
Placement::LargestSlots(const Context& aContext, const PoolId& aPool) const
{
  std::uint32_t largest = 0;
  for (const InstanceId& instance : aContext.state.InstancesOf(aPool)) {
    const auto upstream = aContext.state.Upstreams().find(instance);
    if (upstream == aContext.state.Upstreams().end()) {
      return 0;
    }
    largest = std::max(largest, upstream->second.announcement.slots);
  }
  return largest;
}

// Returns an empty string when the job may be able to run later.
std::string
Placement::CannotRunReason(const Context& aContext,
                           const state::JobRecord& aRecord,
                           std::uint32_t aLargestSlots) const
{
  const state::TeamSpec* team = aContext.state.FindTeam(aRecord.team);
  const std::string slots = std::to_string(aRecord.slots);
  if (team == nullptr || aRecord.slots > team->limit) {
    return "cannot_run: the limit of team " + aRecord.team.value +
           " is below the " + slots + " slots the job needs";
  }
  if (aLargestSlots > 0 && aRecord.slots > aLargestSlots) {
    return "cannot_run: the job needs " + slots +
           " slots and the largest instance of pool " + aRecord.pool.value +
           " has " + std::to_string(aLargestSlots);
  }
  return {};
}

void
Placement::SweepJob(Context& aContext,
                    const PoolId& aPool,
                    const JobId& aJob,
                    std::uint32_t aLargestSlots)
{
  const auto found = aContext.state.Jobs().find(aJob);
  if (found == aContext.state.Jobs().end()) {
    return;
  }
  const state::JobRecord& record = found->second;
  const std::string reason =
    this->CannotRunReason(aContext, record, aLargestSlots);
  if (reason.empty()) {
    return;
  }
  aContext.TakeDecision();
  aContext.Propose(state::EndJob{ aJob, true, reason });
  aContext.Log(LogDecision{ .kind = "place",
                            .subject = aJob.value,
                            .team = record.team,
                            .pool = aPool,
                            .candidates = {},
                            .chosen = "cannot run",
                            .rule = "fits nowhere",
                            .reason = reason,
                            .refusal = true });
  this->jobs.Defer(aContext, aJob);
}

void
Placement::RemoveStaleHolds(const PoolId& aPool)
{
  const auto found = this->holds.find(aPool);
  if (found == this->holds.end()) {
    return;
  }
  std::erase_if(found->second, [this](const auto& aHold) {
    return !this->jobs.Queue().Contains(aHold.second);
  });
  if (found->second.empty()) {
    this->holds.erase(found);
  }
}

// The team furthest below its share goes first, so smaller jobs of other teams
// must not take every free slot forever.
void
Placement::OnNoRoom(Context& aContext, const PoolId& aPool, const Pick& aPick)
{
  const JobId job = aPick.teamQueue->begin()->second;
  const auto found = aContext.state.Jobs().find(job);
  const Time since =
    this->noRoomSince.try_emplace(std::pair(aPool, aPick.team), aContext.now)
      .first->second;
  if (found != aContext.state.Jobs().end() &&
      aContext.now - since >= kHoldDelay) {
    this->HoldFor(aContext, aPool, job, found->second);
  }
}

void
Placement::HoldFor(Context& aContext,
                   const PoolId& aPool,
                   const JobId& aJob,
                   const state::JobRecord& aRecord)
{
  const PoolLoad& pool = this->loads.PoolOf(aPool);
  const Holds& held = this->holds[aPool];
  const bool isHeld = std::ranges::any_of(
    held, [&](const auto& aHold) { return aHold.second == aJob; });
  if (isHeld || held.size() > pool.instances / kInstancesPerHold ||
      this->reservations.FreeSlots(aContext.state, aRecord.team) <
        aRecord.slots ||
      this->Choose(aContext, aPool, aJob, aRecord)) {
    return;
  }
  for (const auto& [negatedFree, instance] : pool.byFreeCapacity) {
    InstanceLoad empty = *this->loads.Find(instance);
    empty.used = {};
    empty.usedSlots = 0;
    if (empty.Fits(this->SizeOn(aRecord, empty), aRecord.slots) &&
        this->MayUse(aContext, aPool, aJob, aRecord, instance)) {
      this->holds[aPool].emplace(instance, aJob);
      return;
    }
  }
}

} // namespace hyssoppaddle::planner
