// Recovers lent share by checkpoints, then by throttling.
#include "planner/ShareReclaimer.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

// Short tasks end by themselves within this time. An earlier request would only
// cost checkpoints.
constexpr Duration kReclaimDelay{ std::chrono::seconds(3) };
// A task that has not checkpointed after this time is throttled. Together with
// kReclaimDelay this stays below the 10 s within which lent share must be
// recovered.
constexpr Duration kThrottleDelay{ std::chrono::seconds(4) };
constexpr Duration kRequestTimeout{ std::chrono::seconds(30) };
// Minimum age of a task that is asked to checkpoint, with and without reported
// usage.
constexpr Duration kMinTaskAge{ std::chrono::seconds(3) };
constexpr Duration kMinTaskAgeWithoutUsage{ std::chrono::seconds(8) };
constexpr int kPoolsPerTick = 8;
constexpr int kMaxRequestsPerPool = 8;
constexpr int kMaxScannedTasks = 32;
// Levels within this factor count as equal: they differ by about one task.
constexpr double kLevelMargin = 1.05;

} // namespace

ShareReclaimer::ShareReclaimer(const JobTracker& aJobs,
                               const ShareLedger& aLedger)
  : jobs(aJobs)
  , ledger(aLedger)
{
}

void
ShareReclaimer::Clear()
{
  this->checkpointRequests.clear();
  this->pendingLosses.clear();
  this->pendingGains.clear();
  this->waitingSince.clear();
}

double
ShareReclaimer::ProjectedLevel(const TeamId& aTeam) const
{
  const auto loss = this->pendingLosses.find(aTeam);
  const auto gain = this->pendingGains.find(aTeam);
  const double held = this->ledger.HeldFraction(aTeam) -
                      (loss == this->pendingLosses.end() ? 0 : loss->second) +
                      (gain == this->pendingGains.end() ? 0 : gain->second);
  return held / this->ledger.ShareOf(aTeam);
}

void
ShareReclaimer::OnTick(Context& aContext)
{
  this->ThrottleOverdue(aContext);
  const auto& pools = this->jobs.Queue().Pools();
  if (pools.empty()) {
    this->waitingSince.clear();
    return;
  }
  auto next = pools.upper_bound(this->cursor);
  const int count = std::min(kPoolsPerTick, static_cast<int>(pools.size()));
  for (int step = 0; step < count; ++step) {
    if (next == pools.end()) {
      next = pools.begin();
    }
    this->cursor = next->first;
    this->ReclaimIn(aContext, next->first, next->second);
    ++next;
  }
}

void
ShareReclaimer::ReclaimIn(Context& aContext,
                          const PoolId& aPool,
                          const PlacementQueue::Pool& aQueue)
{
  const std::optional<TeamId> preemptor = this->FindPreemptor(aContext, aQueue);
  if (!preemptor || !this->FindVictim(aContext, aPool, *preemptor)) {
    this->waitingSince.erase(aPool);
    return;
  }
  const Time start =
    this->waitingSince.try_emplace(aPool, aContext.now).first->second;
  if (aContext.now - start < kReclaimDelay) {
    return;
  }
  for (int step = 0; step < kMaxRequestsPerPool; ++step) {
    const std::optional<JobId> victim =
      this->FindVictim(aContext, aPool, *preemptor);
    if (!victim || !aContext.TakeDecision()) {
      return;
    }
    this->RequestCheckpoint(aContext, *victim, *preemptor);
  }
}

// Returns the waiting team with the lowest level among those whose limit allows
// more slots.
std::optional<TeamId>
ShareReclaimer::FindPreemptor(const Context& aContext,
                              const PlacementQueue::Pool& aQueue) const
{
  std::optional<TeamId> best;
  for (const auto& [workClass, teams] : aQueue.classes) {
    for (const auto& [team, teamQueue] : teams) {
      const state::TeamSpec* spec = aContext.state.FindTeam(team);
      if (spec == nullptr ||
          aContext.state.CommittedSlots(team) >= spec->limit) {
        continue;
      }
      if (!best || this->ProjectedLevel(team) < this->ProjectedLevel(*best)) {
        best = team;
      }
    }
  }
  return best;
}

// Returns the newest task of the team furthest above the preemptor; a
// checkpoint of the newest task loses the least work.
std::optional<JobId>
ShareReclaimer::FindVictim(const Context& aContext,
                           const PoolId& aPool,
                           const TeamId& aPreemptor) const
{
  std::optional<JobId> best;
  double bestLevel = this->ProjectedLevel(aPreemptor) * kLevelMargin;
  for (const state::TeamSpec& team : aContext.state.ActiveBundle().teams) {
    const double level = this->ProjectedLevel(team.name);
    const bool isBehind = this->ledger.PriorityKey(team.name) <=
                          this->ledger.PriorityKey(aPreemptor) * kLevelMargin;
    if (team.name == aPreemptor || level <= bestLevel || isBehind) {
      continue;
    }
    const auto& tasks = this->jobs.TasksOf(team.name);
    int scanned = 0;
    for (auto task = tasks.rbegin();
         task != tasks.rend() && ++scanned <= kMaxScannedTasks;
         ++task) {
      const LiveTask& live = *this->jobs.Find(task->second);
      const double fraction = this->ledger.FractionOf(live.shareCharge);
      const double after = level - fraction / this->ledger.ShareOf(team.name);
      const double preemptorAfter = this->ProjectedLevel(aPreemptor) +
                                    fraction / this->ledger.ShareOf(aPreemptor);
      // Only when the team does not fall below the preemptor as a result.
      if (live.pool == aPool &&
          this->MayCheckpoint(aContext, task->second, live) &&
          after >= preemptorAfter) {
        best = task->second;
        bestLevel = level;
        break;
      }
    }
  }
  return best;
}

// A task of unknown usage may use less than it declared. Asking a task right
// after its start would interrupt the same work again and again.
bool
ShareReclaimer::MayCheckpoint(const Context& aContext,
                              const JobId& aJob,
                              const LiveTask& aTask) const
{
  const bool isKnown = !(aTask.peakUsage == state::Resources{});
  const Duration age = aContext.now - aTask.startedAt;
  return aTask.started && !this->checkpointRequests.contains(aJob) &&
         age >= (isKnown ? kMinTaskAge : kMinTaskAgeWithoutUsage);
}

void
ShareReclaimer::RequestCheckpoint(Context& aContext,
                                  const JobId& aJob,
                                  const TeamId& aPreemptor)
{
  const LiveTask& live = *this->jobs.Find(aJob);
  const double fraction = this->ledger.FractionOf(live.shareCharge);
  this->checkpointRequests.emplace(
    aJob,
    CheckpointRequest{
      live.epoch, live.team, aPreemptor, fraction, aContext.now, false });
  this->pendingLosses[live.team] += fraction;
  this->pendingGains[aPreemptor] += fraction;
  aContext.Propose(
    state::StopTask{ aJob,
                     live.epoch,
                     state::StopMode::Checkpoint,
                     "team " + aPreemptor.value + " takes back its share" });
  aContext.Log(LogDecision{ .kind = "share",
                            .subject = aJob.value,
                            .team = live.team,
                            .pool = live.pool,
                            .candidates = {},
                            .chosen = "checkpoint",
                            .rule = "lent share is recovered",
                            .reason = "team " + aPreemptor.value +
                                      " is below its share and waits" });
}

void
ShareReclaimer::ThrottleOverdue(Context& aContext)
{
  bool changed = false;
  for (auto entry = this->checkpointRequests.begin();
       entry != this->checkpointRequests.end();) {
    const auto current = entry++;
    CheckpointRequest& request = current->second;
    const LiveTask* live = this->jobs.Find(current->first);
    const bool isOver = live == nullptr || live->epoch != request.epoch;
    if (isOver || aContext.now - request.requestedAt > kRequestTimeout) {
      this->checkpointRequests.erase(current);
      changed = true;
      continue;
    }
    if (!request.throttled &&
        aContext.now - request.requestedAt > kThrottleDelay &&
        aContext.TakeDecision()) {
      request.throttled = true;
      aContext.Propose(state::StopTask{ current->first,
                                        request.epoch,
                                        state::StopMode::Throttle,
                                        "it did not checkpoint in time" });
    }
  }
  if (!changed) {
    return;
  }
  this->pendingLosses.clear();
  this->pendingGains.clear();
  for (const auto& [job, request] : this->checkpointRequests) {
    this->pendingLosses[request.team] += request.fraction;
    this->pendingGains[request.preemptor] += request.fraction;
  }
}

} // namespace hyssoppaddle::planner
