// Accepted work that waits although there is room for it: what keeps a task
// waiting has ended or concerns other tasks only.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// A service "print" with four upstreams of 8 cores, and its leader.
void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  for (int i = 0; i < 4; ++i) {
    aDeployment.AddUpstream("print");
  }
  aDeployment.ElectLeader();
  aDeployment.Run(milliseconds(100));
}

// Sixty jobs that rank before all others wait for something that is not there.
// A small job behind them starts at once.
void
ExpectSmallJobPasses(TestTrace& aTrace,
                     FakeDeployment& aDeployment,
                     const work::Step& aWaiting,
                     const std::string& aWorkspace = {})
{
  for (int i = 0; i < 60; ++i) {
    aDeployment.Submit(
      "a" + std::to_string(i), "print", { aWaiting }, aWorkspace);
  }
  aDeployment.Run(milliseconds(500));
  const std::size_t before = aDeployment.RunningOn("print");
  aTrace.Section("a job behind those that wait starts", [&] {
    aDeployment.Submit("small", "print", { MakeStep(2, 500, seconds(1)) });
    aDeployment.Run(milliseconds(100));
    EXPECT_EQUAL(aTrace, aDeployment.RunningOn("print"), before + 2);
  });
}

} // namespace

// Guards against a job that is never started because the limit of its workspace
// was released by runs in another service.
Test(WaitingWork, StartsWhenItsWorkspaceReleasesItsLimitInAnotherService)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddService("archive");
  deployment.AddUpstream("print");
  deployment.AddUpstream("archive");
  deployment.SetLimit("print", { 4000, 0, 0 });
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  trace.Section("a job takes the whole limit, another one waits for it", [&] {
    deployment.Submit("first", "print", { MakeStep(4, 1000, seconds(1)) });
    deployment.Run(milliseconds(50));
    deployment.Submit(
      "second", "archive", { MakeStep(2, 1000, seconds(1)) }, "print");
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 4U);
    EXPECT_EQUAL(trace, deployment.RunningOn("archive"), 0U);
  });
  trace.Section("the first job ends", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.RunningOn("archive") == 2;
    }));
  });
}

// The same for a limit that is released by the loss of an upstream.
Test(WaitingWork, StartsWhenItsWorkspaceLosesRunsInAnotherService)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddService("archive");
  deployment.AddUpstream("print");
  deployment.AddUpstream("archive");
  deployment.SetLimit("print", { 4000, 0, 0 });
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  trace.Section("long-running tasks take the whole limit", [&] {
    work::Step step = MakeStep(4, 1000, seconds(600));
    step.longRunning = true;
    deployment.Submit("first", "print", { step });
    deployment.Run(milliseconds(50));
    deployment.Submit(
      "second", "archive", { MakeStep(2, 1000, seconds(1)) }, "print");
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 4U);
    EXPECT_EQUAL(trace, deployment.RunningOn("archive"), 0U);
  });
  trace.Section("the only upstream of these is lost", [&] {
    deployment.Crash("up-1", false);
    EXPECT_THAT(trace, deployment.RunUntil(seconds(30), [&] {
      return deployment.RunningOn("archive") == 2;
    }));
  });
}

// Guards against tasks over the limit of one workspace that keep the jobs of
// all others out of a pool with free capacity.
Test(WaitingWork, TasksOverTheirLimitDoNotHideTheJobsBehindThem)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("other");
  deployment.SetLimit("other", { 2000, 0, 0 });
  MakeReady(deployment);
  work::Step step = MakeStep(1, 1000, seconds(600));
  step.longRunning = true;
  ExpectSmallJobPasses(trace, deployment, step, "other");
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 4U);
}

// The same for tasks that no upstream has enough cores for.
Test(WaitingWork, TasksWithoutRoomDoNotHideTheJobsBehindThem)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeStep(1, 9000, seconds(600));
  step.longRunning = true;
  ExpectSmallJobPasses(trace, deployment, step);
}

// The same for tasks that no upstream has the label for.
Test(WaitingWork, TasksWithoutTheirLabelDoNotHideTheJobsBehindThem)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeStep(1, 1000, seconds(600));
  step.longRunning = true;
  step.requiredLabel = "missing";
  ExpectSmallJobPasses(trace, deployment, step);
}

// The same for gangs without room for all members. A gang that fits starts
// behind those that do not.
Test(WaitingWork, GangsWithoutRoomDoNotHideTheJobsBehindThem)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step step = MakeStep(8, 5000, seconds(600));
  step.longRunning = true;
  step.gang = true;
  ExpectSmallJobPasses(trace, deployment, step);
  trace.Section("all members of a smaller gang start", [&] {
    step.count = 4;
    deployment.Submit("gang", "print", { step });
    deployment.Run(milliseconds(100));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 6U);
  });
}

namespace {

// Long-running tasks leave 3 cores on each of four upstreams. Sixty jobs wait
// for more.
void
FillWithLongRunning(FakeDeployment& aDeployment, const work::Step& aWaiting)
{
  MakeReady(aDeployment);
  work::Step step = MakeStep(4, 5000, seconds(600));
  step.longRunning = true;
  step.maxPerUpstream = 1;
  aDeployment.Submit("occupant", "print", { step });
  aDeployment.Run(seconds(1));
  for (int i = 0; i < 60; ++i) {
    aDeployment.Submit("a" + std::to_string(i), "print", { aWaiting });
  }
  aDeployment.Run(milliseconds(200));
}

} // namespace

// Guards against tasks that hold back the jobs behind them for room that does
// not become free. A gang waits in the same way.
Test(WaitingWork, TasksHoldBackSmallerOnesOnlyWhileRoomBecomesFree)
{
  TestTrace trace;
  for (const bool isGang : { false, true }) {
    FakeDeployment deployment;
    work::Step step = MakeStep(2, 4000, milliseconds(300));
    step.gang = isGang;
    FillWithLongRunning(deployment, step);
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 4U);
    trace.Section("a job that fits starts once nothing has changed", [&] {
      deployment.Submit("small", "print", { MakeStep(1, 2000, seconds(5)) });
      EXPECT_THAT(trace, deployment.RunUntil(seconds(1), [&] {
        return deployment.RunningOn("print") == 5;
      }));
    });
  }
}

// Guards against large tasks that wait while smaller ones that rank after them
// take all room that becomes free.
Test(WaitingWork, LargeTasksAreNotStarvedBySmallerOnesBehindThem)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  trace.Section("small tasks that end one by one fill the pool", [&] {
    for (int i = 0; i < 16; ++i) {
      deployment.Submit("first" + std::to_string(i),
                        "print",
                        { MakeStep(1, 2000, milliseconds(300 + i * 20)) });
    }
    deployment.Run(milliseconds(50));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 16U);
  });
  trace.Section("large ones wait, and more small ones behind them", [&] {
    deployment.Submit(
      "large", "print", { MakeStep(100, 4000, milliseconds(200)) });
    for (int i = 0; i < 10; ++i) {
      deployment.Submit("small" + std::to_string(i),
                        "print",
                        { MakeStep(120, 2000, milliseconds(400)) });
    }
  });
  trace.Section("the large ones take twice as long as alone at most", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("large") == work::JobState::Completed;
    }));
  });
}

// Guards against a gang that is kept out by what another gang missed while it
// held room that it has given back.
Test(WaitingWork, AWithdrawnGangLeavesNoTrace)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step large = MakeStep(7, 4000, seconds(600));
  large.longRunning = true;
  large.gang = true;
  work::Step wide = MakeStep(9, 4000, seconds(600));
  wide.longRunning = true;
  wide.gang = true;
  deployment.Submit("a", "print", { wide });
  deployment.Submit("b", "print", { large });
  deployment.Run(milliseconds(100));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 7U);
}

namespace {

// Four upstreams of 8 cores, of which up-4 alone has room for a task of more
// than 3 cores.
void
OccupyAllButOne(FakeDeployment& aDeployment)
{
  MakeReady(aDeployment);
  work::Step step = MakeStep(3, 5000, seconds(600));
  step.longRunning = true;
  step.maxPerUpstream = 1;
  aDeployment.upstreams.at(InstanceId("up-4")).refusesStarts = true;
  aDeployment.Submit("occupant", "print", { step });
  aDeployment.Run(seconds(1));
}

} // namespace

// Guards against a job that is never started because the only upstream with
// room for it refused a start, and nothing else happens in its service.
Test(WaitingWork, StartsWhenAnUpstreamThatRefusedItsStartTakesItAgain)
{
  TestTrace trace;
  FakeDeployment deployment;
  OccupyAllButOne(deployment);
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 3U);
  trace.Section("its only upstream refuses it", [&] {
    deployment.Submit("job", "print", { MakeStep(1, 6000, seconds(2)) });
    deployment.Run(seconds(3));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 3U);
  });
  trace.Section("the upstream is sound again", [&] {
    deployment.upstreams.at(InstanceId("up-4")).refusesStarts = false;
    EXPECT_THAT(trace, deployment.RunUntil(seconds(1), [&] {
      return deployment.RunningOn("print") == 4;
    }));
  });
}

// The same for an upstream that new starts avoid because its tasks have failed.
Test(WaitingWork, StartsWhenTheQuarantineOfAnUpstreamEnds)
{
  TestTrace trace;
  FakeDeployment deployment;
  OccupyAllButOne(deployment);
  FakeUpstream& failing = deployment.upstreams.at(InstanceId("up-4"));
  failing.refusesStarts = false;
  failing.failsAllTasks = true;
  trace.Section("three tasks fail on the upstream", [&] {
    deployment.Submit(
      "failing", "print", { MakeStep(1, 6000, milliseconds(50)) });
    EXPECT_THAT(trace, deployment.RunUntil(seconds(3), [&] {
      return deployment.StateOf("failing") == work::JobState::Failed;
    }));
  });
  trace.Section("a job for it starts when the quarantine ends", [&] {
    failing.failsAllTasks = false;
    deployment.Submit("job", "print", { MakeStep(1, 6000, seconds(2)) });
    deployment.Run(seconds(4));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 3U);
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.RunningOn("print") == 4;
    }));
  });
}

// Guards against jobs that stop for good: a setup renamed their queue, and the
// leader looked it up by the earlier name. Host, prefix and service stayed.
Test(WaitingWork, GoesOnWhenItsQueueIsRenamed)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step second = MakeStep(1, 1000, milliseconds(500));
  second.after = { 0 };
  deployment.Submit(
    "job", "print", { MakeStep(2, 1000, milliseconds(500)), second });
  deployment.Submit("waiting", "print", { MakeStep(2, 64000, seconds(1)) });
  deployment.Run(milliseconds(200));
  deployment.ChangeSetup([](work::Setup& aSetup) {
    aSetup.queues.front().name = work::QueueId("renamed");
    aSetup.queues.front().maxAttempts = 1;
  });
  trace.Section("the second step runs", [&] {
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("job") == work::JobState::Completed;
    }));
  });
  trace.Section("a job that waits is counted in the queue", [&] {
    EXPECT_EQUAL(trace, deployment.CountQueuedJobs("renamed"), 1U);
  });
  trace.Section("the number of attempts is the one of the new setup", [&] {
    deployment.Submit(
      "failing", "renamed", { MakeStep(1, 1000, milliseconds(100)) }, "print");
    for (auto& [id, up] : deployment.upstreams) {
      up.failsAllTasks = true;
    }
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("failing") == work::JobState::Failed;
    }));
  });
}

// Guards against a task that is started again after its last attempt: it failed
// while the setup did not have its queue, and the attempts were not looked at
// again.
Test(WaitingWork, AnAttemptThatFailsWhileItsQueueIsMissingCounts)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Submit(
    "job",
    "print",
    { MakeStep(1, 1000, milliseconds(500)), MakeStep(1, 1000, seconds(20)) });
  deployment.Run(milliseconds(200));
  std::vector<work::Queue> queues;
  deployment.ChangeSetup([&](work::Setup& aSetup) {
    aSetup.queues.front().maxAttempts = 1;
    std::swap(queues, aSetup.queues);
  });
  for (auto& [id, up] : deployment.upstreams) {
    up.failsAllTasks = true;
  }
  deployment.Run(seconds(1));
  EXPECT_EQUAL(trace, deployment.StateOf("job"), work::JobState::Running);
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 1U);
  deployment.ChangeSetup(
    [&](work::Setup& aSetup) { std::swap(queues, aSetup.queues); });
  trace.Section("the job fails once the queue is back", [&] {
    EXPECT_EQUAL(trace, deployment.StateOf("job"), work::JobState::Failed);
  });
  trace.Section("its other task is stopped and none is started", [&] {
    deployment.Run(seconds(1));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
  });
}

// The same for a setup that allows fewer attempts than have failed.
Test(WaitingWork, FewerAttemptsHoldForTasksThatHaveFailedBefore)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  for (auto& [id, up] : deployment.upstreams) {
    up.failsAllTasks = true;
  }
  deployment.Submit("job", "print", { MakeStep(1, 1000, milliseconds(300)) });
  deployment.Run(milliseconds(500));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 1U);
  deployment.ChangeSetup(
    [](work::Setup& aSetup) { aSetup.queues.front().maxAttempts = 1; });
  trace.Section("the run that has begun goes on", [&] {
    deployment.Run(milliseconds(20));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 1U);
  });
  trace.Section("no other follows when it is lost", [&] {
    for (auto& [id, up] : deployment.upstreams) {
      deployment.Crash(id.value, true);
    }
    EXPECT_THAT(trace, deployment.RunUntil(seconds(10), [&] {
      return deployment.StateOf("job") == work::JobState::Failed;
    }));
    std::uint32_t starts = 0;
    for (const auto& [id, up] : deployment.upstreams) {
      starts += up.startsSeen;
    }
    EXPECT_EQUAL(trace, starts, 2U);
  });
}
