// The way of one instance through a planned stop. Waiting times count on this
// process's clock from when this leader saw the phase, so that a leader whose
// wall clock is ahead stops nothing early.
#include "planner/Lifecycle.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

constexpr int kAdvancedPerTick = 64;
// Entry instances send no new work to a departing upstream after this time
// (invariant 8 of docs/design.md).
constexpr Duration kDeparturePropagation{ 2000000 };
constexpr Duration kProposalPause{ 2000000 };
constexpr Duration kRebootLimit{ 900000000 };
constexpr Duration kDepartedLimit{ 600000000 };

bool
OnItsWay(const state::InstanceRecord& aRecord)
{
  if (aRecord.phase == Serving) {
    return aRecord.retired || aRecord.requested.has_value();
  }
  if (aRecord.phase == Expected) {
    return aRecord.requested == state::InstanceAction::Move;
  }
  return true;
}

const state::UpstreamRecord*
UpstreamOf(const Context& aContext, const InstanceId& aInstance)
{
  const auto found = aContext.state.Upstreams().find(aInstance);
  return found == aContext.state.Upstreams().end() ? nullptr : &found->second;
}

bool
HasDeparted(const state::UpstreamRecord* aUpstream)
{
  return aUpstream != nullptr &&
         aUpstream->announcement.state == state::UpstreamState::Departing;
}

bool
IsBackWithNewBoot(const state::UpstreamRecord* aUpstream,
                  const state::InstanceRecord& aRecord)
{
  return aUpstream != nullptr &&
         aUpstream->state == state::UpstreamState::Serving &&
         aUpstream->announcement.boot != aRecord.bootIdAtStop;
}

} // namespace

Lifecycle::Lifecycle(JobTracker& aJobs,
                     OwedInstructions& aOwed,
                     Budget& aBudget)
  : jobs(aJobs)
  , owed(aOwed)
  , budget(aBudget)
{
}

void
Lifecycle::Clear()
{
  this->progress.clear();
  this->targets.clear();
}

void
Lifecycle::SetTarget(const InstanceId& aInstance, const PoolId& aPool)
{
  this->targets[aInstance] = aPool;
}

std::optional<PoolId>
Lifecycle::TargetOf(const InstanceId& aInstance) const
{
  const auto found = this->targets.find(aInstance);
  return found == this->targets.end() ? std::nullopt
                                      : std::optional(found->second);
}

void
Lifecycle::OnInstance(Context& aContext, const InstanceId& aInstance)
{
  const auto found = aContext.state.Instances().find(aInstance);
  if (found == aContext.state.Instances().end() || !OnItsWay(found->second)) {
    const auto known = this->progress.find(aInstance);
    if (known != this->progress.end()) {
      this->owed.Settle(aInstance, JobId());
      this->progress.erase(known);
      this->targets.erase(aInstance);
    }
    return;
  }
  this->Follow(aContext, aInstance, found->second, this->progress[aInstance]);
  this->Advance(aContext, aInstance);
}

void
Lifecycle::Follow(Context& aContext,
                  const InstanceId& aInstance,
                  const state::InstanceRecord& aRecord,
                  Progress& aProgress)
{
  const bool isNew = aProgress.phaseSince == Time{};
  if (!isNew && aProgress.phase == aRecord.phase &&
      aProgress.purpose == aRecord.purpose) {
    return;
  }
  if (aProgress.phase != aRecord.phase || isNew) {
    this->owed.Settle(aInstance, JobId());
    aProgress.phaseSince = aContext.now;
    aProgress.notBefore = aContext.now;
    aProgress.checkpointsAsked = false;
    if (aRecord.phase == Draining) {
      aProgress.departedAt.reset();
    }
  }
  aProgress.phase = aRecord.phase;
  // A loss clears the recorded purpose; the planned stop goes on afterwards.
  if (aRecord.phase != Lost) {
    aProgress.purpose = aRecord.purpose;
  }
}

void
Lifecycle::OnRefused(Context& aContext, const InstanceId& aInstance)
{
  const auto found = this->progress.find(aInstance);
  if (found != this->progress.end()) {
    found->second.notBefore = aContext.now + kProposalPause;
  }
}

void
Lifecycle::OnTick(Context& aContext)
{
  if (this->progress.empty()) {
    return;
  }
  auto next = this->progress.upper_bound(this->cursor);
  const std::size_t count =
    std::min<std::size_t>(kAdvancedPerTick, this->progress.size());
  std::vector<InstanceId> due;
  for (std::size_t step = 0; step < count; ++step) {
    if (next == this->progress.end()) {
      next = this->progress.begin();
    }
    due.push_back(next->first);
    ++next;
  }
  for (const InstanceId& instance : due) {
    this->cursor = instance;
    this->Advance(aContext, instance);
  }
}

void
Lifecycle::Advance(Context& aContext, const InstanceId& aInstance)
{
  static constexpr std::array<Step, 8> kSteps{
    &Lifecycle::OnExpected, &Lifecycle::OnServing,   &Lifecycle::OnDraining,
    &Lifecycle::OnStopped,  &Lifecycle::OnRebooting, &Lifecycle::OnSoaking,
    &Lifecycle::OnMoving,   &Lifecycle::OnLost,
  };
  const auto found = aContext.state.Instances().find(aInstance);
  if (found == aContext.state.Instances().end() || aContext.left == 0) {
    return;
  }
  (this->*kSteps.at(static_cast<std::size_t>(found->second.phase)))(
    aContext, aInstance, found->second, this->progress[aInstance]);
}

void
Lifecycle::Go(Context& aContext,
              const InstanceId& aInstance,
              const state::InstanceRecord& aRecord,
              Progress& aProgress,
              state::InstancePhase aTo,
              state::StopPurpose aPurpose,
              const std::string& aReason)
{
  if (aContext.now < aProgress.notBefore || !aContext.Take()) {
    return;
  }
  aProgress.notBefore = aContext.now + kProposalPause;
  aContext.Propose(state::SetInstancePhase{
    aInstance, aRecord.phase, aTo, aPurpose, aReason });
}

void
Lifecycle::OnExpected(Context& aContext,
                      const InstanceId& aInstance,
                      const state::InstanceRecord& aRecord,
                      Progress& aProgress)
{
  if (aRecord.requested == state::InstanceAction::Move) {
    this->SetTarget(aInstance, aRecord.requestedPool);
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             Moving,
             state::StopPurpose::Move,
             "requested by an operator");
  }
}

void
Lifecycle::OnServing(Context& aContext,
                     const InstanceId& aInstance,
                     const state::InstanceRecord& aRecord,
                     Progress& aProgress)
{
  if (aContext.now < aProgress.notBefore) {
    return;
  }
  aProgress.notBefore = aContext.now + kProposalPause;
  if (aRecord.requested == state::InstanceAction::Move) {
    if (this->budget.Drain(aContext,
                           aInstance,
                           state::StopPurpose::Move,
                           "requested by an operator")) {
      this->SetTarget(aInstance, aRecord.requestedPool);
    }
    return;
  }
  if (aRecord.retired) {
    this->budget.Drain(aContext,
                       aInstance,
                       state::StopPurpose::OperatorDrain,
                       "no longer in the bundle");
  } else if (aRecord.requested == state::InstanceAction::Drain) {
    this->budget.Drain(aContext,
                       aInstance,
                       state::StopPurpose::OperatorDrain,
                       "requested by an operator");
  }
}

Duration
Lifecycle::RequestsEnd(const Context& aContext, const PoolId& aPool) const
{
  Duration longest{ 0 };
  bool known = false;
  for (const state::ServiceSpec& service :
       aContext.state.ActiveBundle().services) {
    if (service.pool == aPool) {
      longest = std::max(longest, service.maxDeadline);
      known = true;
    }
  }
  return WithClockMargin(kDeparturePropagation +
                         (known ? longest : aContext.options.maxDeadline));
}

bool
Lifecycle::IsDrained(const Context& aContext,
                     const InstanceId& aInstance,
                     const state::InstanceRecord& aRecord,
                     const Progress& aProgress) const
{
  return aProgress.departedAt.has_value() &&
         aContext.now - *aProgress.departedAt >=
           this->RequestsEnd(aContext, aRecord.pool) &&
         aContext.state.JobsOn(aInstance).empty();
}

void
Lifecycle::OnDraining(Context& aContext,
                      const InstanceId& aInstance,
                      const state::InstanceRecord& aRecord,
                      Progress& aProgress)
{
  const state::UpstreamRecord* upstream = UpstreamOf(aContext, aInstance);
  if (!HasDeparted(upstream)) {
    Instruction drain;
    drain.instance = aInstance;
    drain.kind = InstructionKind::Drain;
    this->owed.Owe(drain, aContext.now);
    return;
  }
  this->owed.Settle(aInstance, JobId());
  if (!aProgress.departedAt) {
    aProgress.departedAt = aContext.now;
  }
  if (aContext.now - aProgress.phaseSince >=
      aContext.state.ActiveBundle().policy.drainTime) {
    this->AskCheckpoints(aContext, aInstance, aProgress);
  }
  if (aRecord.purpose == state::StopPurpose::None) {
    // It left by itself; it is lost when it does not come back.
    if (aContext.now - aProgress.phaseSince > kDepartedLimit) {
      this->Go(aContext,
               aInstance,
               aRecord,
               aProgress,
               Lost,
               state::StopPurpose::None,
               "departed and did not come back");
    }
    return;
  }
  if (!this->IsDrained(aContext, aInstance, aRecord, aProgress)) {
    return;
  }
  const bool moves = aRecord.purpose == state::StopPurpose::Move ||
                     aRecord.purpose == state::StopPurpose::Repair;
  this->Go(aContext,
           aInstance,
           aRecord,
           aProgress,
           moves ? Moving : Stopped,
           aRecord.purpose,
           "drained");
}

void
Lifecycle::AskCheckpoints(Context& aContext,
                          const InstanceId& aInstance,
                          Progress& aProgress)
{
  if (aProgress.checkpointsAsked) {
    return;
  }
  for (const JobId& job : aContext.state.JobsOn(aInstance)) {
    const state::JobRecord& record = aContext.state.Jobs().at(job);
    if (record.task->requested.has_value()) {
      continue;
    }
    if (!aContext.Take()) {
      return;
    }
    aContext.Propose(state::StopTask{ job,
                                      record.task->epoch,
                                      state::StopMode::Checkpoint,
                                      "its instance drains for a planned "
                                      "stop" });
  }
  aProgress.checkpointsAsked = true;
}

void
Lifecycle::OnStopped(Context& aContext,
                     const InstanceId& aInstance,
                     const state::InstanceRecord& aRecord,
                     Progress& aProgress)
{
  const bool wantsReturn = aRecord.requested == state::InstanceAction::Return;
  const bool isHeld =
    aRecord.purpose == state::StopPurpose::OperatorDrain && !wantsReturn;
  if (isHeld || aRecord.retired) {
    return;
  }
  this->Go(aContext,
           aInstance,
           aRecord,
           aProgress,
           Rebooting,
           aRecord.purpose,
           wantsReturn ? "return requested by an operator" : "drained");
}

void
Lifecycle::OnRebooting(Context& aContext,
                       const InstanceId& aInstance,
                       const state::InstanceRecord& aRecord,
                       Progress& aProgress)
{
  const state::UpstreamRecord* upstream = UpstreamOf(aContext, aInstance);
  if (IsBackWithNewBoot(upstream, aRecord)) {
    this->owed.Settle(aInstance, JobId());
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             Soaking,
             state::StopPurpose::None,
             "announced with a new boot");
    return;
  }
  if (aContext.now - aProgress.phaseSince > kRebootLimit) {
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             Lost,
             state::StopPurpose::None,
             "did not return from its reboot");
    return;
  }
  Instruction reboot;
  reboot.instance = aInstance;
  reboot.kind = InstructionKind::Reboot;
  this->owed.Owe(reboot, aContext.now);
}

void
Lifecycle::OnSoaking(Context& aContext,
                     const InstanceId& aInstance,
                     const state::InstanceRecord& aRecord,
                     Progress& aProgress)
{
  const Duration soak = aContext.state.ActiveBundle().policy.soakTime;
  const bool isTrusted = this->jobs.Failures().TrustOf(
                           aInstance, aContext.now) == WorkerTrust::Trusted;
  if (isTrusted && aContext.wall >= aRecord.since + soak) {
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             Serving,
             state::StopPurpose::None,
             "soaked");
  }
}

void
Lifecycle::OnMoving(Context& aContext,
                    const InstanceId& aInstance,
                    const state::InstanceRecord& aRecord,
                    Progress& aProgress)
{
  if (aContext.now < aProgress.notBefore) {
    return;
  }
  const auto target = this->targets.find(aInstance);
  const PoolId to =
    target == this->targets.end() ? aRecord.movingToPool : target->second;
  if (!to.empty() && to != aRecord.pool) {
    if (aContext.Take()) {
      aProgress.notBefore = aContext.now + kProposalPause;
      aContext.Propose(state::MoveInstance{ aInstance, aRecord.pool, to });
    }
    return;
  }
  const bool neverSeen = aRecord.bootIdAtStop.empty();
  this->Go(aContext,
           aInstance,
           aRecord,
           aProgress,
           neverSeen ? Expected : Rebooting,
           state::StopPurpose::Move,
           "restarts in its new pool");
}

void
Lifecycle::OnLost(Context& aContext,
                  const InstanceId& aInstance,
                  const state::InstanceRecord& aRecord,
                  Progress& aProgress)
{
  // A drained upstream may end before the stop is recorded. Its stop goes on;
  // nothing was lost.
  const bool plannedStop = aProgress.departedAt.has_value() &&
                           aProgress.purpose != state::StopPurpose::None &&
                           HasDeparted(UpstreamOf(aContext, aInstance)) &&
                           aContext.state.JobsOn(aInstance).empty();
  if (plannedStop) {
    const bool moves = aProgress.purpose == state::StopPurpose::Move ||
                       aProgress.purpose == state::StopPurpose::Repair;
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             moves ? Moving : Stopped,
             aProgress.purpose,
             "the upstream ended after its drain");
    return;
  }
  if (aRecord.requested == state::InstanceAction::Move) {
    this->SetTarget(aInstance, aRecord.requestedPool);
    this->Go(aContext,
             aInstance,
             aRecord,
             aProgress,
             Moving,
             state::StopPurpose::Move,
             "requested by an operator");
  }
}

} // namespace hyssoppaddle::planner
