// Runs jobs through the real dispatcher: starts, ends, lost upstreams and
// changes of the leader.
#include "FakeDeployment.h"

#include "support/Story.h"

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
ExpectNoViolation(Story& aStory, const FakeDeployment& aDeployment)
{
  EXPECT_EQUAL(aStory,
               aDeployment.violations.empty() ? std::string()
                                              : aDeployment.violations.front(),
               std::string());
}

} // namespace

// The log must show for a job ID which tasks were placed and when.
Test(Dispatcher, LogsPlacedTasks)
{
  Story story;
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
  EXPECT_THAT(story, line != deployment.decisions.end());
  const auto field = [&](std::string_view aName) {
    for (const auto& [name, value] : line->fields) {
      if (name == aName) {
        return value;
      }
    }
    return std::string("none");
  };
  story.Section("eight of twenty tasks fit on two upstreams", [&] {
    EXPECT_EQUAL(story, field("placed"), std::string("8"));
    EXPECT_EQUAL(story, field("waiting"), std::string("12"));
    EXPECT_EQUAL(story, field("outlook"), std::string("in time"));
  });
}

Test(Dispatcher, RunsAJobOfSteps)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  story.Section("a job of two steps, the second after the first", [&] {
    work::Step second = MakeStep(2, 2000, milliseconds(300));
    second.after = { 0 };
    deployment.Submit(
      "job", "print", { MakeStep(3, 2000, milliseconds(500)), second });
    deployment.Run(milliseconds(450));
    EXPECT_EQUAL(story, deployment.RunningOn("print"), 3U);
    story.Section("the second starts once all of the first are done", [&] {
      EXPECT_THAT(story, deployment.RunUntil(milliseconds(400), [&] {
        return deployment.RunningOn("print") == 2;
      }));
    });
    story.Section("the job is recorded as completed", [&] {
      EXPECT_THAT(story, deployment.RunUntil(seconds(1), [&] {
        return deployment.StateOf("job") == JobState::Completed;
      }));
    });
  });
  ExpectNoViolation(story, deployment);
}

// Guards against a rebuild of the job views while a start is being committed:
// the task was started twice, and its first run was taken for an unknown one
// and stopped.
Test(Dispatcher, StartsATaskOnceWhileItsStartIsBeingCommitted)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  story.Section("commits are delayed while a task of a job is starting", [&] {
    deployment.Submit("job", "print", { MakeStep(1, 1000, milliseconds(200)) });
    deployment.Run(milliseconds(50));
    deployment.holdCommits = true;
    deployment.Run(milliseconds(600));
    story.Section("answers arrive before the start is committed",
                  [&] { deployment.Run(milliseconds(100)); });
    deployment.holdCommits = false;
    deployment.Run(seconds(1));
    EXPECT_EQUAL(story, deployment.StateOf("job"), JobState::Completed);
  });
  story.Section("starts of a wide job while other jobs are submitted", [&] {
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
    EXPECT_THAT(story, deployment.RunUntil(seconds(5), [&] {
      return deployment.StateOf("wide") == JobState::Completed;
    }));
  });
  story.Section("no run was stopped", [&] {
    EXPECT_EQUAL(story, deployment.upstreams.begin()->second.stopsSeen, 0U);
    EXPECT_EQUAL(story, deployment.rejectedStarts, 0U);
  });
  ExpectNoViolation(story, deployment);
}

Test(Dispatcher, StopsTheRunsOfACancelledJob)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step longRunning = MakeStep(4, 1000, seconds(1));
  longRunning.longRunning = true;
  deployment.Submit("job", "print", { longRunning });
  EXPECT_THAT(story, deployment.RunUntil(seconds(1), [&] {
    return deployment.RunningOn("print") == 4;
  }));
  story.Section("none of its tasks runs after half a second", [&] {
    deployment.Cancel("job");
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(story, deployment.RunningOn("print"), 0U);
    EXPECT_EQUAL(story, deployment.StateOf("job"), JobState::Cancelled);
  });
}

Test(Dispatcher, RestartsLongRunningTasksHoweverTheyEnd)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step longRunning = MakeStep(3, 1000, seconds(1));
  longRunning.longRunning = true;
  deployment.Submit("job", "print", { longRunning });
  deployment.Run(milliseconds(300));
  story.Section("an upstream crashes and restarts", [&] {
    deployment.Crash("up-1", true);
    EXPECT_THAT(story, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 3;
    }));
  });
  ExpectNoViolation(story, deployment);
}

// Guards at-most-once execution: a silent upstream may still be running a task
// until its lease is certain to have expired.
Test(Dispatcher, WaitsForTheLeaseOfASilentUpstream)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  deployment.Submit("job", "print", { MakeStep(1, 1000, seconds(20)) });
  deployment.Run(milliseconds(300));
  deployment.AddUpstream("print");
  deployment.Run(seconds(2));
  story.Section("the upstream is unreachable but keeps running the task", [&] {
    deployment.upstreams.at(InstanceId("up-1")).reachable = false;
    deployment.Run(seconds(3));
    EXPECT_EQUAL(
      story, deployment.upstreams.at(InstanceId("up-2")).running.size(), 0U);
    story.Section("the task runs elsewhere after the lease has expired", [&] {
      EXPECT_THAT(story, deployment.RunUntil(seconds(6), [&] {
        return deployment.upstreams.at(InstanceId("up-2")).running.size() == 1;
      }));
    });
    story.Section("the upstream returns and its late end changes nothing", [&] {
      deployment.upstreams.at(InstanceId("up-1")).reachable = true;
      deployment.Run(seconds(2));
      EXPECT_EQUAL(
        story, deployment.upstreams.at(InstanceId("up-1")).running.size(), 0U);
    });
  });
  ExpectNoViolation(story, deployment);
}

Test(Dispatcher, SendsAStopAfterAnUnansweredStart)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  FakeUpstream& up = deployment.upstreams.at(InstanceId("up-1"));
  up.dropsAnswers = true;
  deployment.Submit("job", "print", { MakeStep(1, 1000, seconds(2)) });
  deployment.Run(milliseconds(200));
  up.dropsAnswers = false;
  EXPECT_THAT(story, deployment.RunUntil(seconds(6), [&] {
    return deployment.StateOf("job") == JobState::Completed;
  }));
  ExpectNoViolation(story, deployment);
}

Test(Dispatcher, ANewLeaderAdoptsTheRunningTasks)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 3);
  work::Step second = MakeStep(3, 1000, milliseconds(400));
  second.after = { 0 };
  deployment.Submit("job", "print", { MakeStep(6, 1000, seconds(1)), second });
  deployment.Run(milliseconds(300));
  story.Section("the leader changes while tasks run", [&] {
    deployment.ChangeLeader();
    EXPECT_THAT(story, deployment.RunUntil(seconds(4), [&] {
      return deployment.StateOf("job") == JobState::Completed;
    }));
    std::uint32_t starts = 0;
    for (const auto& [id, up] : deployment.upstreams) {
      starts += up.startsSeen;
    }
    story.Section("no task ran twice",
                  [&] { EXPECT_EQUAL(story, starts, 9U); });
  });
  ExpectNoViolation(story, deployment);
}

Test(Dispatcher, KeepsAWorkspaceBelowItsLimit)
{
  Story story;
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
  EXPECT_EQUAL(story, most, 3U);
  EXPECT_EQUAL(story, deployment.StateOf("job"), JobState::Completed);
}

Test(Dispatcher, AvoidsAnUpstreamThatFailsWhatOthersComplete)
{
  Story story;
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
  EXPECT_EQUAL(story, completed, 12U);
}

Test(Dispatcher, PutsNothingOnADrainingUpstream)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  deployment.Drain("up-1", seconds(5));
  deployment.Run(milliseconds(50));
  deployment.Submit("job", "print", { MakeStep(6, 1000, seconds(1)) });
  deployment.Run(milliseconds(500));
  EXPECT_EQUAL(
    story, deployment.upstreams.at(InstanceId("up-1")).running.size(), 0U);
  EXPECT_EQUAL(
    story, deployment.upstreams.at(InstanceId("up-2")).running.size(), 6U);
}

Test(Dispatcher, StartsAGangWholeOrNotAtAll)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  work::Step gang = MakeStep(6, 2000, milliseconds(500));
  gang.gang = true;
  deployment.Submit("gang", "print", { gang });
  deployment.Run(milliseconds(500));
  story.Section("8 cores hold only 4 of the 6 members: none starts", [&] {
    EXPECT_EQUAL(story, deployment.RunningOn("print"), 0U);
  });
  story.Section("a second upstream makes room for all", [&] {
    deployment.AddUpstream("print");
    EXPECT_THAT(story, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 6;
    }));
  });
}
