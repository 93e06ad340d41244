// Dispatches events to the units of the planner in a fixed order, within the
// limit of decisions per step.
#include "planner/Planner.h"

#include "planner/PlannerImpl.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hyssoppaddle::planner {

Planner::Planner(PlannerOptions aOptions, const state::FleetState& aState)
  : impl(std::make_unique<Impl>(aOptions, aState))
{
}

Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner&
Planner::operator=(Planner&&) noexcept = default;

Effects
Planner::Step(const Event& aEvent, Time aNow, WallTime aWallNow)
{
  Effects effects;
  Context context{
    this->impl->state,
    this->impl->options,
    aNow,
    aWallNow,
    effects,
    this->impl->options.maxDecisionsPerStep,
  };
  this->impl->now = aNow;
  this->impl->wallNow = aWallNow;
  std::visit([&](const auto& aConcrete) { this->impl->On(context, aConcrete); },
             aEvent);
  if (this->impl->isLeader) {
    this->impl->Finish(context);
  }
  return effects;
}

std::vector<wire::TeamDemand>
Planner::Recalls(const InstanceId& aEntry) const
{
  return this->impl->permits.Recalls(aEntry);
}

std::vector<Instruction>
Planner::PendingInstructions(const InstanceId& aInstance, Time aNow) const
{
  return this->impl->outbox.PendingFor(aInstance, aNow);
}

Planner::Impl::Impl(const PlannerOptions& aOptions,
                    const state::FleetState& aState)
  : options(aOptions)
  , state(aState)
  , permits(this->reservations)
  , jobs(this->loads, this->ledger, this->reservations, this->outbox)
  , placement(this->jobs, this->loads, this->ledger, this->reservations)
  , budget(this->history)
  , lifecycle(this->jobs, this->outbox, this->budget)
  , demand(this->jobs, this->loads, this->permits)
  , caps(this->demand, this->loads, this->jobs, this->permits)
  , reclaimer(this->jobs, this->ledger)
  , maintenance(this->budget, this->history)
  , transfers(this->budget, this->lifecycle)
  , balancer(this->demand, this->loads, this->budget, this->transfers)
  , repair(this->history, this->balancer, this->transfers)
{
}

void
Planner::Impl::ResetAll(Time aNow)
{
  this->reservations.Clear();
  this->loads.Clear();
  this->outbox.Clear();
  this->ledger.Reset(aNow);
  this->jobs.Reset();
  this->placement.Reset();
  this->history.Clear();
  this->budget.Clear();
  this->lifecycle.Clear();
  this->permits.Reset(aNow);
  this->caps.Clear();
  this->reclaimer.Clear();
  this->maintenance.Reset(aNow);
  this->transfers.Clear();
  this->balancer.Clear();
  this->repair.Clear();
}

void
Planner::Impl::On(Context& aContext, const BecameLeader& /*aEvent*/)
{
  this->isLeader = true;
  this->ResetAll(aContext.now);
  this->ReadBundle(aContext);
  this->maintenance.OnWaves(aContext);
  for (const auto& [instance, record] : this->state.Instances()) {
    this->OnInstance(aContext, instance);
  }
  for (const auto& [job, record] : this->state.Jobs()) {
    this->jobs.OnJobChanged(aContext, job);
  }
}

void
Planner::Impl::On(Context& /*aContext*/, const LostLeadership& /*aEvent*/)
{
  this->isLeader = false;
}

void
Planner::Impl::ReadBundle(Context& aContext)
{
  const state::Bundle& bundle = this->state.ActiveBundle();
  this->ledger.SetWindow(bundle.policy.shareWindow);
  for (const state::TeamSpec& team : bundle.teams) {
    this->ledger.SetShare(team.name, team.share);
  }
  this->demand.ReadBundle(bundle);
  this->balancer.ReadBundle(bundle);
  this->permits.OnBundle(aContext);
}

void
Planner::Impl::OnInstance(Context& aContext, const InstanceId& aInstance)
{
  const auto found = this->state.Instances().find(aInstance);
  if (this->loads.Refresh(this->state, aInstance) &&
      found != this->state.Instances().end()) {
    this->jobs.MarkDirty(found->second.pool);
  }
  this->budget.OnInstance(this->state, aInstance);
  this->history.OnInstance(this->state,
                           aInstance,
                           this->state.ActiveBundle().policy.soakTime,
                           aContext.now);
  this->maintenance.OnInstance(aContext, aInstance);
  this->transfers.OnInstance(aContext, aInstance);
  this->lifecycle.OnInstance(aContext, aInstance);
}

void
Planner::Impl::On(Context& aContext, const StateChanged& aEvent)
{
  if (!this->isLeader) {
    return;
  }
  const state::Changes& changes = aEvent.changes;
  if (changes.bundle) {
    this->ReadBundle(aContext);
  }
  if (changes.waves) {
    this->maintenance.OnWaves(aContext);
  }
  for (const InstanceId& instance : changes.upstreams) {
    this->OnInstance(aContext, instance);
  }
  for (const InstanceId& instance : changes.instances) {
    this->OnInstance(aContext, instance);
  }
  for (const JobId& job : changes.jobs) {
    this->jobs.OnJobChanged(aContext, job);
  }
  for (const InstanceId& entry : changes.entries) {
    this->permits.OnEntryChanged(aContext, entry);
  }
}

void
Planner::Impl::On(Context& aContext, const EntryRenewed& aEvent)
{
  if (this->isLeader) {
    this->permits.OnRenewed(aContext, aEvent);
  }
}

void
Planner::Impl::On(Context& aContext, const UsageReported& aEvent)
{
  if (this->isLeader) {
    this->jobs.OnUsage(aContext, aEvent);
  }
}

void
Planner::Impl::On(Context& aContext, const CommandRefused& aEvent)
{
  if (!this->isLeader) {
    return;
  }
  if (const auto* grant = std::get_if<state::GrantPermits>(&aEvent.command)) {
    this->permits.OnRefused(aContext, *grant);
  }
  if (const auto* place = std::get_if<state::PlaceTask>(&aEvent.command)) {
    this->jobs.OnPlacementRefused(aContext, *place);
  }
  if (const auto* phase =
        std::get_if<state::SetInstancePhase>(&aEvent.command)) {
    this->budget.OnRefused(phase->instance);
    this->lifecycle.OnRefused(aContext, phase->instance);
  }
}

void
Planner::Impl::On(Context& aContext, const Tick& /*aEvent*/)
{
  if (!this->isLeader) {
    return;
  }
  this->ledger.Advance(aContext.now);
  this->ledger.SetCapacity(this->loads.Capacity());
  this->permits.OnTick(aContext);
  this->jobs.OnTick(aContext);
  this->budget.OnTick(aContext.now);
  this->placement.Sweep(aContext);
  this->UpdateWaitingTaskSlots();
  this->ChargeRequests();
  this->caps.OnTick(aContext);
  this->reclaimer.OnTick(aContext);
  this->lifecycle.OnTick(aContext);
  this->transfers.OnTick(aContext);
  this->repair.OnTick(aContext);
  this->maintenance.OnTick(aContext);
  this->balancer.OnTick(aContext, this->maintenance.BlockedPools());
}

// Relayed requests use slots of the same workers as tasks, so they count
// towards the share. Each slot in use is charged the average capacity per slot
// of the fleet.
void
Planner::Impl::ChargeRequests()
{
  const auto slots =
    static_cast<std::int64_t>(std::max<std::uint64_t>(1, this->loads.Slots()));
  const state::Resources& capacity = this->loads.Capacity();
  for (const state::TeamSpec& team : this->state.ActiveBundle().teams) {
    const auto inUse =
      static_cast<std::int64_t>(this->permits.Demand(team.name).inUse);
    this->ledger.SetRequests(team.name,
                             { capacity.milliCpus * inUse / slots,
                               capacity.memoryMb * inUse / slots,
                               0 });
  }
}

// Passes on the slots of jobs that only their team's limit keeps from running,
// so that idle permits are recalled for them.
void
Planner::Impl::UpdateWaitingTaskSlots()
{
  for (const auto& [team, slots] : this->placement.HeldByLimit()) {
    const std::uint64_t waiting = this->jobs.Queue().TeamSlots(team);
    this->permits.SetWaitingTaskSlots(
      team, static_cast<std::uint32_t>(std::min<std::uint64_t>(waiting, 1000)));
  }
}

// Runs at the end of every step: places jobs and sends due instructions.
void
Planner::Impl::Finish(Context& aContext)
{
  this->ledger.Advance(aContext.now);
  this->placement.Run(aContext);
  this->outbox.SendDue(aContext);
}

} // namespace hyssoppaddle::planner
