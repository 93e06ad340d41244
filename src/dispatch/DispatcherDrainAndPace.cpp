// Stops tasks on draining upstreams and paces best-effort tasks that run beside
// serving tasks.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A long-running or checkpointing task is stopped on a draining upstream this
// many maximum stop times before the upstream may leave, so that its checkpoint
// is saved in time.
constexpr int kStopTimesBeforeDeparture = 2;
// Ratios of the measured tail latency to its target: above the high one,
// best-effort tasks are slowed down; below the low one, they are sped up.
constexpr double kHighTailRatio = 0.7;
constexpr double kLowTailRatio = 0.4;
constexpr std::uint32_t kPaceStepPercent = 20;        // increase per check
constexpr Duration kPaceInterval = milliseconds(400); // between two checks
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

// Controls best-effort tasks by the tail latency of the serving tasks on the
// same upstream. Their pace is cut at once and raised in steps.
void
Dispatcher::PaceBestEffort(const InstanceId& aId, UpstreamSession& aSession)
{
  double worst = 0;
  bool hasServing = false;
  if (aSession.fillingRuns == 0) {
    aSession.hasMixedLoad = false;
    return;
  }
  for (const auto& [key, live] : aSession.runs) {
    if (live.fills || !live.longRunning) {
      continue;
    }
    const work::Job* job = this->FindJob(key.first.job);
    if (job == nullptr || job->tasks.empty()) {
      continue;
    }
    const Duration target = job->spec.steps[key.first.step].tailLatencyTarget;
    if (target.count() > 0) {
      hasServing = true;
      const double tailMs = static_cast<double>(live.load.value_or(0));
      worst =
        std::max(worst, tailMs * 1000.0 / static_cast<double>(target.count()));
    }
  }
  aSession.hasMixedLoad = hasServing;
  if (this->now - aSession.paceCheckedAt < kPaceInterval) {
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
    this->orders[pace.token] = { aId,  aSession.record.boot,
                                 key,  false,
                                 true, this->now };
    this->output.instructions.emplace_back(std::move(pace));
  }
}

} // namespace hyssoppaddle::dispatch
