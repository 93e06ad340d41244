// Handles the effects of the request path and the planner: turns them into
// commands for the log or into effects for the shell.
#include "core/ReducerImpl.h"

#include <type_traits>
#include <utility>

namespace hyssoppaddle::core {

void
Reducer::Impl::Run(request::Effects aEffects)
{
  for (request::Effect& effect : aEffects) {
    std::visit(
      [this, &effect](auto& aConcrete) {
        using T = std::decay_t<decltype(aConcrete)>;
        if constexpr (std::is_same_v<T, request::ClaimNeeded> ||
                      std::is_same_v<T, request::ClaimEnded> ||
                      std::is_same_v<T, request::SendReturnPermits> ||
                      std::is_same_v<T, request::RenewNow>) {
          this->Run(aConcrete);
        } else {
          this->effects.emplace_back(std::move(effect));
        }
      },
      effect);
  }
}

void
Reducer::Impl::Run(const request::ClaimNeeded& aEffect)
{
  Origin origin;
  origin.kind = OriginKind::Claim;
  origin.request = aEffect.request;
  state::Command command;
  command.body = aEffect.claim;
  this->Submit(std::move(origin), std::move(command));
}

void
Reducer::Impl::Run(const request::ClaimEnded& aEffect)
{
  state::Command command;
  command.body = aEffect.finish;
  this->Submit(Origin{}, std::move(command));
}

void
Reducer::Impl::Run(const request::SendReturnPermits& aEffect)
{
  state::Command command;
  command.body = aEffect.permits;
  this->Submit(Origin{}, std::move(command));
}

void
Reducer::Impl::Run(const request::RenewNow& /*aEffect*/)
{
  if (this->renewals.MaySendNow(this->now)) {
    this->SendRenewal();
  }
}

void
Reducer::Impl::Run(planner::Effects aEffects)
{
  for (planner::Effect& effect : aEffects) {
    std::visit(
      [this](auto& aConcrete) {
        using T = std::decay_t<decltype(aConcrete)>;
        if constexpr (std::is_same_v<T, planner::LogDecision>) {
          this->effects.emplace_back(std::move(aConcrete));
        } else {
          this->Run(aConcrete);
        }
      },
      effect);
  }
}

std::uint32_t
Reducer::Impl::CountUnconfirmedInstances(const PoolId& aPool) const
{
  std::uint32_t count = 0;
  for (const InstanceId& suspect : this->liveness.SuspectedUpstreams()) {
    const auto record = this->state.Instances().find(suspect);
    const bool counts = record != this->state.Instances().end() &&
                        record->second.pool == aPool &&
                        record->second.phase == state::InstancePhase::Serving;
    count += counts ? 1 : 0;
  }
  return count;
}

bool
Reducer::Impl::MustDeferStop(const state::SetInstancePhase& aStop) const
{
  const auto record = this->state.Instances().find(aStop.instance);
  if (aStop.to != state::InstancePhase::Draining ||
      record == this->state.Instances().end()) {
    return false;
  }
  const PoolId& pool = record->second.pool;
  const std::uint32_t unconfirmed = this->CountUnconfirmedInstances(pool);
  const state::PoolSpec* spec = this->state.FindPool(pool);
  const std::uint32_t needed = spec == nullptr ? 0 : spec->minAvailable;
  return unconfirmed > 0 &&
         this->state.AvailableIn(pool) < needed + unconfirmed + 1;
}

void
Reducer::Impl::Run(const planner::ProposeCommand& aEffect)
{
  const auto* stop = std::get_if<state::SetInstancePhase>(&aEffect.command);
  if (stop != nullptr && this->MustDeferStop(*stop)) {
    this->pendingEvents.emplace_back(planner::Event(planner::CommandRefused{
      aEffect.command,
      "upstreams of the pool are not confirmed to be alive; the stop waits "
      "until they are heard or marked lost" }));
    return;
  }
  Origin origin;
  origin.kind = OriginKind::Planner;
  state::Command command;
  command.body = aEffect.command;
  this->Submit(std::move(origin), std::move(command));
}

std::string
Reducer::Impl::BootFor(const planner::Instruction& aInstruction) const
{
  const bool isForTask =
    aInstruction.kind == planner::InstructionKind::StartTask ||
    aInstruction.kind == planner::InstructionKind::StopTask;
  if (isForTask) {
    const auto job = this->state.Jobs().find(aInstruction.job);
    const bool isLive = job != this->state.Jobs().end() && job->second.task &&
                        job->second.task->epoch == aInstruction.epoch;
    return isLive ? job->second.task->boot : std::string();
  }
  const auto instance = this->state.Instances().find(aInstruction.instance);
  return instance == this->state.Instances().end()
           ? std::string()
           : instance->second.bootIdAtStop;
}

void
Reducer::Impl::Run(const planner::SendInstruction& aEffect)
{
  const auto upstream =
    this->state.Upstreams().find(aEffect.instruction.instance);
  if (upstream == this->state.Upstreams().end()) {
    return;
  }
  DeliverInstruction deliver;
  deliver.instruction = aEffect.instruction;
  deliver.instruction.boot = this->BootFor(aEffect.instruction);
  if (deliver.instruction.boot != upstream->second.announcement.boot) {
    return;
  }
  deliver.address = upstream->second.announcement.address;
  deliver.service = upstream->second.announcement.service;
  const auto job = this->state.Jobs().find(aEffect.instruction.job);
  if (job != this->state.Jobs().end()) {
    deliver.payload = job->second.payload;
    deliver.service = job->second.service;
  }
  this->effects.emplace_back(std::move(deliver));
}

} // namespace hyssoppaddle::core
