// Jobs through the real dispatcher: starts, ends, losses and changes of the
// leader.
#include "FakeDeployment.h"

#include "support/Story.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

// A world with one service "print" of aUpstreams, led for long enough that
// every upstream is fenced.
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

// The log leads from the ID of a job to what was placed of it and when.
Test(Dispatcher, TellsWhatItPlaces)
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
    story.Section("it is shown as completed", [&] {
      EXPECT_THAT(story, deployment.RunUntil(seconds(1), [&] {
        return deployment.StateOf("job") == JobState::Completed;
      }));
    });
  });
  ExpectNoViolation(story, deployment);
}

// Guards against views that are rebuilt while a start is being recorded: the
// task was decided twice, and its first run looked unknown and was stopped.
Test(Dispatcher, ATaskIsDecidedOnceWhileItsStartIsBeingRecorded)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  story.Section("the log is slow while two tasks of a job start", [&] {
    deployment.Submit("job", "print", { MakeStep(1, 1000, milliseconds(200)) });
    deployment.Run(milliseconds(50));
    deployment.holdCommits = true;
    deployment.Run(milliseconds(600));
    story.Section("news of the job arrives meanwhile",
                  [&] { deployment.Run(milliseconds(100)); });
    deployment.holdCommits = false;
    deployment.Run(seconds(1));
    EXPECT_EQUAL(story, deployment.StateOf("job"), JobState::Completed);
  });
  story.Section("a wide job whose starts are recorded one by one", [&] {
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
  story.Section("within half a second nothing of it runs", [&] {
    deployment.Cancel("job");
    deployment.Run(milliseconds(500));
    EXPECT_EQUAL(story, deployment.RunningOn("print"), 0U);
    EXPECT_EQUAL(story, deployment.StateOf("job"), JobState::Cancelled);
  });
}

Test(Dispatcher, RestartsLastingTasksHoweverTheyEnd)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 2);
  work::Step longRunning = MakeStep(3, 1000, seconds(1));
  longRunning.longRunning = true;
  deployment.Submit("job", "print", { longRunning });
  deployment.Run(milliseconds(300));
  story.Section("an upstream crashes and is born again", [&] {
    deployment.Crash("up-1", true);
    EXPECT_THAT(story, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 3;
    }));
  });
  ExpectNoViolation(story, deployment);
}

// Guards at most once: a silent upstream may still work on a task until its
// lease has surely ended.
Test(Dispatcher, WaitsForTheLeaseOfASilentUpstream)
{
  Story story;
  FakeDeployment deployment;
  MakeReady(deployment, 1);
  deployment.Submit("job", "print", { MakeStep(1, 1000, seconds(20)) });
  deployment.Run(milliseconds(300));
  deployment.AddUpstream("print");
  deployment.Run(seconds(2));
  story.Section("the upstream is cut off and works on", [&] {
    deployment.upstreams.at(InstanceId("up-1")).reachable = false;
    deployment.Run(seconds(3));
    EXPECT_EQUAL(
      story, deployment.upstreams.at(InstanceId("up-2")).running.size(), 0U);
    story.Section("after its lease the task runs elsewhere", [&] {
      EXPECT_THAT(story, deployment.RunUntil(seconds(6), [&] {
        return deployment.upstreams.at(InstanceId("up-2")).running.size() == 1;
      }));
    });
    story.Section("it returns and its late end changes nothing", [&] {
      deployment.upstreams.at(InstanceId("up-1")).reachable = true;
      deployment.Run(seconds(2));
      EXPECT_EQUAL(
        story, deployment.upstreams.at(InstanceId("up-1")).running.size(), 0U);
    });
  });
  ExpectNoViolation(story, deployment);
}

Test(Dispatcher, SecuresAStartWithoutAnAnswerByAStop)
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

Test(Dispatcher, ALaterLeaderGoesOnWithWhatRuns)
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

Test(Dispatcher, SparesAnUpstreamThatFailsWhatOthersFinish)
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
  story.Section("8 cores hold 4 of its 6 members: none starts", [&] {
    EXPECT_EQUAL(story, deployment.RunningOn("print"), 0U);
  });
  story.Section("a second upstream makes room for all", [&] {
    deployment.AddUpstream("print");
    EXPECT_THAT(story, deployment.RunUntil(seconds(4), [&] {
      return deployment.RunningOn("print") == 6;
    }));
  });
}
