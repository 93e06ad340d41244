// Tasks on upstreams that leave, and filling tasks beside serving ones.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A longRunning or checkpointing task leaves a draining upstream this long
// before the upstream may go: twice the longest stop, so that its checkpoint is
// saved.
constexpr int kStopTimesBeforeDeparture = 2;
// Of the tail target: above the first, filling tasks give way; below the
// second, they get more.
constexpr double kHighTailRatio = 0.7;
constexpr double kLowTailRatio = 0.4;
constexpr std::uint32_t kPaceStepPercent = 20;        // percent a look
constexpr Duration kPaceInterval = milliseconds(400); // between two looks
constexpr std::uint32_t kFullPacePercent = 100;

} // namespace

void
Dispatcher::StopTasksOnDraining(UpstreamSession& aSession)
{
  if (!aSession.record.draining || aSession.runs.empty()) {
    return;
  }
  const Duration ahead = this->options.maxStopTime * kStopTimesBeforeDeparture;
  if (aSession.leavesBy && this->now + ahead < *aSession.leavesBy) {
    return;
  }
  std::vector<RunKey> leaving;
  for (const auto& [key, live] : aSession.runs) {
    const work::Job* job = this->FindJob(key.first.job);
    const bool checkpoints = job != nullptr && !job->tasks.empty() &&
                             job->spec.steps[key.first.step].checkpoints;
    if (live.longRunning || checkpoints) {
      leaving.push_back(key);
    }
  }
  for (const RunKey& key : leaving) {
    this->RequestStop(aSession, key, "upstream leaves");
  }
}

// Follows the tail of the serving tasks of one upstream: filling tasks give way
// at once and come back in steps.
void
Dispatcher::PaceBestEffort(const InstanceId& aId, UpstreamSession& aSession)
{
  double worst = 0;
  bool serving = false;
  bool filling = false;
  for (const auto& [key, live] : aSession.runs) {
    filling = filling || live.fills;
    const work::Job* job = this->FindJob(key.first.job);
    if (live.fills || !live.longRunning || job == nullptr ||
        job->tasks.empty()) {
      continue;
    }
    const Duration target = job->spec.steps[key.first.step].tailLatencyTarget;
    if (target.count() > 0) {
      serving = true;
      const double tailMs = static_cast<double>(live.load.value_or(0));
      worst =
        std::max(worst, tailMs * 1000.0 / static_cast<double>(target.count()));
    }
  }
  aSession.hasMixedLoad = serving && filling;
  if (!filling || this->now - aSession.paceCheckedAt < kPaceInterval) {
    return;
  }
  aSession.paceCheckedAt = this->now;
  for (auto& [key, live] : aSession.runs) {
    if (!live.fills || live.phase != RunPhase::Confirmed || live.stopping) {
      continue;
    }
    std::uint32_t wanted = live.paceAsked;
    if (worst > 1.0) {
      wanted = 0;
    } else if (worst > kHighTailRatio) {
      wanted = live.paceAsked / 2;
    } else if (worst < kLowTailRatio) {
      wanted = std::min(kFullPacePercent, live.paceAsked + kPaceStepPercent);
    }
    if (wanted == live.paceAsked) {
      continue;
    }
    this->LogDecision(
      "task_paced",
      key.first.job.value,
      { { "task", Text(key.first) },
        { "upstream", aId.value },
        { "percent", Text(wanted) },
        { "tail_of_target", Text(static_cast<std::int64_t>(worst * 100.0)) } });
    PaceTask pace;
    pace.token = ++this->lastToken;
    pace.to = this->DestinationOf(aId, aSession);
    pace.task = key.first;
    pace.run = key.second;
    pace.percent = wanted;
    live.paceAsked = wanted;
    this->orders[pace.token] = { aId, key, false, true };
    this->output.instructions.emplace_back(std::move(pace));
  }
}

} // namespace hyssoppaddle::dispatch
