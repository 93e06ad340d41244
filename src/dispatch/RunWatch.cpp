// Derives observations and situations from the sessions of the leader.
#include "dispatch/RunWatch.h"
#include "dispatch/TicketCache.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// A run is overdue after this multiple of its expected time.
constexpr int kOverdueFactor = 2;
// Declared estimates are off by this factor in both directions. A run that is
// compared with its estimate must be slower by as much to show that its
// upstream is.
constexpr double kEstimateTolerance = 1.75;
// Lower bound of an expected time.
constexpr Duration kMinExpected = std::chrono::milliseconds(20);
constexpr double kMinMeasuredPart = 0.2; // of the work of a task
// Before this time the progress of a run is too small to tell its speed.
constexpr Duration kMinMeasured = std::chrono::milliseconds(200);
// A start is answered within this time unless its answer is lost.
constexpr Duration kStartAnswerTime = std::chrono::milliseconds(100);
// Runs with a higher number are left where they are, so that a task does not
// move from upstream to upstream for ever.
constexpr std::uint32_t kMaxRemediedRun = 4;
// One upstream in this many may be held slow. When more of them are, the
// expected times are wrong.
constexpr std::size_t kPeersPerSlow = 3;

// True when the speed of the upstream shows in the run.
bool
IsMeasurable(const LiveRun& aRun)
{
  return !aRun.longRunning && !aRun.fills && !aRun.isGang;
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

// True when another upstream of the service takes the run now.
bool
HasRoomElsewhere(const Sessions& aSessions,
                 const UpstreamSession& aSession,
                 const LiveRun& aRun,
                 Time aNow)
{
  return std::any_of(
    aSessions.begin(), aSessions.end(), [&](const auto& aItem) {
      const UpstreamSession& other = aItem.second;
      return other.record.service == aSession.record.service && !other.isSlow &&
             IsUsable(other, aNow) && aRun.size.FitsInto(other.Free());
    });
}

} // namespace

LiveRun
DescribeRun(const work::Job& aJob,
            const work::TaskRef& aTask,
            const work::Run& aRun)
{
  const work::Step& step = aJob.spec.steps[aTask.step];
  LiveRun live;
  live.run = aRun;
  live.workspace = aJob.workspace;
  live.size = step.size;
  live.longRunning = step.longRunning;
  live.fills = step.fills;
  live.kind = KindOf(aJob.queue, step, aTask.step);
  live.declared = DeclaredTime(step);
  live.isGang = step.gang;
  live.mayRunTwice = step.speculative && !step.gang && !step.longRunning;
  return live;
}

std::vector<std::string>
NeighboursOf(const LiveRun& aRun, const UpstreamSession& aSession)
{
  const Time half =
    *aRun.measuredSince + (aRun.endProposedAt - *aRun.measuredSince) / 2;
  std::set<std::string> kinds;
  for (const auto& [key, live] : aSession.runs) {
    if (live.phase == RunPhase::Confirmed && live.phaseSince <= half) {
      kinds.insert(live.kind);
    }
  }
  return { kinds.begin(), kinds.end() };
}

RunWatch::Expectation
RunWatch::Expect(const work::TaskRef& aTask,
                 const LiveRun& aRun,
                 Time aNow) const
{
  if (const auto measured = this->stepTimes.TimeOf(StepOf(aTask))) {
    return { *measured, true };
  }
  return { Scaled(aRun.declared, this->runTimes.UsualRatio(aRun.kind, aNow)),
           false };
}

void
RunWatch::ObserveSpeed(const InstanceId& aUpstream,
                       const work::TaskRef& aTask,
                       const Expectation& aExpected,
                       Duration aElapsed,
                       double aFraction,
                       Time aNow)
{
  const double slowdown =
    static_cast<double>(aElapsed.count()) /
    (static_cast<double>(std::max(aExpected.time, kMinExpected).count()) *
     aFraction);
  this->speeds.Observe(aUpstream,
                       StepOf(aTask),
                       aExpected.isMeasured ? slowdown
                                            : slowdown / kEstimateTolerance,
                       aNow);
}

void
RunWatch::ObserveProgress(const InstanceId& aUpstream,
                          const RunKey& aKey,
                          LiveRun& aRun,
                          Time aNow)
{
  if (!IsMeasurable(aRun)) {
    return;
  }
  aRun.listedAt = aNow;
  if (!aRun.measuredSince || aRun.percent < aRun.percentAtStart) {
    aRun.measuredSince = aNow;
    aRun.percentAtStart = aRun.percent;
    return;
  }
  const Duration elapsed = aNow - *aRun.measuredSince;
  if (elapsed < kMinMeasured) {
    return;
  }
  const Expectation expected = this->Expect(aKey.first, aRun, aNow);
  if (elapsed < expected.time / 2) {
    return;
  }
  const std::uint32_t percent = aRun.percent - aRun.percentAtStart;
  this->ObserveSpeed(aUpstream,
                     aKey.first,
                     expected,
                     elapsed,
                     std::max(1U, percent) / 100.0,
                     aNow);
}

std::optional<RunObservation>
RunWatch::ObserveEnd(const work::EndRun& aEnd,
                     const LiveRun& aRun,
                     const UpstreamSession& aSession,
                     Time aNow)
{
  if (!IsMeasurable(aRun) || !aRun.measuredSince ||
      aRun.endEvidence != EndEvidence::Listed || aRun.percentAtStart >= 100) {
    return std::nullopt;
  }
  RunObservation observation;
  observation.kind = aRun.kind;
  observation.upstream = aEnd.upstream;
  observation.task = aEnd.task;
  observation.elapsed = aRun.endProposedAt - *aRun.measuredSince;
  observation.fraction = (100 - aRun.percentAtStart) / 100.0;
  observation.declared = aRun.declared;
  observation.milliCpus = aRun.size.milliCpus;
  this->ObserveSpeed(aEnd.upstream,
                     aEnd.task,
                     this->Expect(aEnd.task, aRun, aNow),
                     observation.elapsed,
                     observation.fraction,
                     aNow);
  if (aSession.isSlow) {
    return std::nullopt;
  }
  this->runTimes.Add(observation, aNow);
  // The progress of a short rest is too coarse to tell the time of the whole.
  if (observation.fraction >= kMinMeasuredPart) {
    this->stepTimes.Add(
      StepOf(aEnd.task),
      Scaled(observation.elapsed, 1.0 / observation.fraction));
  }
  return observation;
}

void
RunWatch::MarkUpstreams(Sessions& aSessions,
                        std::map<ServiceId, Pool>& aPools,
                        std::vector<RunReview::SpeedChange>& aChanges,
                        Time aNow) const
{
  std::set<InstanceId> slow;
  for (auto& [id, session] : aSessions) {
    Pool& pool = aPools[session.record.service];
    ++pool.upstreams;
    if (this->speeds.IsSlow(id, aNow)) {
      ++pool.slow;
      slow.insert(id);
    }
    pool.runs += session.endingRuns;
    for (const auto& [key, live] : session.runs) {
      pool.moved += live.isSecond || live.stopping ? 1 : 0;
    }
    if (session.unanswered == 0) {
      session.silentSince.reset();
    } else if (!session.silentSince) {
      session.silentSince = aNow;
    }
  }
  for (auto& [id, session] : aSessions) {
    const Pool& pool = aPools[session.record.service];
    const bool isSlow =
      slow.contains(id) && pool.slow * kPeersPerSlow <= pool.upstreams;
    if (isSlow != session.isSlow) {
      session.isSlow = isSlow;
      aChanges.push_back({ id,
                           session.record.service,
                           isSlow,
                           this->speeds.SlowdownOf(id, aNow),
                           pool.slow });
    }
  }
}

RunSituation
RunWatch::SituationOf(const UpstreamSession& aSession,
                      const work::TaskRef& aTask,
                      const LiveRun& aRun,
                      Time aNow) const
{
  RunSituation situation;
  situation.mayRunTwice = aRun.mayRunTwice;
  situation.expected = this->Expect(aTask, aRun, aNow).time;
  if (aSession.silentSince) {
    situation.silence = aNow - *aSession.silentSince;
  }
  situation.isStartUnanswered = aSession.fenceConfirmed &&
                                aRun.phase == RunPhase::Unanswered &&
                                aNow - aRun.phaseSince >= kStartAnswerTime;
  situation.isUpstreamSlow = aSession.isSlow;
  if (aRun.measuredSince && aRun.phase == RunPhase::Confirmed) {
    const Duration elapsed = aRun.listedAt - *aRun.measuredSince;
    situation.isOverdue = elapsed > situation.expected * kOverdueFactor;
    if (aRun.percent > aRun.percentAtStart && elapsed >= kMinMeasured) {
      const std::uint32_t done = aRun.percent - aRun.percentAtStart;
      situation.remaining =
        elapsed * (100 - aRun.percent) / done - (aNow - aRun.listedAt);
    }
  }
  return situation;
}

Remedy
RunWatch::RemedyOf(const Sessions& aSessions,
                   const UpstreamSession& aSession,
                   const RunKey& aKey,
                   const LiveRun& aRun,
                   const work::WorkState& aState,
                   Duration aStopTime,
                   Time aNow) const
{
  if (!IsMeasurable(aRun) || aRun.stopping ||
      aRun.phase == RunPhase::Proposed || aKey.second > kMaxRemediedRun) {
    return Remedy::None;
  }
  RunSituation situation = this->SituationOf(aSession, aKey.first, aRun, aNow);
  if (!situation.isStartUnanswered && !situation.isUpstreamSlow &&
      !situation.isOverdue && situation.silence.count() == 0) {
    return Remedy::None;
  }
  const work::Job* job = aState.FindJob(aKey.first.job);
  const work::Task* task = job == nullptr ? nullptr : job->Find(aKey.first);
  if (task == nullptr || task->runs.size() != 1) {
    return Remedy::None;
  }
  if (job->spec.steps[aKey.first.step].checkpoints) {
    situation.saved = aRun.percent / 100.0;
  }
  const Remedy remedy = RemedyFor(situation, aStopTime);
  const bool hasPlace = remedy != Remedy::Restart ||
                        HasRoomElsewhere(aSessions, aSession, aRun, aNow);
  return hasPlace ? remedy : Remedy::None;
}

RunReview
RunWatch::Review(Sessions& aSessions,
                 const work::WorkState& aState,
                 Duration aStopTime,
                 Time aNow)
{
  RunReview review;
  std::map<ServiceId, Pool> pools;
  this->MarkUpstreams(aSessions, pools, review.speedChanges, aNow);
  for (const auto& [id, session] : aSessions) {
    Pool& pool = pools[session.record.service];
    for (const auto& [key, live] : session.runs) {
      const Remedy remedy =
        this->RemedyOf(aSessions, session, key, live, aState, aStopTime, aNow);
      if (remedy == Remedy::None ||
          !IsWithinCopyBudget(pool.moved, pool.runs)) {
        continue;
      }
      ++pool.moved;
      if (remedy == Remedy::Restart) {
        review.restarts.emplace_back(id, key);
      } else {
        review.secondRuns.insert(key.first);
      }
    }
  }
  return review;
}

} // namespace hyssoppaddle::dispatch
