// Compares the time that the backlog takes with the time in which a new job is
// still worth running.
#include "dispatch/Admission.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A job has no value after this multiple of its objective. Estimates are wrong
// by up to half, so jobs are rejected only beyond it.
constexpr double kHopelessFactor = 3.0;
constexpr double kMinRetryMs = 500.0;
constexpr double kMaxRetryMs = 5000.0;

} // namespace

double
WorkAhead(std::span<const AcceptedWork> aAccepted, const WorkRank& aRank)
{
  double work = 0;
  for (const AcceptedWork& job : aAccepted) {
    work += job.started; // is not interrupted
    work += job.rank <= aRank ? job.unstarted : 0;
  }
  return work;
}

std::optional<Duration>
RetryAfter(const ServiceLoad& aLoad,
           const work::Queue& aQueue,
           const work::JobSpec& aSpec,
           bool aIsLent)
{
  const bool lasts =
    std::any_of(aSpec.steps.begin(),
                aSpec.steps.end(),
                [](const work::Step& aStep) { return aStep.longRunning; });
  const double cores = aLoad.capacity + aLoad.reachable;
  if (lasts || aSpec.firstDue || cores <= 0) {
    return std::nullopt; // these can wait without losing value
  }
  if (!aLoad.hasWaitingTasks) {
    return std::nullopt;
  }
  double chainMs = 0;
  for (const work::Step& step : aSpec.steps) {
    chainMs += std::chrono::duration<double, std::milli>(step.estimate).count();
  }
  const double objectiveMs =
    chainMs * aQueue.stretch +
    std::chrono::duration<double, std::milli>(aQueue.targetCompletion).count();
  const double waitMs = aLoad.backlog / cores;
  const double longestWaitMs =
    aIsLent ? objectiveMs - chainMs : objectiveMs * kHopelessFactor;
  const double excess = waitMs - longestWaitMs;
  if (excess <= 0) {
    return std::nullopt;
  }
  const double retry = std::clamp(excess, kMinRetryMs, kMaxRetryMs);
  return Duration(static_cast<std::int64_t>(retry * 1000.0));
}

} // namespace hyssoppaddle::dispatch
