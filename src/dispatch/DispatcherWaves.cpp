// Maintenance waves: evacuates instances and orders their maintenance.
//
// Load pattern: half of a large fleet is due while queues peak in turn. A step
// allows only a few of its long-running tasks to be away at a time, so the
// instances that run them take longest to evacuate. These tasks leave first,
// from the beginning of the wave on, while their instances go on serving
// others.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// An instance counts as away until its next boot announces itself, but at most
// for this multiple of the maintenance time.
constexpr int kMaxAwayFactor = 4;
// Time that an instance needs in addition to its maintenance: its next boot
// announces itself and confirms the leader's fencing token.
constexpr Duration kReturnTime = milliseconds(900);
// Average time to evacuate an instance, and the time that a wave keeps in
// reserve.
constexpr Duration kEvacuationTime = milliseconds(1500);
constexpr Duration kWaveMargin = milliseconds(1500);
constexpr Duration kOrderRetry = milliseconds(400);
// Evacuations take seconds, so waves need no check at every tick.
constexpr Duration kWaveInterval = milliseconds(100);
constexpr Duration kMissingRetry = milliseconds(1000);
// A wave beside peaks is ahead of its schedule by this part of it.
constexpr std::uint32_t kAheadDivisor = 2;
// Long-running tasks that are considered in one check, because each of them
// takes a search through the upstreams of its pool.
constexpr std::size_t kMaxMovedAhead = 16;

// The record of a boot that has ended can remain for some time, and a delayed
// announcement can bring it back: only its answers show that it lives.
bool
IsAlive(const UpstreamSession& aSession)
{
  return aSession.fenceConfirmed && aSession.unanswered == 0 &&
         !aSession.evacuating;
}

} // namespace

// True when a planned stop of this long-running task keeps the number of
// unavailable tasks of its step within maxUnavailable.
bool
Dispatcher::MayStopLongRunning(const work::TaskRef& aTask) const
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
      atWork =
        atWork ||
        (live != session->second.runs.end() &&
         live->second.phase == RunPhase::Confirmed && !live->second.stopping &&
         live->second.percent >= 100 && session->second.unanswered == 0);
    }
    away += atWork ? 0 : 1;
  }
  return away < step.maxUnavailable;
}

// Stops the long-running tasks on the upstream as far as their jobs allow, and
// with aStopAll the others too, so that their checkpoints are saved. True when
// nothing is left on it.
bool
Dispatcher::Evacuate(UpstreamSession& aSession, bool aStopAll)
{
  std::vector<RunKey> due;
  for (const auto& [key, live] : aSession.runs) {
    if (!live.stopping && (live.longRunning || aStopAll)) {
      due.push_back(key);
    }
  }
  for (const RunKey& key : due) {
    if (!aSession.runs.at(key).longRunning ||
        this->MayStopLongRunning(key.first)) {
      this->RequestStop(aSession, key, "maintenance");
    }
  }
  return aSession.runs.empty();
}

void
Dispatcher::RunWaves()
{
  if (!this->options.hasInstanceOwner ||
      this->now < this->electedAt + this->options.orderLease) {
    return;
  }
  if (!this->owner.hasList || this->now < this->owner.nextWaveCheckAt) {
    return;
  }
  this->owner.nextWaveCheckAt = this->now + kWaveInterval;
  for (auto& [id, session] : this->sessions) {
    session.maintenanceDue = false;
  }
  for (const auto& [number, wave] : this->state.Tables().waves) {
    if (!wave.IsCompleted()) {
      this->RunWave(number, wave);
    }
  }
  this->MoveLongRunningAhead();
}

// Stops long-running tasks on instances that are due for maintenance or in a
// data centre under evacuation, as far as their jobs allow and other upstreams
// take them.
void
Dispatcher::MoveLongRunningAhead()
{
  std::map<ServiceId, std::vector<Candidate>> candidates;
  std::size_t considered = 0;
  for (auto& [id, session] : this->sessions) {
    const bool isDue = session.maintenanceDue || session.dataCentreEvacuating;
    if (!isDue || session.evacuating) {
      continue;
    }
    std::vector<RunKey> movable;
    for (const auto& [key, live] : session.runs) {
      const work::Job* job = this->FindJob(key.first.job);
      if (live.longRunning && !live.stopping && job != nullptr &&
          (session.dataCentreEvacuating ||
           job->spec.steps[key.first.step].maxUnavailable > 0) &&
          this->MayStopLongRunning(key.first)) {
        movable.push_back(key);
      }
    }
    for (const RunKey& key : movable) {
      const auto view = this->views.find(key.first.job);
      if (view == this->views.end() || !this->MayStopLongRunning(key.first)) {
        continue; // another task of its step has just been stopped
      }
      if (++considered > kMaxMovedAhead) {
        return;
      }
      const ServiceId& service = session.record.service;
      const auto [found, isNew] = candidates.try_emplace(service);
      if (isNew) {
        found->second = FindCandidates(this->sessions, service, this->now);
      }
      if (HasLastingRoom(found->second,
                         this->QueryOf(view->second, key.first))) {
        this->RequestStop(session,
                          key,
                          session.dataCentreEvacuating ? "data centre evacuated"
                                                       : "maintenance ahead");
      }
    }
  }
}

void
Dispatcher::RunWave(std::uint64_t aNumber, const work::Wave& aWave)
{
  std::map<std::string, std::pair<InstanceId, UpstreamSession*>> present;
  for (auto& [id, session] : this->sessions) {
    if (session.record.instance.empty()) {
      continue;
    }
    // An earlier boot of the instance may still be recorded.
    const auto [entry, isNew] =
      present.try_emplace(session.record.instance, id, &session);
    if (!isNew && session.unanswered == 0) {
      entry->second = { id, &session };
    }
  }
  std::uint32_t away = 0;
  std::vector<std::pair<std::int64_t, std::string>> candidates;
  std::vector<std::string> emptying;
  std::vector<std::string> missing;
  for (const std::string& instance : aWave.instances) {
    const auto found = present.find(instance);
    if (aWave.removed.contains(instance)) {
      continue;
    }
    // Maintenance that has started but is not yet recorded counts too.
    if (aWave.started.contains(instance) ||
        this->owner.maintenanceStartedAt.contains(instance)) {
      const bool isBack =
        found != present.end() && IsAlive(*found->second.second);
      away += this->HasReturned(instance, isBack) ? 0 : 1;
      continue;
    }
    if (this->IsOrdered(instance) ||
        this->owner.unconfirmed.contains(instance)) {
      ++away;
      continue;
    }
    if (found == present.end()) {
      // An earlier leader may have ordered it without recording that.
      const auto listed = this->owner.instances.find(instance);
      if (listed != this->owner.instances.end() &&
          listed->second.phase == InstancePhase::Maintenance) {
        ++away;
        continue;
      }
      if (!this->owner.arrivals.contains(instance)) {
        missing.push_back(instance);
      }
      continue;
    }
    UpstreamSession& session = *found->second.second;
    if (session.evacuating) {
      ++away;
      emptying.push_back(instance);
    } else if (session.unanswered > 0 || !session.fenceConfirmed) {
      ++away; // silent: its maintenance may have started
    } else if (!session.record.draining) {
      session.maintenanceDue = true;
      candidates.emplace_back(session.used.milliCpus, instance);
    }
  }
  const std::uint32_t requiredAway = this->RequiredAway(aWave);
  const std::uint32_t atMost = std::max<std::uint32_t>(1, aWave.maxAway);
  // While queues peak, the next peak may need the idle instances, so that they
  // go only a little ahead of the schedule.
  const std::uint32_t idleAtMost =
    this->owner.balance.IsCalm(this->now)
      ? atMost
      : std::clamp<std::uint32_t>(
          requiredAway + requiredAway / kAheadDivisor, 1, atMost);
  // Only after all instances that are away have been counted.
  for (const std::string& instance : missing) {
    if (away < idleAtMost) {
      away += this->MaintainMissing(aNumber, instance) ? 1 : 0;
    }
  }
  const Duration evacuationLimit = this->EvacuationTimeLimit(aWave);
  for (const std::string& instance : emptying) {
    auto& [id, session] = present[instance];
    const bool isLate = this->now - session->evacuatingSince > evacuationLimit;
    const bool empty = this->Evacuate(*session, isLate);
    if (empty && this->now >= session->nextOrderAt &&
        this->MayOrder(instance)) {
      session->nextOrderAt = this->now + kOrderRetry;
      this->OrderMaintenance(aNumber, instance);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [load, instance] : candidates) {
    if (away >= idleAtMost) {
      return;
    }
    // A busy instance is evacuated only if the wave would otherwise be late.
    if (load > 0 && away >= requiredAway) {
      return;
    }
    UpstreamSession& session = *present[instance].second;
    session.evacuating = true;
    session.evacuatingSince = this->now;
    ++away;
    this->LogDecision("instance_emptied",
                      {},
                      { { "instance", instance },
                        { "wave", Text(aNumber) },
                        { "runs", Text(session.runs.size()) },
                        { "away", Text(away) } });
  }
}

// How long the evacuation of an instance may take for the wave to end in time.
Duration
Dispatcher::EvacuationTimeLimit(const work::Wave& aWave) const
{
  const auto count = static_cast<std::int64_t>(aWave.instances.size());
  const auto done =
    static_cast<std::int64_t>(aWave.started.size() + aWave.removed.size());
  const std::int64_t left = std::max<std::int64_t>(1, count - done);
  const std::int64_t atOnce = std::max<std::int64_t>(1, aWave.maxAway);
  const std::int64_t rounds = (left + atOnce - 1) / atOnce;
  const Duration remaining = aWave.startedAt + aWave.length - this->wall;
  const Duration each = remaining / rounds;
  return std::max<Duration>(each - this->options.maintenanceTime - kReturnTime -
                              this->options.maxStopTime,
                            Duration(0));
}

// How many instances must be away at once for the wave to end in time.
std::uint32_t
Dispatcher::RequiredAway(const work::Wave& aWave) const
{
  const auto left = static_cast<double>(
    aWave.instances.size() - aWave.started.size() - aWave.removed.size());
  const Duration each =
    this->options.maintenanceTime + kReturnTime + kEvacuationTime;
  const Duration remaining =
    aWave.startedAt + aWave.length - this->wall - kWaveMargin;
  if (remaining <= each) {
    return aWave.maxAway;
  }
  const double rounds =
    static_cast<double>(remaining.count()) / static_cast<double>(each.count());
  return static_cast<std::uint32_t>(std::ceil(left / rounds));
}

// True when the instance has returned from maintenance: its next boot has
// announced itself, or its owner has listed it as up since (on standby no
// upstream announces itself), or kMaxAwayFactor limits the wait.
bool
Dispatcher::HasReturned(const std::string& aInstance, bool aPresent)
{
  const Time maintenanceStart =
    this->owner.maintenanceStartedAt.try_emplace(aInstance, this->now)
      .first->second;
  const Duration& whole = this->options.maintenanceTime;
  const auto listed = this->owner.instances.find(aInstance);
  const bool listedUp = listed != this->owner.instances.end() &&
                        listed->second.phase == InstancePhase::Up &&
                        this->owner.listedAt > maintenanceStart + whole;
  return aPresent || listedUp ||
         this->now - maintenanceStart > whole * kMaxAwayFactor;
}

// Handles an instance of the wave that has no upstream. On standby it can be
// maintained at once; one that its owner no longer lists is recorded as
// removed. True when its maintenance was ordered.
bool
Dispatcher::MaintainMissing(std::uint64_t aWave, const std::string& aInstance)
{
  const auto listed = this->owner.instances.find(aInstance);
  if (listed == this->owner.instances.end()) {
    if (this->owner.HasFreshList(this->now)) {
      this->output.commands.emplace_back(
        work::AdvanceWave{ aWave, aInstance, true });
    }
    return false;
  }
  auto& retryAt = this->owner.retryAt[aInstance];
  if (listed->second.phase != InstancePhase::Up || this->now < retryAt ||
      !this->MayOrder(aInstance)) {
    return false;
  }
  retryAt = this->now + kMissingRetry;
  this->OrderMaintenance(aWave, aInstance);
  return true;
}

void
Dispatcher::On(const work::StartWave& aCommand, work::Verdict /*aVerdict*/)
{
  this->LogDecision("wave_started",
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
    this->LogDecision(
      "wave_completed", {}, { { "wave", Text(aCommand.number) } });
  }
}

} // namespace hyssoppaddle::dispatch
