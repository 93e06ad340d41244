// Recovery of lent share by checkpoint, then by throttle.
#include "planner/ShareReclaimer.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

// Short tasks end by themselves in this time; asking earlier would only cost
// checkpoints.
constexpr Duration kPatience{ 3000000 };
// A task that has not checkpointed by then is throttled. Together with the
// patience this stays below the 10 s in which lent share must be recovered.
constexpr Duration kThrottleAfter{ 4000000 };
constexpr Duration kForgetAfter{ 30000000 };
// Youngest task that is asked, with and without reported use.
constexpr Duration kYoungest{ 3000000 };
constexpr Duration kYoungestUnknown{ 8000000 };
constexpr int kPoolsPerTick = 8;
constexpr int kAsksPerPool = 8;
constexpr int kScannedTasks = 32;
// Levels closer than this are equal: one task more or less.
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
  this->asked.clear();
  this->losses.clear();
  this->gains.clear();
  this->waitingSince.clear();
}

double
ShareReclaimer::LevelAfter(const TeamId& aTeam) const
{
  const auto loss = this->losses.find(aTeam);
  const auto gain = this->gains.find(aTeam);
  const double held = this->ledger.Held(aTeam) -
                      (loss == this->losses.end() ? 0 : loss->second) +
                      (gain == this->gains.end() ? 0 : gain->second);
  return held / this->ledger.ShareOf(aTeam);
}

void
ShareReclaimer::OnTick(Context& aContext)
{
  this->FollowUp(aContext);
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
  const std::optional<TeamId> taker = this->Taker(aContext, aQueue);
  if (!taker || !this->Victim(aContext, aPool, *taker)) {
    this->waitingSince.erase(aPool);
    return;
  }
  const Time start =
    this->waitingSince.try_emplace(aPool, aContext.now).first->second;
  if (aContext.now - start < kPatience) {
    return;
  }
  for (int step = 0; step < kAsksPerPool; ++step) {
    const std::optional<JobId> victim = this->Victim(aContext, aPool, *taker);
    if (!victim || !aContext.Take()) {
      return;
    }
    this->Ask(aContext, *victim, *taker);
  }
}

// The waiting team with the lowest level, if its limit allows more.
std::optional<TeamId>
ShareReclaimer::Taker(const Context& aContext,
                      const PlacementQueue::Pool& aQueue) const
{
  std::optional<TeamId> best;
  for (const auto& [workClass, teams] : aQueue.classes) {
    for (const auto& [team, line] : teams) {
      const state::TeamSpec* spec = aContext.state.FindTeam(team);
      if (spec == nullptr ||
          aContext.state.CommittedSlots(team) >= spec->limit) {
        continue;
      }
      if (!best || this->LevelAfter(team) < this->LevelAfter(*best)) {
        best = team;
      }
    }
  }
  return best;
}

// The newest task of the team furthest above the taker, which loses the least
// work by a checkpoint.
std::optional<JobId>
ShareReclaimer::Victim(const Context& aContext,
                       const PoolId& aPool,
                       const TeamId& aTaker) const
{
  std::optional<JobId> best;
  double bestLevel = this->LevelAfter(aTaker) * kLevelMargin;
  for (const state::TeamSpec& team : aContext.state.ActiveBundle().teams) {
    const double level = this->LevelAfter(team.name);
    const bool isBehind =
      this->ledger.Key(team.name) <= this->ledger.Key(aTaker) * kLevelMargin;
    if (team.name == aTaker || level <= bestLevel || isBehind) {
      continue;
    }
    const auto& tasks = this->jobs.TasksOf(team.name);
    int scanned = 0;
    for (auto task = tasks.rbegin();
         task != tasks.rend() && ++scanned <= kScannedTasks;
         ++task) {
      const LiveTask& live = *this->jobs.Find(task->second);
      const double fraction = this->ledger.FractionOf(live.held);
      const double after = level - fraction / this->ledger.ShareOf(team.name);
      const double takerAfter =
        this->LevelAfter(aTaker) + fraction / this->ledger.ShareOf(aTaker);
      // Only when the order of the two does not turn around.
      if (live.pool == aPool && this->MayAsk(aContext, task->second, live) &&
          after >= takerAfter) {
        best = task->second;
        bestLevel = level;
        break;
      }
    }
  }
  return best;
}

// A task whose use is not yet known may be smaller than it was declared, and
// asking it right after its start would stop the same work again and again.
bool
ShareReclaimer::MayAsk(const Context& aContext,
                       const JobId& aJob,
                       const LiveTask& aTask) const
{
  const bool isKnown = !(aTask.peak == state::Resources{});
  const Duration age = aContext.now - aTask.startedAt;
  return aTask.started && !this->asked.contains(aJob) &&
         age >= (isKnown ? kYoungest : kYoungestUnknown);
}

void
ShareReclaimer::Ask(Context& aContext, const JobId& aJob, const TeamId& aTaker)
{
  const LiveTask& live = *this->jobs.Find(aJob);
  const double fraction = this->ledger.FractionOf(live.held);
  this->asked.emplace(
    aJob,
    Asked{ live.epoch, live.team, aTaker, fraction, aContext.now, false });
  this->losses[live.team] += fraction;
  this->gains[aTaker] += fraction;
  aContext.Propose(
    state::StopTask{ aJob,
                     live.epoch,
                     state::StopMode::Checkpoint,
                     "team " + aTaker.value + " takes back its share" });
  aContext.Log(LogDecision{ .kind = "share",
                            .subject = aJob.value,
                            .team = live.team,
                            .pool = live.pool,
                            .candidates = {},
                            .chosen = "checkpoint",
                            .rule = "lent share is recovered",
                            .reason = "team " + aTaker.value +
                                      " is below its share and waits" });
}

void
ShareReclaimer::FollowUp(Context& aContext)
{
  bool changed = false;
  for (auto entry = this->asked.begin(); entry != this->asked.end();) {
    const auto current = entry++;
    Asked& ask = current->second;
    const LiveTask* live = this->jobs.Find(current->first);
    const bool isOver = live == nullptr || live->epoch != ask.epoch;
    if (isOver || aContext.now - ask.at > kForgetAfter) {
      this->asked.erase(current);
      changed = true;
      continue;
    }
    if (!ask.throttled && aContext.now - ask.at > kThrottleAfter &&
        aContext.Take()) {
      ask.throttled = true;
      aContext.Propose(state::StopTask{ current->first,
                                        ask.epoch,
                                        state::StopMode::Throttle,
                                        "it did not checkpoint in time" });
    }
  }
  if (!changed) {
    return;
  }
  this->losses.clear();
  this->gains.clear();
  for (const auto& [job, ask] : this->asked) {
    this->losses[ask.team] += ask.fraction;
    this->gains[ask.taker] += ask.fraction;
  }
}

} // namespace hyssoppaddle::planner
