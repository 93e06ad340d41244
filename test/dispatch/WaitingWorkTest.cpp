// Accepted work that waits although there is room for it: what keeps a task
// waiting has ended or concerns other tasks only.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

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
