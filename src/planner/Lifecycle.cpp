// Advances an instance through a planned stop. Waiting times are measured with
// the monotonic clock of this process from when this leader saw the phase, so
// that a leader whose wall clock is ahead stops nothing early.
#include "planner/Lifecycle.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

constexpr int kMaxInstancesPerTick = 64;
// After this time no entry instance sends new work to a departing upstream
// (invariant 8 of docs/design.md).
constexpr Duration kDeparturePropagation{ std::chrono::seconds(2) };
constexpr Duration kProposalInterval{ std::chrono::seconds(2) };
constexpr Duration kRebootTimeout{ std::chrono::seconds(900) };
constexpr Duration kDepartureTimeout{ std::chrono::seconds(600) };

bool
IsInTransition(const state::InstanceRecord& aRecord)
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
                     InstructionOutbox& aOutbox,
                     Budget& aBudget)
  : jobs(aJobs)
  , outbox(aOutbox)
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
  if (found == aContext.state.Instances().end() ||
      !IsInTransition(found->second)) {
    const auto known = this->progress.find(aInstance);
    if (known != this->progress.end()) {
      this->outbox.StopSending(aInstance, JobId());
      this->progress.erase(known);
      this->targets.erase(aInstance);
    }
    return;
  }
  this->TrackPhase(
    aContext, aInstance, found->second, this->progress[aInstance]);
  this->Advance(aContext, aInstance);
}

void
Lifecycle::TrackPhase(Context& aContext,
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
    this->outbox.StopSending(aInstance, JobId());
    aProgress.phaseSince = aContext.now;
    aProgress.notBefore = aContext.now;
    aProgress.checkpointsRequested = false;
    if (aRecord.phase == Draining) {
      aProgress.departedAt.reset();
    }
  }
  aProgress.phase = aRecord.phase;
  // The state machine clears the purpose when an instance is lost. It is kept
  // here because the planned stop continues afterwards.
  if (aRecord.phase != Lost) {
    aProgress.purpose = aRecord.purpose;
  }
}

void
Lifecycle::OnRefused(Context& aContext, const InstanceId& aInstance)
{
  const auto found = this->progress.find(aInstance);
  if (found != this->progress.end()) {
    found->second.notBefore = aContext.now + kProposalInterval;
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
    std::min<std::size_t>(kMaxInstancesPerTick, this->progress.size());
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
  static constexpr std::array<PhaseHandler, 8> kHandlers{
    &Lifecycle::OnExpected, &Lifecycle::OnServing,   &Lifecycle::OnDraining,
    &Lifecycle::OnStopped,  &Lifecycle::OnRebooting, &Lifecycle::OnSoaking,
    &Lifecycle::OnMoving,   &Lifecycle::OnLost,
  };
  const auto found = aContext.state.Instances().find(aInstance);
  if (found == aContext.state.Instances().end() ||
      aContext.decisionsLeft == 0) {
    return;
  }
  (this->*kHandlers.at(static_cast<std::size_t>(found->second.phase)))(
    aContext, aInstance, found->second, this->progress[aInstance]);
}

void
Lifecycle::ProposePhase(Context& aContext,
                        const InstanceId& aInstance,
                        const state::InstanceRecord& aRecord,
                        Progress& aProgress,
                        state::InstancePhase aTo,
                        state::StopPurpose aPurpose,
                        const std::string& aReason)
{
  if (aContext.now < aProgress.notBefore || !aContext.TakeDecision()) {
    return;
  }
  aProgress.notBefore = aContext.now + kProposalInterval;
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
    this->ProposePhase(aContext,
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
  aProgress.notBefore = aContext.now + kProposalInterval;
  if (aRecord.requested == state::InstanceAction::Move) {
    if (this->budget.ProposeDrain(aContext,
                                  aInstance,
                                  state::StopPurpose::Move,
                                  "requested by an operator")) {
      this->SetTarget(aInstance, aRecord.requestedPool);
    }
    return;
  }
  if (aRecord.retired) {
    this->budget.ProposeDrain(aContext,
                              aInstance,
                              state::StopPurpose::OperatorDrain,
                              "no longer in the bundle");
  } else if (aRecord.requested == state::InstanceAction::Drain) {
    this->budget.ProposeDrain(aContext,
                              aInstance,
                              state::StopPurpose::OperatorDrain,
                              "requested by an operator");
  }
}

Duration
Lifecycle::MaxRequestDuration(const Context& aContext,
                              const PoolId& aPool) const
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
           this->MaxRequestDuration(aContext, aRecord.pool) &&
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
    this->outbox.KeepSending(drain, aContext.now);
    return;
  }
  this->outbox.StopSending(aInstance, JobId());
  if (!aProgress.departedAt) {
    aProgress.departedAt = aContext.now;
  }
  if (aContext.now - aProgress.phaseSince >=
      aContext.state.ActiveBundle().policy.drainTime) {
    this->RequestCheckpoints(aContext, aInstance, aProgress);
  }
  if (aRecord.purpose == state::StopPurpose::None) {
    // The upstream departed without a planned stop. It counts as lost when it
    // does not return in time.
    if (aContext.now - aProgress.phaseSince > kDepartureTimeout) {
      this->ProposePhase(aContext,
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
  const bool changesPool = aRecord.purpose == state::StopPurpose::Move ||
                           aRecord.purpose == state::StopPurpose::Repair;
  this->ProposePhase(aContext,
                     aInstance,
                     aRecord,
                     aProgress,
                     changesPool ? Moving : Stopped,
                     aRecord.purpose,
                     "drained");
}

void
Lifecycle::RequestCheckpoints(Context& aContext,
                              const InstanceId& aInstance,
                              Progress& aProgress)
{
  if (aProgress.checkpointsRequested) {
    return;
  }
  for (const JobId& job : aContext.state.JobsOn(aInstance)) {
    const state::JobRecord& record = aContext.state.Jobs().at(job);
    if (record.task->requested.has_value()) {
      continue;
    }
    if (!aContext.TakeDecision()) {
      return;
    }
    aContext.Propose(state::StopTask{ job,
                                      record.task->epoch,
                                      state::StopMode::Checkpoint,
                                      "its instance drains for a planned "
                                      "stop" });
  }
  aProgress.checkpointsRequested = true;
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
  this->ProposePhase(aContext,
                     aInstance,
                     aRecord,
                     aProgress,
                     Rebooting,
                     aRecord.purpose,
                     wantsReturn ? "return requested by an operator"
                                 : "drained");
}

void
Lifecycle::OnRebooting(Context& aContext,
                       const InstanceId& aInstance,
                       const state::InstanceRecord& aRecord,
                       Progress& aProgress)
{
  const state::UpstreamRecord* upstream = UpstreamOf(aContext, aInstance);
  if (IsBackWithNewBoot(upstream, aRecord)) {
    this->outbox.StopSending(aInstance, JobId());
    this->ProposePhase(aContext,
                       aInstance,
                       aRecord,
                       aProgress,
                       Soaking,
                       state::StopPurpose::None,
                       "announced with a new boot");
    return;
  }
  if (aContext.now - aProgress.phaseSince > kRebootTimeout) {
    this->ProposePhase(aContext,
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
  this->outbox.KeepSending(reboot, aContext.now);
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
  if (isTrusted && aContext.wallNow >= aRecord.since + soak) {
    this->ProposePhase(aContext,
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
    if (aContext.TakeDecision()) {
      aProgress.notBefore = aContext.now + kProposalInterval;
      aContext.Propose(state::MoveInstance{ aInstance, aRecord.pool, to });
    }
    return;
  }
  const bool neverSeen = aRecord.bootIdAtStop.empty();
  this->ProposePhase(aContext,
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
  // A drained upstream may end before its stop is recorded. Nothing was lost,
  // so the planned stop continues.
  const bool plannedStop = aProgress.departedAt.has_value() &&
                           aProgress.purpose != state::StopPurpose::None &&
                           HasDeparted(UpstreamOf(aContext, aInstance)) &&
                           aContext.state.JobsOn(aInstance).empty();
  if (plannedStop) {
    const bool changesPool = aProgress.purpose == state::StopPurpose::Move ||
                             aProgress.purpose == state::StopPurpose::Repair;
    this->ProposePhase(aContext,
                       aInstance,
                       aRecord,
                       aProgress,
                       changesPool ? Moving : Stopped,
                       aProgress.purpose,
                       "the upstream ended after its drain");
    return;
  }
  if (aRecord.requested == state::InstanceAction::Move) {
    this->SetTarget(aInstance, aRecord.requestedPool);
    this->ProposePhase(aContext,
                       aInstance,
                       aRecord,
                       aProgress,
                       Moving,
                       state::StopPurpose::Move,
                       "requested by an operator");
  }
}

} // namespace hyssoppaddle::planner
