// Uneven upstreams and uneven work: what is learned from runs, and what is done
// about runs that would end too late where they are.
#include "FakeDeployment.h"
#include "dispatch/JobView.h"
#include "dispatch/RunRemedy.h"
#include "dispatch/RunTimes.h"
#include "dispatch/UpstreamSpeed.h"

#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::Remedy;
using dispatch::RunObservation;
using dispatch::RunSituation;
using dispatch::RunTimes;
using dispatch::seconds;
using dispatch::StepTimes;
using dispatch::UpstreamSpeed;
using work::JobState;

namespace {

const Time kStart{ seconds(1000) };
const InstanceId kFirst("up-1");

RunObservation
Observed(const std::string& aKind, Duration aElapsed, Duration aDeclared)
{
  RunObservation observation;
  observation.kind = aKind;
  observation.elapsed = aElapsed;
  observation.declared = aDeclared;
  return observation;
}

work::TaskRef
StepNumber(std::uint32_t aNumber)
{
  return { JobId("job-" + std::to_string(aNumber)), 0, 0, 0 };
}

// A service of aUpstreams upstreams with 8 cores each, and its leader.
void
MakeReady(FakeDeployment& aDeployment, int aUpstreams)
{
  aDeployment.AddService("print");
  for (int i = 0; i < aUpstreams; ++i) {
    aDeployment.AddUpstream("print");
  }
  aDeployment.ElectLeader();
  aDeployment.Run(milliseconds(100));
}

work::Step
MakeSpeculative(std::uint32_t aCount, Duration aRuns)
{
  work::Step step = MakeStep(aCount, 2000, aRuns);
  step.speculative = true;
  return step;
}

std::size_t
CountDecisions(const FakeDeployment& aDeployment, std::string_view aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aDeployment.decisions.begin(),
                  aDeployment.decisions.end(),
                  [aKind](const dispatch::Decision& aDecision) {
                    return aDecision.kind == aKind;
                  }));
}

void
ExpectNoViolation(TestTrace& aTrace, const FakeDeployment& aDeployment)
{
  EXPECT_EQUAL(aTrace,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

} // namespace

// Load pattern of RunTimes: the estimates of one kind are half of what its
// tasks take, and some tasks take seven times as long.
Test(RunTimes, FollowTheMedianOfAKind)
{
  TestTrace trace;
  RunTimes times;
  for (int i = 0; i < 40; ++i) {
    const bool isLong = i % 10 == 0;
    times.Add(Observed("tint", seconds(isLong ? 14 : 2), seconds(1)), kStart);
  }
  trace.Section("long tasks do not move it", [&] {
    EXPECT_EQUAL(trace, times.UsualRatio("tint", kStart), 2.0);
  });
  trace.Section("another kind is as declared", [&] {
    EXPECT_EQUAL(trace, times.UsualRatio("match", kStart), 1.0);
  });
  trace.Section("three runs are too few", [&] {
    for (int i = 0; i < 3; ++i) {
      times.Add(Observed("match", seconds(9), seconds(1)), kStart);
    }
    EXPECT_EQUAL(trace, times.UsualRatio("match", kStart), 1.0);
  });
  trace.Section("part of the work counts as such", [&] {
    for (int i = 0; i < 32; ++i) {
      RunObservation rest = Observed("rest", seconds(1), seconds(2));
      rest.fraction = 0.25;
      times.Add(rest, kStart);
    }
    EXPECT_EQUAL(trace, times.UsualRatio("rest", kStart), 2.0);
  });
  trace.Section("it is forgotten with time", [&] {
    const Time later = kStart + RunTimes::kRetention + seconds(1);
    EXPECT_EQUAL(trace, times.UsualRatio("tint", later), 1.0);
  });
}

// Estimates of nothing and clocks that step must not spoil what was learned,
// and names that change must not take more and more memory.
Test(RunTimes, AreBoundedAndIgnoreBadInput)
{
  TestTrace trace;
  RunTimes times;
  for (int i = 0; i < 32; ++i) {
    times.Add(Observed("tint", seconds(1), Duration(0)), kStart);
    times.Add(Observed("tint", -seconds(5), seconds(1)), kStart);
    times.Add(Observed("hours", seconds(3600), milliseconds(1)), kStart);
  }
  EXPECT_EQUAL(trace, times.UsualRatio("tint", kStart), 1.0);
  EXPECT_EQUAL(trace, times.UsualRatio("hours", kStart), RunTimes::kMaxRatio);
  for (std::size_t i = 0; i < 2 * RunTimes::kMaxKinds; ++i) {
    times.Add(Observed("kind-" + std::to_string(i), seconds(1), seconds(1)),
              kStart + milliseconds(static_cast<int>(i)));
  }
  EXPECT_EQUAL(trace, times.CountKinds(), RunTimes::kMaxKinds);
}

// Load pattern of StepTimes: the first step of a job takes twice its estimate,
// so its caller is owed an answer later, and more work is left.
Test(StepTimes, TakeThePlaceOfEstimates)
{
  TestTrace trace;
  StepTimes times;
  const JobId id("job");
  work::Job job;
  job.spec.steps = { MakeStep(4, 1000, seconds(1)),
                     MakeStep(1, 1000, seconds(1)) };
  job.spec.steps[1].after = { 0 };
  job.tasks = { { std::vector<work::Task>(4), std::vector<work::Task>(1) } };
  work::Queue queue;
  queue.stretch = 2.0;
  const auto view = [&] {
    return dispatch::MakeView(id, job, &queue, WallTime{}, &times);
  };
  trace.Section("one run is not enough", [&] {
    times.Add({ id, 0, 0, 0 }, seconds(2));
    EXPECT_THAT(trace, view().objective == WallTime(seconds(4)));
    EXPECT_EQUAL(trace, view().remainingWork, 5000.0);
  });
  trace.Section("two runs are", [&] {
    times.Add({ id, 0, 0, 0 }, seconds(9));
    EXPECT_THAT(trace, view().objective == WallTime(seconds(6)));
    EXPECT_THAT(trace, view().remainingChain == seconds(3));
    EXPECT_EQUAL(trace, view().remainingWork, 9000.0);
  });
  trace.Section("a job that has ended takes no memory", [&] {
    times.ForgetJob(id);
    EXPECT_THAT(trace, !times.TimeOf({ id, 0, 0, 0 }).has_value());
  });
}

// Load pattern of UpstreamSpeed: slow upstreams, beside tasks that are slow by
// themselves and jobs with estimates that are too low.
Test(UpstreamSpeed, TellsASlowUpstreamFromSlowWork)
{
  TestTrace trace;
  UpstreamSpeed speeds;
  trace.Section("one step of which every task is slow is not enough", [&] {
    for (int i = 0; i < 10; ++i) {
      speeds.Observe(kFirst, StepNumber(1), 7.0, kStart);
    }
    EXPECT_THAT(trace, !speeds.IsSlow(kFirst, kStart));
  });
  trace.Section("a second step of usual speed keeps it sound", [&] {
    speeds.Observe(kFirst, StepNumber(2), 1.2, kStart);
    EXPECT_THAT(trace, !speeds.IsSlow(kFirst, kStart));
  });
  trace.Section("a slow task beside a usual one of its step as well", [&] {
    speeds.Observe(kFirst, StepNumber(2), 9.0, kStart);
    speeds.Observe(kFirst, StepNumber(3), 7.0, kStart);
    speeds.Observe(kFirst, StepNumber(3), 0.9, kStart);
    EXPECT_THAT(trace, !speeds.IsSlow(kFirst, kStart));
  });
  trace.Section("two steps that agree are enough", [&] {
    const InstanceId other("up-2");
    speeds.Observe(other, StepNumber(1), 5.0, kStart);
    speeds.Observe(other, StepNumber(2), 6.0, kStart);
    EXPECT_THAT(trace, speeds.IsSlow(other, kStart));
    EXPECT_EQUAL(trace, speeds.SlowdownOf(other, kStart), 5.0);
  });
  trace.Section("evidence ages out", [&] {
    const Time later = kStart + UpstreamSpeed::kRetention + milliseconds(1);
    EXPECT_THAT(trace, !speeds.IsSlow(InstanceId("up-2"), later));
  });
}

Test(RunRemedy, ActsOnlyWhereAnotherRunEndsSooner)
{
  TestTrace trace;
  const Duration stop = milliseconds(900);
  RunSituation usual;
  usual.expected = seconds(1);
  usual.remaining = seconds(20);
  trace.Section("a long task on a sound upstream stays", [&] {
    usual.isOverdue = true;
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::None);
    usual.mayRunTwice = true;
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::None);
  });
  trace.Section("on a slow upstream it gets a second run or moves", [&] {
    usual.isUpstreamSlow = true;
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::SecondRun);
    usual.mayRunTwice = false;
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::Restart);
  });
  trace.Section("not when it has nearly ended", [&] {
    usual.remaining = seconds(2);
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::None);
  });
  trace.Section("saved work makes a move worth while", [&] {
    usual.saved = 0.9;
    EXPECT_THAT(trace, RemedyFor(usual, stop) == Remedy::Restart);
  });
  trace.Section("a run without progress moves", [&] {
    RunSituation stalled;
    stalled.expected = seconds(1);
    stalled.isOverdue = true;
    EXPECT_THAT(trace, RemedyFor(stalled, stop) == Remedy::Restart);
  });
  trace.Section("behind silence only a second run is possible", [&] {
    RunSituation silent;
    silent.expected = seconds(1);
    silent.silence = seconds(1);
    silent.isUpstreamSlow = true;
    EXPECT_THAT(trace, RemedyFor(silent, stop) == Remedy::None);
    silent.mayRunTwice = true;
    EXPECT_THAT(trace, RemedyFor(silent, stop) == Remedy::SecondRun);
  });
  trace.Section("second runs are limited", [&] {
    EXPECT_THAT(trace, dispatch::IsWithinCopyBudget(3, 8));
    EXPECT_THAT(trace, !dispatch::IsWithinCopyBudget(4, 8));
    EXPECT_THAT(trace, dispatch::IsWithinCopyBudget(29, 300));
    EXPECT_THAT(trace, !dispatch::IsWithinCopyBudget(30, 300));
  });
}

// An upstream is cut off while it runs tasks. Its lease lasts for seconds.
Test(UnevenWork, ATaskThatMayRunTwiceDoesNotWaitForASilentUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 4);
  deployment.Submit("twice", "print", { MakeSpeculative(3, seconds(1)) });
  deployment.Submit("once", "print", { MakeStep(1, 2000, seconds(1)) });
  deployment.Run(milliseconds(100));
  std::string holder;
  for (auto& [id, up] : deployment.upstreams) {
    if (!up.running.empty()) {
      EXPECT_EQUAL(trace, up.running.size(), 4U);
      holder = id.value;
      up.reachable = false;
    }
  }
  trace.Section("it runs elsewhere as well", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(4), [&] {
      return deployment.StateOf("twice") == JobState::Completed;
    }));
    EXPECT_EQUAL(trace, CountDecisions(deployment, "second_run_wanted"), 3U);
  });
  trace.Section("a task without permission waits for the lease", [&] {
    EXPECT_EQUAL(trace, deployment.StateOf("once"), JobState::Running);
    deployment.Run(seconds(10));
    EXPECT_EQUAL(trace, deployment.StateOf("once"), JobState::Completed);
  });
  trace.Section("the upstream that comes back is used again", [&] {
    deployment.upstreams.at(InstanceId(holder)).reachable = true;
    deployment.Run(seconds(3));
    deployment.Submit("later", "print", { MakeStep(16, 2000, seconds(1)) });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, deployment.StateOf("later"), JobState::Completed);
    ExpectNoViolation(trace, deployment);
  });
}

// The second run is lost, and later the leader, while both runs execute.
Test(UnevenWork, SecondRunsSurviveFailuresHalfWay)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  const auto stallHolder = [&] {
    for (auto& [id, up] : deployment.upstreams) {
      if (!up.running.empty() && !up.stalledSince) {
        up.stalledSince =
          deployment.state.Tables().now.time_since_epoch() + Time{};
      }
    }
  };
  deployment.Submit("job", "print", { MakeSpeculative(1, seconds(1)) });
  deployment.Run(milliseconds(100));
  stallHolder();
  EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
    return deployment.secondRunsSeen == 1;
  }));
  trace.Section("the next leader keeps both runs and ends one of them", [&] {
    deployment.ChangeLeader();
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("job") == JobState::Completed;
    }));
    deployment.Run(seconds(2));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
    ExpectNoViolation(trace, deployment);
  });
  trace.Section("where all others are gone the task goes on alone", [&] {
    for (auto& [id, up] : deployment.upstreams) {
      up.stalledSince.reset();
    }
    deployment.Submit("next", "print", { MakeSpeculative(1, seconds(1)) });
    deployment.Run(milliseconds(100));
    stallHolder();
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.secondRunsSeen == 2;
    }));
    for (auto& [id, up] : deployment.upstreams) {
      const bool isStalled = up.stalledSince.has_value();
      up.stalledSince.reset();
      if (!isStalled) {
        deployment.Crash(id.value, false);
      }
    }
    EXPECT_THAT(trace, deployment.RunUntil(seconds(10), [&] {
      return deployment.StateOf("next") == JobState::Completed;
    }));
    ExpectNoViolation(trace, deployment);
  });
}

// Both runs of a task execute; the one that is behind fails after the other is
// done, with the last attempt that the queue allows.
Test(UnevenWork, ALateFailureOfTheOtherRunDoesNotFailTheJob)
{
  TestTrace trace;
  work::WorkState state;
  work::Batch batch;
  work::Setup setup;
  setup.version = 1;
  work::Queue queue;
  queue.name = work::QueueId("print");
  queue.maxAttempts = 1;
  setup.queues.push_back(queue);
  batch.commands.emplace_back(work::SetSetup{ setup });
  work::SubmitJob submit;
  submit.id = JobId("job");
  submit.queue = queue.name;
  submit.spec.steps = { MakeSpeculative(2, seconds(1)) };
  batch.commands.emplace_back(submit);
  const work::TaskRef task{ submit.id, 0, 0, 0 };
  for (std::uint32_t number = 1; number <= 2; ++number) {
    const InstanceId id("up-" + std::to_string(number));
    batch.commands.emplace_back(work::SetUpstream{ id, {} });
    batch.commands.emplace_back(work::StartRun{ task, { number, id, 0, {} } });
  }
  batch.commands.emplace_back(
    work::EndRun{ task, 1, InstanceId("up-1"), work::EndKind::Done, "" });
  batch.commands.emplace_back(
    work::EndRun{ task, 2, InstanceId("up-2"), work::EndKind::Failed, "" });
  for (const work::Verdict verdict : state.Apply(batch)) {
    EXPECT_THAT(trace, verdict == work::Verdict::Done);
  }
  EXPECT_EQUAL(trace, state.FindJob(submit.id)->state, JobState::Running);
  EXPECT_EQUAL(trace, state.FindJob(submit.id)->Find(task)->failures, 0U);
}

// Load pattern: one upstream in eight takes five times as long, beside tasks
// that take seven times as long by themselves.
Test(UnevenWork, TasksLeaveASlowUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 8);
  deployment.ownFactor = [](const work::TaskRef& aTask) {
    return aTask.index == 3 ? 7.0 : 1.0;
  };
  const auto run = [&](const std::string& aPrefix) {
    for (int i = 0; i < 6; ++i) {
      const std::string job = aPrefix + std::to_string(i);
      deployment.Submit(job, "print", { MakeStep(3, 2000, seconds(1)) });
    }
    deployment.Run(milliseconds(1500));
  };
  trace.Section("the runs that were there move", [&] {
    for (auto& [id, up] : deployment.upstreams) {
      up.slowdown = id == kFirst ? 5.0 : 1.0;
    }
    run("a");
    run("b");
    deployment.Run(seconds(2));
    for (const std::string prefix : { "a", "b" }) {
      for (int i = 0; i < 6; ++i) {
        EXPECT_EQUAL(trace,
                     deployment.StateOf(prefix + std::to_string(i)),
                     JobState::Completed);
      }
    }
    EXPECT_EQUAL(trace, CountDecisions(deployment, "upstream_slow"), 1U);
  });
  trace.Section("a task that is long by itself stays", [&] {
    deployment.upstreams.at(kFirst).slowdown = 1.0;
    deployment.Run(seconds(6));
    const std::size_t stopped = CountDecisions(deployment, "run_stopped");
    deployment.Submit("long", "print", { MakeStep(8, 2000, seconds(1)) });
    deployment.Run(milliseconds(7500));
    EXPECT_EQUAL(trace, deployment.StateOf("long"), JobState::Completed);
    EXPECT_EQUAL(trace, CountDecisions(deployment, "run_stopped"), stopped);
  });
  trace.Section("the upstream is found usual again", [&] {
    EXPECT_EQUAL(trace, CountDecisions(deployment, "upstream_usual"), 1U);
    ExpectNoViolation(trace, deployment);
  });
}
