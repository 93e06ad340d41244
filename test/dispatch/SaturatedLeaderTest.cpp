// A leader that has free cores for more runs than it can start and end itself.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// A run costs the leader four events: the commits of its start and of its end,
// and the answers to its order and to a renewal.
constexpr std::uint32_t kEventsPerRun = 4;
constexpr std::uint32_t kEventsPerSecond = 2000;
constexpr std::uint32_t kSteps = 4;
constexpr std::uint32_t kTasksPerStep = 3;
// Jobs a second that a leader with this number of events can carry out.
constexpr std::uint32_t kServedPerSecond =
  kEventsPerSecond / (kEventsPerRun * kSteps * kTasksPerStep);

// Four steps of 100 ms, one after the other. The objective of the job is 1.24 s
// (see AddService).
std::vector<work::Step>
ShortSteps()
{
  std::vector<work::Step> steps;
  for (std::uint32_t i = 0; i < kSteps; ++i) {
    steps.push_back(MakeStep(kTasksPerStep, 500, milliseconds(100)));
    if (i > 0) {
      steps.back().after = { i - 1 };
    }
  }
  return steps;
}

// Submits jobs at a steady rate. Returns the number of those that ended within
// the objective, which is that of all of them.
std::size_t
CountInTime(FakeDeployment& aDeployment,
            std::uint32_t aPerSecond,
            Duration aFor,
            Duration aObjective)
{
  const auto total = static_cast<std::size_t>(aPerSecond * aFor / seconds(1));
  const Duration interval = Duration(seconds(1)) / aPerSecond;
  Duration ahead{ 0 };
  for (std::size_t i = 0; i < total; ++i) {
    aDeployment.Submit("job-" + std::to_string(i), "print", ShortSteps());
    for (ahead += interval; ahead >= kTimeStep; ahead -= kTimeStep) {
      aDeployment.Run(kTimeStep);
    }
  }
  aDeployment.Run(seconds(5));
  std::size_t inTime = 0;
  for (std::size_t i = 0; i < total; ++i) {
    const std::string job = "job-" + std::to_string(i);
    inTime += aDeployment.StateOf(job) == work::JobState::Completed &&
                  aDeployment.EndedAfter(job) <= aObjective
                ? 1
                : 0;
  }
  return inTime;
}

void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  for (int i = 0; i < 60; ++i) {
    aDeployment.AddUpstream("print");
  }
  aDeployment.ElectLeader();
  aDeployment.Run(seconds(1));
  aDeployment.leaderEventsPerSecond = kEventsPerSecond;
}

} // namespace

// Guards against a peak in which the events of the leader wait for one another,
// so that all jobs are late while cores are free.
Test(SaturatedLeader, KeepsTheJobsInTimeThatItCanServe)
{
  constexpr Duration kObjective = milliseconds(1240);
  constexpr Duration kPeak = seconds(6);
  constexpr std::size_t kServable = kServedPerSecond * (kPeak / seconds(1));
  constexpr std::size_t kLightLoad =
    kServedPerSecond / 2 * (kPeak / seconds(1));
  TestTrace trace;
  trace.Section("a peak of half of what the leader can serve", [&] {
    FakeDeployment deployment;
    MakeReady(deployment);
    EXPECT_EQUAL(
      trace,
      CountInTime(deployment, kServedPerSecond / 2, kPeak, kObjective),
      kLightLoad);
  });
  trace.Section("a peak of twice of what the leader can serve", [&] {
    FakeDeployment deployment;
    MakeReady(deployment);
    const std::size_t inTime =
      CountInTime(deployment, kServedPerSecond * 2, kPeak, kObjective);
    EXPECT_THAT(trace, inTime >= kServable / 2);
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}

// Guards against long-running tasks that wait until a peak has ended.
Test(SaturatedLeader, StartsLongRunningTasksAtOnce)
{
  constexpr std::uint32_t kJobs = kServedPerSecond * 4;
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  trace.Section("four times as many jobs come as the leader can serve", [&] {
    for (std::uint32_t i = 0; i < kJobs; ++i) {
      deployment.Submit("job-" + std::to_string(i), "print", ShortSteps());
    }
    deployment.Run(seconds(1));
  });
  trace.Section("a long-running task is added", [&] {
    work::Step step = MakeStep(1, 500, seconds(600));
    step.longRunning = true;
    deployment.Submit("server", "print", { step });
    EXPECT_THAT(trace, deployment.RunUntil(seconds(1), [&] {
      return deployment.StateOf("server") == work::JobState::Running;
    }));
    EXPECT_THAT(trace,
                deployment.StateOf("job-" + std::to_string(kJobs - 1)) !=
                  work::JobState::Completed);
  });
}
