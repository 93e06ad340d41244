// Watches the runs of all upstreams: learns from their progress and their ends,
// and finds those that may end too late where they are.
//
// Load pattern: as of RunRemedy, UpstreamSpeed and RunTimes, which decide about
// plain values; this class derives the values from the sessions.
#ifndef hyssoppaddle_dispatch_RunWatch_h
#define hyssoppaddle_dispatch_RunWatch_h

#include "dispatch/Placement.h"
#include "dispatch/RunRemedy.h"
#include "dispatch/RunTimes.h"
#include "dispatch/StepTimes.h"
#include "dispatch/UpstreamSpeed.h"
#include "work/WorkState.h"

#include <set>
#include <utility>
#include <vector>

namespace hyssoppaddle::dispatch {

// A run as the leader keeps it, before its start is ordered.
LiveRun
DescribeRun(const work::Job& aJob,
            const work::TaskRef& aTask,
            const work::Run& aRun);

// Kinds of the runs on aSession that were there for the second half of the time
// of aRun, which has been observed and has left aSession. Sorted, without
// repetition.
std::vector<std::string>
NeighboursOf(const LiveRun& aRun, const UpstreamSession& aSession);

struct RunReview
{
  struct SpeedChange
  {
    InstanceId upstream;
    ServiceId service;
    bool isSlow = false;
    double slowdown = 1.0;
    std::size_t slowPeers = 0; // in its service, with this one
  };

  std::vector<SpeedChange> speedChanges;
  std::vector<std::pair<InstanceId, RunKey>> restarts; // runs to be stopped
  std::set<work::TaskRef> secondRuns; // tasks that should get a second run
};

class RunWatch
{
public:
  // Called for each run in a list, with its progress up to date in aRun.
  void ObserveProgress(const InstanceId& aUpstream,
                       const RunKey& aKey,
                       LiveRun& aRun,
                       Time aNow);
  // Called when an end as done is recorded and the run has left aSession.
  // Returns what it has shown, without its neighbours, unless its time is not
  // known or its upstream is held slow.
  std::optional<RunObservation> ObserveEnd(const work::EndRun& aEnd,
                                           const LiveRun& aRun,
                                           const UpstreamSession& aSession,
                                           Time aNow);
  void ForgetUpstream(const InstanceId& aUpstream)
  {
    this->speeds.Forget(aUpstream);
  }

  void ForgetJob(const JobId& aJob) { this->stepTimes.ForgetJob(aJob); }
  [[nodiscard]] const StepTimes& StepTimesSoFar() const
  {
    return this->stepTimes;
  }

  // Updates the marks of slow and silent upstreams in aSessions and decides
  // about all runs. aStopTime is the longest time that a run takes to stop.
  RunReview Review(Sessions& aSessions,
                   const work::WorkState& aState,
                   Duration aStopTime,
                   Time aNow);

private:
  // Run time on an upstream of usual speed.
  struct Expectation
  {
    Duration time{ 0 };
    bool isMeasured = false; // by other runs of the same step
  };

  // The upstreams of one service.
  struct Pool
  {
    std::size_t upstreams = 0;
    std::size_t slow = 0;
    std::size_t runs = 0;  // of tasks that end by themselves
    std::size_t moved = 0; // second runs, and runs that are stopped
  };

  [[nodiscard]] Expectation Expect(const work::TaskRef& aTask,
                                   const LiveRun& aRun,
                                   Time aNow) const;
  // Records how many times longer than aExpected a run takes that has done
  // aFraction of its work.
  void ObserveSpeed(const InstanceId& aUpstream,
                    const work::TaskRef& aTask,
                    const Expectation& aExpected,
                    Duration aElapsed,
                    double aFraction,
                    Time aNow);
  void MarkUpstreams(Sessions& aSessions,
                     std::map<ServiceId, Pool>& aPools,
                     std::vector<RunReview::SpeedChange>& aChanges,
                     Time aNow) const;
  [[nodiscard]] Remedy RemedyOf(const Sessions& aSessions,
                                const UpstreamSession& aSession,
                                const RunKey& aKey,
                                const LiveRun& aRun,
                                const work::WorkState& aState,
                                Duration aStopTime,
                                Time aNow) const;
  [[nodiscard]] RunSituation SituationOf(const UpstreamSession& aSession,
                                         const work::TaskRef& aTask,
                                         const LiveRun& aRun,
                                         Time aNow) const;

  RunTimes runTimes;
  StepTimes stepTimes;
  UpstreamSpeed speeds;
};

} // namespace hyssoppaddle::dispatch

#endif
