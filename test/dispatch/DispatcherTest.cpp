// Runs jobs through the real dispatcher: starts, ends, lost upstreams and
// changes of the leader.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

// Adds a service "print" with aUpstreams, and leads for long enough that every
// upstream has confirmed the leader's fencing token.
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

void
ExpectNoViolation(TestTrace& aTrace, const FakeDeployment& aDeployment)
{
  EXPECT_EQUAL(aTrace,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

// Fields of the last decision of a kind about a job, by name; empty when there
// is none.
std::map<std::string_view, std::string>
LastDecision(const FakeDeployment& aDeployment,
             std::string_view aKind,
             const std::string& aJob)
{
  std::map<std::string_view, std::string> fields;
  for (const dispatch::Decision& decision : aDeployment.decisions) {
    if (decision.kind == aKind && decision.job == aJob) {
      fields = { decision.fields.begin(), decision.fields.end() };
    }
  }
  return fields;
}

} // namespace

// The log must show for a job ID which tasks were placed and when.
Test(Dispatcher, LogsPlacedTasks)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Submit("job", "print", { MakeStep(20, 2000, milliseconds(400)) });
  deployment.Run(milliseconds(100));
  const auto line =
    std::find_if(deployment.decisions.begin(),
                 deployment.decisions.end(),
                 [](const auto& aItem) {
                   return aItem.kind == "tasks_placed" && aItem.job == "job";
                 });
  EXPECT_THAT(trace, line != deployment.decisions.end());
  const auto field = [&](std::string_view aName) {
    for (const auto& [name, value] : line->fields) {
      if (name == aName) {
        return value;
      }
    }
    return std::string("none");
  };
  trace.Section("eight of twenty tasks fit on two upstreams", [&] {
    EXPECT_EQUAL(trace, field("placed"), std::string("8"));
    EXPECT_EQUAL(trace, field("waiting"), std::string("12"));
    EXPECT_EQUAL(trace, field("outlook"), std::string("in time"));
  });
}

// The totals of a service do not tell why a task waits beside free cores.
Test(Dispatcher, LogsWhyNoUpstreamTakesATask)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step archive = MakeStep(3, 1000, seconds(600));
  archive.longRunning = true;
  archive.maxPerUpstream = 1;
  trace.Section("the third task is refused by the limit of its step", [&] {
    deployment.Submit("archive", "print", { archive });
    deployment.Run(milliseconds(1500));
    auto line = LastDecision(deployment, "task_waits", "archive");
    EXPECT_EQUAL(trace, line["task"], std::string("archive.0.0.2"));
    EXPECT_EQUAL(trace, line["waiting"], std::string("1"));
    EXPECT_EQUAL(trace, line["upstreams"], std::string("2"));
    EXPECT_EQUAL(trace, line["step_limit"], std::string("2"));
    EXPECT_EQUAL(trace, line["most_free_millicores"], std::string("7000"));
    EXPECT_EQUAL(trace, line["at_workspace_limit"], std::string("no"));
    EXPECT_THAT(trace, std::stol(line["planned_ms_ago"]) <= 1500);
  });
  trace.Section(
    "it is the task that the line is about, although others wait", [&] {
      deployment.Submit("a", "print", { MakeStep(2, 9000, milliseconds(400)) });
      deployment.decisions.clear();
      deployment.Run(milliseconds(1500));
      const auto none = LastDecision(deployment, "task_waits", "a");
      EXPECT_THAT(trace, none.empty());
      auto line = LastDecision(deployment, "task_waits", "archive");
      EXPECT_EQUAL(trace, line["step_limit"], std::string("2"));
    });
  trace.Section("a line counts each reason", [&] {
    deployment.Cancel("archive");
    deployment.Run(milliseconds(1500));
    auto line = LastDecision(deployment, "task_waits", "a");
    EXPECT_EQUAL(trace, line["long_running"], std::string("no"));
    EXPECT_EQUAL(trace, line["no_cores"], std::string("2"));
    EXPECT_EQUAL(trace, line["step_limit"], std::string("0"));
  });
}

Test(Dispatcher, RunsAJobOfSteps)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  trace.Section("a job of two steps, the second after the first", [&] {
    work::Step second = MakeStep(2, 2000, milliseconds(300));
    second.after = { 0 };
    deployment.Submit(
      "job", "print", { MakeStep(3, 2000, milliseconds(500)), second });
    deployment.Run(milliseconds(450));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 3U);
    trace.Section("the second starts once all of the first are done", [&] {
      EXPECT_THAT(trace, deployment.RunUntil(milliseconds(400), [&] {
        return deployment.RunningOn("print") == 2;
      }));
    });
    trace.Section("the job is recorded as completed", [&] {
      EXPECT_THAT(trace, deployment.RunUntil(seconds(1), [&] {
        return deployment.StateOf("job") == JobState::Completed;
      }));
    });
  });
  ExpectNoViolation(trace, deployment);
}

// Guards against a rebuild of the job views while a start is being committed:
// the task was started twice, and its first run was taken for an unknown one
// and stopped.
Test(Dispatcher, StartsATaskOnceWhileItsStartIsBeingCommitted)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  trace.Section("commits are delayed while a task of a job is starting", [&] {
    deployment.Submit("job", "print", { MakeStep(1, 1000, milliseconds(200)) });
    deployment.Run(milliseconds(50));
    deployment.holdCommits = true;
    deployment.Run(milliseconds(600));
    trace.Section("answers arrive before the start is committed",
                  [&] { deployment.Run(milliseconds(100)); });
    deployment.holdCommits = false;
    deployment.Run(seconds(1));
    EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
  });
  trace.Section("starts of a wide job while other jobs are submitted", [&] {
    deployment.Submit(
      "wide", "print", { MakeStep(8, 1000, milliseconds(300)) });
    deployment.holdCommits = true;
    for (int i = 0; i < 20; ++i) {
      deployment.Submit("other-" + std::to_string(i),
                        "print",
                        { MakeStep(1, 500, milliseconds(100)) });
      deployment.Run(milliseconds(10));
    }
    deployment.holdCommits = false;
    EXPECT_THAT(trace, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("wide") == JobState::Completed;
    }));
  });
  trace.Section("no run was stopped", [&] {
    EXPECT_EQUAL(trace, deployment.upstreams.begin()->second.stopsSeen, 0U);
    EXPECT_EQUAL(trace, deployment.rejectedStarts, 0U);
  });
  ExpectNoViolation(trace, deployment);
}

Test(Dispatcher, StopsTheRunsOfACancelledJob)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step longRunning = MakeStep(4, 1000, seconds(1));
  longRunning.longRunning = true;
  deployment.Submit("job", "print", { longRunning });
  EXPECT_THAT(trace, deployment.RunUntil(seconds(1), [&] {
    return deployment.RunningOn("print") == 4;
  }));
  trace.Section("none of its tasks runs after half a second", [&] {
    deployment.Cancel("job");
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
    EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Cancelled);
  });
}

Test(Dispatcher, RestartsLongRunningTasksHoweverTheyEnd)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step longRunning = MakeStep(3, 1000, seconds(1));
  longRunning.longRunning = true;
  deployment.Submit("job", "print", { longRunning });
  deployment.Run(milliseconds(300));
  trace.Section("an upstream crashes and restarts", [&] {
    deployment.Crash("up-1", true);
    EXPECT_THAT(trace, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 3;
    }));
  });
  ExpectNoViolation(trace, deployment);
}

// Guards at-most-once execution: a silent upstream may still be running a task
// until its lease is certain to have expired.
Test(Dispatcher, WaitsForTheLeaseOfASilentUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  deployment.Submit("job", "print", { MakeStep(1, 1000, seconds(20)) });
  deployment.Run(milliseconds(300));
  deployment.AddUpstream("print");
  deployment.Run(seconds(2));
  trace.Section("the upstream is unreachable but keeps running the task", [&] {
    deployment.upstreams.at(InstanceId("up-1")).reachable = false;
    deployment.Run(seconds(3));
    EXPECT_EQUAL(
      trace, deployment.upstreams.at(InstanceId("up-2")).running.size(), 0U);
    trace.Section("the task runs elsewhere after the lease has expired", [&] {
      EXPECT_THAT(trace, deployment.RunUntil(seconds(6), [&] {
        return deployment.upstreams.at(InstanceId("up-2")).running.size() == 1;
      }));
    });
    trace.Section("the upstream returns and its late end changes nothing", [&] {
      deployment.upstreams.at(InstanceId("up-1")).reachable = true;
      deployment.Run(seconds(2));
      EXPECT_EQUAL(
        trace, deployment.upstreams.at(InstanceId("up-1")).running.size(), 0U);
    });
  });
  ExpectNoViolation(trace, deployment);
}

Test(Dispatcher, SendsAStopAfterAnUnansweredStart)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  FakeUpstream& up = deployment.upstreams.at(InstanceId("up-1"));
  up.dropsAnswers = true;
  deployment.Submit("job", "print", { MakeStep(1, 1000, seconds(2)) });
  deployment.Run(milliseconds(200));
  up.dropsAnswers = false;
  EXPECT_THAT(trace, deployment.RunUntil(seconds(6), [&] {
    return deployment.StateOf("job") == JobState::Completed;
  }));
  ExpectNoViolation(trace, deployment);
}

Test(Dispatcher, ANewLeaderAdoptsTheRunningTasks)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  work::Step second = MakeStep(3, 1000, milliseconds(400));
  second.after = { 0 };
  deployment.Submit("job", "print", { MakeStep(6, 1000, seconds(1)), second });
  deployment.Run(milliseconds(300));
  trace.Section("the leader changes while tasks run", [&] {
    deployment.ChangeLeader();
    EXPECT_THAT(trace, deployment.RunUntil(seconds(4), [&] {
      return deployment.StateOf("job") == JobState::Completed;
    }));
    std::uint32_t starts = 0;
    for (const auto& [id, up] : deployment.upstreams) {
      starts += up.startsSeen;
    }
    trace.Section("no task ran twice",
                  [&] { EXPECT_EQUAL(trace, starts, 9U); });
  });
  ExpectNoViolation(trace, deployment);
}

Test(Dispatcher, KeepsAWorkspaceBelowItsLimit)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.SetLimit("print", { 3000, 0, 0 });
  deployment.AddUpstream("print");
  deployment.AddUpstream("print");
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  deployment.Submit("job", "print", { MakeStep(8, 1000, milliseconds(300)) });
  std::size_t most = 0;
  deployment.RunUntil(seconds(5), [&] {
    most = std::max(most, deployment.RunningOn("print"));
    return deployment.StateOf("job") == JobState::Completed;
  });
  EXPECT_EQUAL(trace, most, 3U);
  EXPECT_EQUAL(trace, deployment.StateOf("job"), JobState::Completed);
}

Test(Dispatcher, AvoidsAnUpstreamThatFailsWhatOthersComplete)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 4);
  deployment.upstreams.at(InstanceId("up-2")).failsAllTasks = true;
  for (int i = 0; i < 12; ++i) {
    deployment.Submit("job-" + std::to_string(i),
                      "print",
                      { MakeStep(4, 2000, milliseconds(200)) });
    deployment.Run(milliseconds(100));
  }
  deployment.Run(seconds(4));
  std::size_t completed = 0;
  for (int i = 0; i < 12; ++i) {
    completed +=
      deployment.StateOf("job-" + std::to_string(i)) == JobState::Completed;
  }
  EXPECT_EQUAL(trace, completed, 12U);
}

Test(Dispatcher, PutsNothingOnADrainingUpstream)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Drain("up-1", seconds(5));
  deployment.Run(milliseconds(50));
  deployment.Submit("job", "print", { MakeStep(6, 1000, seconds(1)) });
  deployment.Run(milliseconds(500));
  EXPECT_EQUAL(
    trace, deployment.upstreams.at(InstanceId("up-1")).running.size(), 0U);
  EXPECT_EQUAL(
    trace, deployment.upstreams.at(InstanceId("up-2")).running.size(), 6U);
}

// Guards against a ticket that is requested only when room appears: the task
// would then wait for the advisor as well.
Test(Dispatcher, RequestsTicketsWhileThePoolIsFull)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddAdvisedQueue("advised", "print");
  deployment.AddUpstream("print");
  deployment.ElectLeader();
  deployment.Run(milliseconds(100));
  deployment.Submit("busy", "print", { MakeStep(8, 1000, seconds(3)) });
  deployment.Run(milliseconds(300));
  EXPECT_EQUAL(trace, deployment.RunningOn("print"), 8U);
  deployment.Submit("job-1", "print", { MakeStep(1, 1000, seconds(1)) });
  deployment.Submit("job-2", "advised", { MakeStep(1, 1000, seconds(1)) });
  deployment.Run(milliseconds(300));
  trace.Section(
    "a task of another job has found no room in the same pass",
    [&] { EXPECT_EQUAL(trace, deployment.RunningOn("print"), 8U); });
  EXPECT_EQUAL(trace, deployment.adviceRequests, 1U);
}

Test(Dispatcher, StartsAGangWholeOrNotAtAll)
{
  TestTrace trace;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  work::Step gang = MakeStep(6, 2000, milliseconds(500));
  gang.gang = true;
  deployment.Submit("gang", "print", { gang });
  deployment.Run(milliseconds(500));
  trace.Section("8 cores hold only 4 of the 6 members: none starts", [&] {
    EXPECT_EQUAL(trace, deployment.RunningOn("print"), 0U);
  });
  trace.Section("a second upstream makes room for all", [&] {
    deployment.AddUpstream("print");
    EXPECT_THAT(trace, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 6;
    }));
  });
}
