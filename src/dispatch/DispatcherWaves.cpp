// Maintenance waves, and the advisor's tickets.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::dispatch {

namespace {

// An instance counts as away until its next boot announces itself, at most
// this many times the maintenance.
constexpr int kAwayFactor = 4;
// What an instance needs beside its maintenance: its next boot announces
// itself and is fenced.
constexpr Duration kReturnTime = milliseconds(900);
constexpr Duration kOrderRetry = milliseconds(400);
// The advisor takes at most this many names a question.
constexpr std::size_t kMaxAdvised = 100;

} // namespace

// True when a planned stop of this lasting task leaves its step with as many
// tasks at work as the job asks for.
bool
Dispatcher::MayStopLasting(const work::TaskRef& aTask) const
{
  const work::Job* job = this->FindJob(aTask.job);
  if (job == nullptr || job->tasks.empty()) {
    return true;
  }
  const work::Step& step = job->spec.steps[aTask.step];
  if (step.maxUnavailable == 0) {
    return true;
  }
  std::uint32_t away = 0;
  const auto& tasks = job->tasks[aTask.occurrence][aTask.step];
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    if (i == aTask.index) {
      continue;
    }
    bool atWork = false;
    for (const work::Run& run : tasks[i].runs) {
      const auto session = this->sessions.find(run.upstream);
      if (session == this->sessions.end()) {
        continue;
      }
      work::TaskRef ref = aTask;
      ref.index = i;
      const auto live = session->second.runs.find({ ref, run.number });
      atWork = atWork || (live != session->second.runs.end() &&
                          live->second.phase == RunPhase::Confirmed &&
                          !live->second.stopping &&
                          live->second.percent >= 100 &&
                          session->second.unanswered == 0);
    }
    away += atWork ? 0 : 1;
  }
  return away < step.maxUnavailable;
}

// Takes lasting tasks off the upstream as far as their jobs allow. True when
// nothing is left whose loss would matter.
bool
Dispatcher::Empty(UpstreamSession& aSession)
{
  bool empty = true;
  std::vector<RunKey> lasting;
  for (const auto& [key, live] : aSession.runs) {
    empty = false;
    if (live.lasting && !live.stopping) {
      lasting.push_back(key);
    }
  }
  for (const RunKey& key : lasting) {
    if (this->MayStopLasting(key.first)) {
      this->RequestStop(aSession, key, "maintenance");
    }
  }
  return empty;
}

void
Dispatcher::RunWaves()
{
  if (!this->options.hasInstanceOwner ||
      this->now < this->electedAt + this->options.orderLease) {
    return;
  }
  for (const auto& [number, wave] : this->state.Tables().waves) {
    if (!wave.IsCompleted()) {
      this->AdvanceOne(number, wave);
    }
  }
}

void
Dispatcher::AdvanceOne(std::uint64_t aNumber, const work::Wave& aWave)
{
  std::map<std::string, std::pair<InstanceId, UpstreamSession*>> present;
  for (auto& [id, session] : this->sessions) {
    if (!session.record.instance.empty()) {
      present[session.record.instance] = { id, &session };
    }
  }
  std::uint32_t away = 0;
  std::vector<std::pair<std::int64_t, std::string>> candidates;
  std::vector<std::string> emptying;
  for (const std::string& instance : aWave.instances) {
    const auto found = present.find(instance);
    if (aWave.gone.contains(instance)) {
      continue;
    }
    if (aWave.begun.contains(instance)) {
      away += this->IsBack(instance, found != present.end()) ? 0 : 1;
      continue;
    }
    if (this->IsOrdered(instance)) {
      ++away;
      continue;
    }
    if (found == present.end()) {
      // Down, moving, or gone for good: its owner knows.
      this->WatchMissing(aNumber, instance);
      continue;
    }
    UpstreamSession& session = *found->second.second;
    if (session.maintaining) {
      ++away;
      emptying.push_back(instance);
    } else if (!session.record.draining && session.unanswered == 0 &&
               session.fenced) {
      candidates.emplace_back(session.used.milliCpus, instance);
    }
  }
  const Duration slot = this->SlotOf(aWave);
  for (const std::string& instance : emptying) {
    auto& [id, session] = present[instance];
    const bool empty = this->Empty(*session);
    const bool waited =
      this->now - session->maintainingSince > slot && this->MayEnd(*session);
    if ((empty || waited) && this->now >= session->nextOwnerOrder) {
      session->nextOwnerOrder = this->now + kOrderRetry;
      this->OrderMaintenance(aNumber, instance);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [load, instance] : candidates) {
    if (away >= std::max<std::uint32_t>(1, aWave.maxAway)) {
      return;
    }
    UpstreamSession& session = *present[instance].second;
    session.maintaining = true;
    session.maintainingSince = this->now;
    ++away;
    this->Note("instance_emptied",
               {},
               { { "instance", instance },
                 { "wave", Text(aNumber) },
                 { "runs", Text(session.runs.size()) },
                 { "away", Text(away) } });
  }
}

// How long an instance may take to become empty, so that the wave ends in time.
Duration
Dispatcher::SlotOf(const work::Wave& aWave) const
{
  const auto count = static_cast<std::int64_t>(aWave.instances.size());
  const auto done =
    static_cast<std::int64_t>(aWave.begun.size() + aWave.gone.size());
  const std::int64_t left = std::max<std::int64_t>(1, count - done);
  const std::int64_t atOnce = std::max<std::int64_t>(1, aWave.maxAway);
  const std::int64_t rounds = (left + atOnce - 1) / atOnce;
  const Duration remaining = aWave.startedAt + aWave.length - this->wall;
  const Duration each = remaining / rounds;
  return std::max<Duration>(
    each - this->options.maintenanceTime - kReturnTime, Duration(0));
}

// Ending what is left is allowed unless a lasting task must stay.
bool
Dispatcher::MayEnd(const UpstreamSession& aSession) const
{
  return std::none_of(
    aSession.runs.begin(), aSession.runs.end(), [this](const auto& aItem) {
      const LiveRun& live = aItem.second;
      return live.phase == RunPhase::Deciding ||
             (live.lasting && !live.stopConfirmed);
    });
}

bool
Dispatcher::IsBack(const std::string& aInstance, bool aPresent)
{
  const auto begun = this->owner.begunAt.try_emplace(aInstance, this->now).first;
  const Duration longest = this->options.maintenanceTime * kAwayFactor;
  return aPresent || this->now - begun->second > longest;
}

bool
Dispatcher::IsOrdered(const std::string& aInstance) const
{
  return std::any_of(
    this->owner.orders.begin(),
    this->owner.orders.end(),
    [&](const auto& aItem) { return aItem.second.instance == aInstance; });
}

void
Dispatcher::OrderMaintenance(std::uint64_t aWave, const std::string& aInstance)
{
  MaintainInstance order;
  order.token = ++this->lastToken;
  order.instance = aInstance;
  order.wave = aWave;
  order.fence = this->term;
  this->owner.orders[order.token] = { aInstance, aWave };
  this->output.instructions.emplace_back(std::move(order));
}

// An instance of the wave without an upstream for long is asked about by an
// order: its owner refuses one that does not exist.
void
Dispatcher::WatchMissing(std::uint64_t aWave, const std::string& aInstance)
{
  const auto missing =
    this->owner.missingSince.try_emplace(aInstance, this->now).first;
  const Duration patience = this->options.announceInterval * 4;
  if (this->now - missing->second < patience) {
    return;
  }
  missing->second = this->now;
  this->OrderMaintenance(aWave, aInstance);
}

void
Dispatcher::On(const InstanceAnswer& aAnswer)
{
  const auto found = this->owner.orders.find(aAnswer.token);
  if (found == this->owner.orders.end()) {
    return;
  }
  const InstanceOwner::OpenOrder order = found->second;
  this->owner.orders.erase(found);
  constexpr std::array<std::string_view, 5> kNames{
    "done", "busy", "refused", "throttled", "no answer"
  };
  this->Note("maintenance_ordered",
             {},
             { { "instance", order.instance },
               { "wave", Text(order.wave) },
               { "fence", Text(this->term) },
               { "result",
                 std::string(
                   kNames[static_cast<std::size_t>(aAnswer.result)]) } });
  if (aAnswer.result == InstanceResult::Done) {
    this->owner.begunAt[order.instance] = this->now;
    for (const auto& [id, session] : this->sessions) {
      if (session.record.instance == order.instance) {
        this->EndAll(id, this->output.commands);
        this->output.commands.emplace_back(work::RemoveUpstream{ id });
      }
    }
    this->output.commands.emplace_back(
      work::AdvanceWave{ order.wave, order.instance, false });
  } else if (aAnswer.result == InstanceResult::Refused) {
    this->output.commands.emplace_back(
      work::AdvanceWave{ order.wave, order.instance, true });
  }
}

void
Dispatcher::On(const InstanceList& /*aAnswer*/)
{
}

void
Dispatcher::On(const work::StartWave& aCommand, work::Verdict /*aVerdict*/)
{
  this->Note("wave_started",
             {},
             { { "wave", Text(aCommand.number) },
               { "instances", Text(aCommand.wave.instances.size()) },
               { "max_away", Text(aCommand.wave.maxAway) },
               { "length_ms", Text(aCommand.wave.length) } });
}

void
Dispatcher::On(const work::AdvanceWave& aCommand, work::Verdict /*aVerdict*/)
{
  const auto& waves = this->state.Tables().waves;
  const auto found = waves.find(aCommand.number);
  if (found != waves.end() && found->second.IsCompleted()) {
    this->Note("wave_completed", {}, { { "wave", Text(aCommand.number) } });
  }
}

void
Dispatcher::AskForTickets(const JobView& aView, const work::TaskRef& aTask)
{
  if (this->tickets.IsBusy()) {
    return;
  }
  const work::Queue* queue =
    this->state.CurrentSetup().FindQueue(aView.queue);
  const work::Step& step = this->FindJob(aTask.job)->spec.steps[aTask.step];
  std::vector<InstanceId> candidates;
  for (const auto& [id, session] : this->sessions) {
    const state::Resources& whole = session.record.capacity;
    if (session.record.service == aView.service &&
        IsUsable(session, this->now) && step.size.FitsInto(whole)) {
      candidates.push_back(id);
    }
  }
  candidates = this->tickets.Unknown(StepOf(aTask), candidates, this->now);
  if (candidates.empty()) {
    return;
  }
  candidates.resize(std::min(candidates.size(), kMaxAdvised));
  AskAdvice ask;
  ask.token = ++this->lastToken;
  ask.step = StepOf(aTask);
  ask.upstreams = candidates;
  ask.timeLimit =
    queue->advice.decision +
    queue->advice.perUpstream * static_cast<std::int64_t>(candidates.size()) +
    seconds(2);
  this->tickets.Asked(
    ask.token, ask.step, candidates, queue->advice.validity, this->now);
  this->output.instructions.emplace_back(std::move(ask));
}

void
Dispatcher::On(const AdviceAnswer& aAnswer)
{
  if (this->tickets.Answered(aAnswer, this->now)) {
    for (const auto& [id, session] : this->sessions) {
      this->dirty.insert(session.record.service);
    }
  }
}

} // namespace hyssoppaddle::dispatch
