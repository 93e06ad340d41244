// The slow part of placement: jobs that can never run, and large jobs that
// small ones keep from fitting. One pool per tick.
#include "planner/Placement.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr int kSweptPerLine = 16;
// A job of the team that goes first gets an instance kept free when it found no
// room for this long. Shorter times leave slots idle for nothing: the next end
// of a task usually makes the room.
constexpr Duration kHoldForShareAfter{ 1000000 };
// At most one instance in this number, and one, is kept free in a pool.
constexpr std::size_t kHoldsPerInstances = 4;

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
  // Tasks of the pool may fit again for reasons that no change reports, such
  // as a limit that other pools freed.
  this->jobs.MarkDirty(aPool);
  const std::uint32_t largest = this->LargestSlots(aContext, aPool);
  // Collected first, because a finding takes jobs out of the queue.
  std::vector<JobId> heads;
  for (const auto& [workClass, teams] :
       this->jobs.Queue().Find(aPool)->classes) {
    for (const auto& [team, line] : teams) {
      int swept = 0;
      for (const auto& [submittedAt, job] : line) {
        if (++swept > kSweptPerLine) {
          break;
        }
        heads.push_back(job);
      }
    }
  }
  for (const JobId& job : heads) {
    if (aContext.left > 0) {
      this->SweepJob(aContext, aPool, job, largest);
    }
  }
}

// Slots of the largest instance that the pool has or had; 0 while one of its
// instances has not announced itself, since that one may be larger.
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

// Empty when the job may run some day.
std::string
Placement::WhyNever(const Context& aContext,
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
  const std::string reason = this->WhyNever(aContext, record, aLargestSlots);
  if (reason.empty()) {
    return;
  }
  aContext.Take();
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
Placement::CleanHolds(const PoolId& aPool)
{
  const auto found = this->holds.find(aPool);
  if (found == this->holds.end()) {
    return;
  }
  std::erase_if(found->second, [this](const auto& aHold) {
    return !this->jobs.Queue().Has(aHold.second);
  });
  if (found->second.empty()) {
    this->holds.erase(found);
  }
}

// The team furthest below its share goes first, so smaller jobs of others must
// not take every gap for ever.
void
Placement::OnNoRoom(Context& aContext, const PoolId& aPool, const Pick& aPick)
{
  const JobId job = aPick.line->begin()->second;
  const auto found = aContext.state.Jobs().find(job);
  const Time since =
    this->noRoomSince.try_emplace(std::pair(aPool, aPick.team), aContext.now)
      .first->second;
  if (found != aContext.state.Jobs().end() &&
      aContext.now - since >= kHoldForShareAfter) {
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
  if (isHeld || held.size() > pool.instances / kHoldsPerInstances ||
      this->reservations.Free(aContext.state, aRecord.team) < aRecord.slots ||
      this->Choose(aContext, aPool, aJob, aRecord)) {
    return;
  }
  for (const auto& [minusFree, instance] : pool.byFree) {
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
