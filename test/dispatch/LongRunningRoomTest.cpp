// Room for long-running tasks: a pool that has enough cores in total but no
// upstream that takes a waiting task.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// A queue "archive" with six upstreams, which has had its first job, and six
// instances on standby. Maintenance takes longer than a task may wait.
void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("archive");
  aDeployment.AddService("spare", true);
  for (int i = 0; i < 6; ++i) {
    aDeployment.AddUpstream("archive");
    aDeployment.AddStandby("spare-" + std::to_string(i), "spare");
  }
  aDeployment.SetMaintenanceTime(seconds(12));
  aDeployment.ElectLeader();
  aDeployment.Run(milliseconds(500));
  aDeployment.Submit(
    "first", "archive", { MakeStep(1, 100, milliseconds(100)) });
}

work::Step
MakeArchive(std::uint32_t aCount)
{
  work::Step step = MakeStep(aCount, 1000, seconds(600));
  step.longRunning = true;
  return step;
}

// Stops the tasks of one upstream for maintenance, and expects that all tasks
// run again long before it returns.
void
ExpectRoomDuringMaintenance(TestTrace& aTrace,
                            FakeDeployment& aDeployment,
                            const work::Step& aStep)
{
  const std::size_t tasks = aStep.count;
  const auto allRun = [&] { return aDeployment.RunningOn("archive") == tasks; };
  aTrace.Section("all tasks run, and idle instances leave the pool", [&] {
    aDeployment.Submit("archive", "archive", { aStep });
    aDeployment.Run(seconds(8));
    EXPECT_THAT(aTrace, allRun());
  });
  aTrace.Section("maintenance stops what one upstream runs", [&] {
    aDeployment.StartWave(1, { "machine-1" }, seconds(20), 1);
    EXPECT_THAT(aTrace,
                aDeployment.RunUntil(seconds(4), [&] { return !allRun(); }));
  });
  aTrace.Section("an instance joins the pool for it", [&] {
    EXPECT_THAT(aTrace, aDeployment.RunUntil(seconds(3), allRun));
    EXPECT_THAT(aTrace, aDeployment.violations.empty());
  });
}

} // namespace

// Guards against a long-running task that waits until its instance returns from
// maintenance: each other upstream runs as many tasks of its step as it may.
Test(LongRunningRoom, IsFoundWhenTheStepLimitRefusesEachUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeArchive(6);
  step.maxPerUpstream = 1;
  ExpectRoomDuringMaintenance(trace, deployment, step);
}

// The same where memory is used up and cores are free.
Test(LongRunningRoom, IsFoundWhenMemoryRefusesEachUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeArchive(6);
  step.size.memoryMb = 40000; // of 64000
  ExpectRoomDuringMaintenance(trace, deployment, step);
}

// Best-effort tasks use no cores of their own, but they need an upstream.
Test(LongRunningRoom, IsFoundForBestEffortTasks)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeArchive(6);
  step.maxPerUpstream = 1;
  step.fills = true;
  ExpectRoomDuringMaintenance(trace, deployment, step);
}

Test(LongRunningRoom, TakesNoMoreInstancesThanTheTasksNeed)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  trace.Section("nine tasks on nine upstreams", [&] {
    work::Step step = MakeArchive(9);
    step.maxPerUpstream = 1;
    deployment.Submit("archive", "archive", { step });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, deployment.RunningOn("archive"), 9U);
    EXPECT_EQUAL(trace, deployment.UpstreamsOf("archive"), 9U);
    EXPECT_EQUAL(trace, deployment.moves, 3U);
  });
  trace.Section("none for a task that an empty instance would not take", [&] {
    work::Step large = MakeArchive(2);
    large.size.memoryMb = 70000;
    work::Step labelled = MakeArchive(2);
    labelled.requiredLabel = "rare";
    deployment.Submit("large", "archive", { large, labelled });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, deployment.moves, 3U);
  });
}
