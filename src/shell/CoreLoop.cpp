// Executes the effects of the core and calls the callbacks of the JSON API.
#include "shell/CoreLoop.h"

#include "shell/Clock.h"
#include "shell/InstructionSender.h"
#include "shell/JsonLog.h"
#include "shell/PeerNetwork.h"
#include "shell/Relay.h"
#include "shell/StorageThread.h"

#include <nlohmann/json.hpp>

#include <type_traits>
#include <utility>

namespace hyssoppaddle::shell {

namespace {

// Removes the entry of a token from its table and returns it. Returns an empty
// value for an unknown token.
template<typename Table>
typename Table::mapped_type
Extract(Table& aTable, std::uint64_t aToken)
{
  auto node = aTable.extract(aToken);
  return node.empty() ? typename Table::mapped_type()
                      : std::move(node.mapped());
}

} // namespace

CoreLoop::CoreLoop(core::ReducerOptions aOptions,
                   const agreement::RecoveredLog& aRecovered,
                   ClusterSecret aSecret,
                   std::shared_ptr<Metrics> aMetrics,
                   DecisionLog aDecisions)
  : secret(std::move(aSecret))
  , metrics(std::move(aMetrics))
  , decisions(std::move(aDecisions))
  , reducer(std::move(aOptions), aRecovered, MonotonicNow(), WallClockNow())
{
}

void
CoreLoop::SetTargets(EffectTargets aTargets)
{
  this->targets = std::move(aTargets);
}

void
CoreLoop::Submit(core::Event aEvent)
{
  if (this->processing) {
    this->pendingEvents.push_back(std::move(aEvent));
    return;
  }
  this->processing = true;
  this->Process(aEvent);
  while (!this->pendingEvents.empty()) {
    const core::Event next = std::move(this->pendingEvents.front());
    this->pendingEvents.pop_front();
    this->Process(next);
  }
  this->processing = false;
}

void
CoreLoop::Process(const core::Event& aEvent)
{
  const Time start = MonotonicNow();
  this->ExecuteEffect(this->reducer.Reduce(aEvent, start, WallClockNow()));
  this->metrics->Observe(Timing::CoreStep, MonotonicNow() - start);
}

void
CoreLoop::Tick()
{
  this->decisions.Tick(MonotonicNow());
  this->Submit(core::Tick{});
}

void
CoreLoop::BeginStop()
{
  this->ExecuteEffect(this->reducer.BeginStop(MonotonicNow(), WallClockNow()));
}

void
CoreLoop::ExecuteEffect(core::Effects aEffects)
{
  for (core::Effect& effect : aEffects) {
    std::visit(
      [this](auto& aConcrete) { this->ExecuteEffect(std::move(aConcrete)); },
      effect);
  }
}

void
CoreLoop::ExecuteEffect(const core::SendPeer& aEffect)
{
  this->targets.peers->Send(aEffect.to, aEffect.message);
}

void
CoreLoop::ExecuteEffect(core::WriteStorage aEffect)
{
  this->targets.storage->Enqueue(std::move(aEffect.persist));
}

void
CoreLoop::ExecuteEffect(core::SaveSnapshot aEffect)
{
  this->targets.storage->Enqueue(
    SnapshotWork{ std::move(aEffect.meta), std::move(aEffect.bytes) });
}

void
CoreLoop::ExecuteEffect(const core::CommandDecided& aEffect)
{
  const PendingCommand pending = Extract(this->commands, aEffect.token);
  if (pending.done) {
    this->metrics->Observe(Timing::Commit, MonotonicNow() - pending.since);
    pending.done(aEffect);
  }
}

void
CoreLoop::ExecuteEffect(const core::ReadDecided& aEffect)
{
  if (const auto done = Extract(this->reads, aEffect.token)) {
    done(aEffect.ready);
  }
}

void
CoreLoop::ExecuteEffect(const core::AnswerAnnouncement& aEffect)
{
  if (const auto done = Extract(this->announcements, aEffect.token)) {
    done(aEffect);
  }
}

void
CoreLoop::ExecuteEffect(core::DeliverInstruction aEffect)
{
  this->targets.instructions->Send(std::move(aEffect));
}

void
CoreLoop::ExecuteEffect(const core::LeaderChanged& aEffect)
{
  Log(LogLevel::Info,
      "leader_changed",
      { { "leader", aEffect.leader.value },
        { "term", aEffect.term },
        { "self", aEffect.self } });
}

void
CoreLoop::ExecuteEffect(request::Effect aEffect)
{
  std::visit(
    [this](auto& aConcrete) {
      using T = std::decay_t<decltype(aConcrete)>;
      if constexpr (std::is_same_v<T, request::LogDecision>) {
        this->decisions.Write(aConcrete, MonotonicNow());
      } else if constexpr (std::is_same_v<T, request::StartAttempt> ||
                           std::is_same_v<T, request::AbandonAttempt> ||
                           std::is_same_v<T, request::Refuse> ||
                           std::is_same_v<T, request::AbortCaller>) {
        this->targets.relay->Execute(std::move(aConcrete));
      }
      // The core itself executes the remaining effects.
    },
    aEffect);
}

void
CoreLoop::ExecuteEffect(const planner::LogDecision& aEffect)
{
  this->decisions.Write(aEffect, MonotonicNow());
}

std::uint64_t
CoreLoop::AddCommand(CommandCallback aDone)
{
  this->commands[++this->lastToken] = { std::move(aDone), MonotonicNow() };
  return this->lastToken;
}

void
CoreLoop::SubmitCommand(state::Command aCommand, CommandCallback aDone)
{
  const std::uint64_t token = this->AddCommand(std::move(aDone));
  this->Submit(core::CommandReceived{ token, std::move(aCommand) });
}

void
CoreLoop::SubmitConfiguration(agreement::ChangeKind aKind,
                              InstanceId aInstance,
                              CommandCallback aDone)
{
  const std::uint64_t token = this->AddCommand(std::move(aDone));
  this->Submit(
    core::ConfigurationChangeRequested{ token, aKind, std::move(aInstance) });
}

void
CoreLoop::Read(ReadCallback aDone)
{
  this->reads[++this->lastToken] = std::move(aDone);
  this->Submit(core::ReadRequested{ this->lastToken });
}

void
CoreLoop::Announce(state::Announcement aAnnouncement,
                   std::vector<state::TaskReport> aReports,
                   AnnouncementCallback aDone)
{
  this->announcements[++this->lastToken] = std::move(aDone);
  this->Submit(core::AnnouncementReceived{
    this->lastToken, std::move(aAnnouncement), std::move(aReports) });
}

const core::Reducer&
CoreLoop::Core() const
{
  return this->reducer;
}

Time
CoreLoop::Now() const
{
  return MonotonicNow();
}

WallTime
CoreLoop::WallNow() const
{
  return WallClockNow();
}

std::string
CoreLoop::KeyDigest(std::string_view aSecret) const
{
  return this->secret.KeyDigest(aSecret);
}

std::string
CoreLoop::KeyDigestHex(std::string_view aText) const
{
  return ToHex(this->secret.KeyDigest(aText));
}

std::string
CoreLoop::RandomHex(std::size_t aBytes) const
{
  return shell::RandomHex(aBytes);
}

} // namespace hyssoppaddle::shell
