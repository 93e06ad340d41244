// Jobs with thousands of tasks, and jobs that can never run: what they cost the
// leader, and what they cost the other jobs.
#include "FakeDeployment.h"

#include "dispatch/FleetCapacity.h"
#include "support/DecisionFields.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

namespace {

// Comparisons that one pass may make. At a microsecond each, a third of a core
// makes them in two heartbeat intervals of the leader, a third of the shortest
// election timeout.
constexpr std::uint64_t kMaxPassSteps = 100000;

// A service "print" with nine upstreams of 32 cores, and its leader.
void
MakeReady(FakeDeployment& aDeployment)
{
  aDeployment.AddService("print");
  for (int i = 0; i < 9; ++i) {
    aDeployment.AddUpstream("print", 32000);
  }
  aDeployment.ElectLeader();
  aDeployment.Run(milliseconds(100));
}

work::Step
MakeGang(std::uint32_t aCount, std::int64_t aMilliCpus, bool aLongRunning)
{
  work::Step step = MakeStep(aCount, aMilliCpus, seconds(1));
  step.gang = true;
  step.longRunning = aLongRunning;
  return step;
}

// The job is accepted and waits. A small job that comes after it runs.
void
ExpectSmallJobRuns(TestTrace& aTrace,
                   FakeDeployment& aDeployment,
                   std::vector<work::Step> aSteps)
{
  aDeployment.Submit("large", "print", std::move(aSteps));
  aDeployment.Run(milliseconds(200));
  aTrace.Section("each pass of the planner stays short", [&] {
    EXPECT_THAT(aTrace, aDeployment.mostPlanSteps <= kMaxPassSteps);
  });
  aTrace.Section("a small job is accepted and completes", [&] {
    const std::vector<work::Step> small{ MakeStep(4, 1000, seconds(1)) };
    EXPECT_THAT(aTrace, !aDeployment.Offer("print", small));
    aDeployment.Submit("small", "print", small);
    EXPECT_THAT(aTrace, aDeployment.RunUntil(seconds(3), [&] {
      return aDeployment.StateOf("small") == work::JobState::Completed;
    }));
    EXPECT_THAT(aTrace, aDeployment.mostPlanSteps <= kMaxPassSteps);
  });
}

} // namespace

// Guards against a leader that is deposed because it compares the members of a
// waiting gang with each other in each pass.
Test(LargeJob, AGangThatNoPoolCanHoldCostsOneLook)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  ExpectSmallJobRuns(trace, deployment, { MakeGang(20000, 1000, true) });
}

// The same for members that are small, except for their memory.
Test(LargeJob, AGangThatExceedsTheMemoryOfThePoolCostsOneLook)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step gang = MakeGang(20000, 10, true);
  gang.size.memoryMb = 64000;
  ExpectSmallJobRuns(trace, deployment, { gang });
}

Test(LargeJob, SeveralGangsThatNoPoolCanHoldCostOneLookEach)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  ExpectSmallJobRuns(
    trace, deployment, std::vector<work::Step>(4, MakeGang(5000, 1000, true)));
}

// Guards against callers that are refused for as long as a gang waits whose
// work counts as backlog although it can never run.
Test(LargeJob, AGangThatCanNeverRunIsNoBacklog)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  ExpectSmallJobRuns(trace, deployment, { MakeGang(20000, 1000, false) });
}

// The same for the steps that come after such a step.
Test(LargeJob, StepsBehindOneThatCanNeverRunAreNoBacklog)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step after = MakeStep(10000, 1000, seconds(1));
  after.after = { 0 };
  ExpectSmallJobRuns(
    trace, deployment, { MakeGang(10000, 1000, false), after });
}

// Members that all find an upstream, whose places are as many as the members.
Test(LargeJob, AGangThatFitsExactlyStartsInOnePass)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Submit("exact", "print", { MakeGang(288, 1000, true) });
  deployment.Run(milliseconds(200));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 288U);
  trace.Section("one member more does not start at all", [&] {
    deployment.Cancel("exact");
    deployment.Run(seconds(1));
    deployment.Submit("more", "print", { MakeGang(289, 1000, true) });
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
  });
}

// Guards against a cost of each start that grows with the tasks of the job.
Test(LargeJob, ManySmallTasksStartInShortPasses)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  deployment.Submit("large", "print", { MakeStep(20000, 1000, seconds(1)) });
  deployment.Run(milliseconds(200));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 288U);
  EXPECT_THAT(trace, deployment.mostPlanSteps <= kMaxPassSteps);
}

// Guards against a pass whose length depends on the number of jobs: a large
// number of them waits for something that no upstream has.
Test(LargeJob, APassEndsEarlyAndTheNextOneGoesOn)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  work::Step labelled = MakeStep(1, 1000, seconds(1));
  labelled.requiredLabel = "none-has-it";
  labelled.longRunning = true;
  const std::vector<work::Step> steps(100, labelled);
  for (int i = 0; i < 150; ++i) {
    deployment.Submit("a" + std::to_string(i), "print", steps);
  }
  deployment.Run(milliseconds(500));
  deployment.mostPlanSteps = 0;
  ExpectSmallJobRuns(trace, deployment, { labelled });
}

// The same for another service, whose jobs would never have their turn.
Test(LargeJob, AServiceWithManyJobsLeavesTheOthersTheirTurn)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("archive");
  deployment.AddService("print");
  for (int i = 0; i < 9; ++i) {
    deployment.AddUpstream("archive", 32000);
  }
  deployment.AddUpstream("print", 32000);
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  work::Step labelled = MakeStep(1, 1000, seconds(1));
  labelled.requiredLabel = "none-has-it";
  labelled.longRunning = true;
  const std::vector<work::Step> steps(100, labelled);
  for (int i = 0; i < 150; ++i) {
    deployment.Submit("a" + std::to_string(i), "archive", steps);
  }
  deployment.Run(milliseconds(500));
  deployment.Submit("small", "print", { MakeStep(4, 1000, seconds(1)) });
  EXPECT_THAT(trace, deployment.RunUntil(seconds(3), [&] {
    return deployment.StateOf("small") == work::JobState::Completed;
  }));
}

// Jobs that cannot run are named, and looked at again when the fleet changes.
Test(LargeJob, TheOwnerIsToldThatAJobCannotRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment);
  const auto told = [&](std::string_view aKind) {
    return std::count_if(deployment.decisions.begin(),
                         deployment.decisions.end(),
                         [&](const dispatch::Decision& aDecision) {
                           return aDecision.kind == aKind &&
                                  aDecision.job == "gang";
                         });
  };
  trace.Section("at once, and once only", [&] {
    deployment.Submit("gang", "print", { MakeGang(300, 1000, true) });
    deployment.Run(seconds(1));
    EXPECT_EQUAL(trace, told("job_impossible"), 1);
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
  });
  trace.Section("another upstream makes it possible", [&] {
    deployment.AddUpstream("print", 32000);
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.RunningOn("print") == 300;
    }));
    EXPECT_EQUAL(trace, told("job_possible"), 1);
  });
}

// A limit below what a gang needs is told in the same way.
Test(LargeJob, AGangAboveTheLimitOfItsWorkspaceCannotRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddUpstream("print", 32000);
  deployment.SetLimit("print", { 4000, 0, 0 });
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  deployment.Submit("gang", "print", { MakeGang(5, 1000, true) });
  deployment.Run(seconds(1));
  const auto found = std::find_if(
    deployment.decisions.begin(),
    deployment.decisions.end(),
    [](const auto& aDecision) { return aDecision.kind == "job_impossible"; });
  EXPECT_THAT(trace, found != deployment.decisions.end());
  trace.Section("a higher limit makes it possible", [&] {
    deployment.ChangeSetup([](work::Setup& aSetup) {
      for (work::Workspace& workspace : aSetup.workspaces) {
        workspace.limit.milliCpus = 5000;
      }
    });
    EXPECT_THAT(trace, deployment.RunUntil(seconds(2), [&] {
      return deployment.RunningOn("print") == 5;
    }));
  });
}

// Guards against instances that are moved for a job which not even all of them
// could run.
Test(LargeJob, NoInstanceMovesForAJobThatCannotRun)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddService("spare", true);
  deployment.AddUpstream("print", 8000);
  for (int i = 0; i < 4; ++i) {
    deployment.AddStandby("idle-" + std::to_string(i), "spare");
  }
  deployment.ElectLeader();
  deployment.Run(seconds(1));
  const std::uint32_t before = deployment.moves;
  deployment.Submit("gang", "print", { MakeGang(20000, 1000, true) });
  deployment.Run(seconds(3));
  EXPECT_EQUAL(trace, deployment.moves, before);
}

// Guards against a job that is taken for impossible before the first upstream
// is known, so that no instance would ever be moved for it.
Test(LargeJob, InstancesMoveForAJobThatComesBeforeTheFirstUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddService("spare", true);
  for (int i = 0; i < 4; ++i) {
    deployment.AddStandby("idle-" + std::to_string(i), "spare");
  }
  deployment.ElectLeader();
  deployment.Run(seconds(1));
  deployment.Submit("early", "print", { MakeStep(2, 1000, seconds(1)) });
  EXPECT_THAT(trace, deployment.RunUntil(seconds(8), [&] {
    return deployment.StateOf("early") == work::JobState::Completed;
  }));
}

Test(FleetCapacity, CountsWhatEmptyInstancesHold)
{
  TestTrace trace;
  const dispatch::FleetCapacity fleet({ { 8000, 100, 0 }, { 4000, 1000, 1 } });
  work::Step step;
  step.size = { 3000, 50, 0 };
  EXPECT_EQUAL(trace, fleet.Count(step, 10), 3U);
  trace.Section("no more than asked for",
                [&] { EXPECT_EQUAL(trace, fleet.Count(step, 2), 2U); });
  trace.Section("the limit for one upstream counts", [&] {
    step.maxPerUpstream = 1;
    EXPECT_EQUAL(trace, fleet.Count(step, 10), 2U);
  });
  trace.Section("best-effort tasks need no cores", [&] {
    work::Step filling;
    filling.fills = true;
    filling.size = { 9000, 100, 0 };
    EXPECT_EQUAL(trace, fleet.Count(filling, 100), 11U);
    EXPECT_THAT(trace, !fleet.IsImpossible(filling));
  });
  trace.Section("a task that needs more than each instance has", [&] {
    step.size = { 4000, 1001, 0 };
    EXPECT_THAT(trace, fleet.IsImpossible(step));
  });
  trace.Section("nothing is impossible while no instance is known", [&] {
    EXPECT_THAT(trace, !dispatch::FleetCapacity({}).IsImpossible(step));
  });
}
