// Jobs through the real dispatcher: starts, ends, losses and changes of the
// leader.
#include "World.h"

#include "support/TestTrace.h"

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
MakeReady(World& aWorld, int aUpstreams)
{
  aWorld.AddService("print");
  for (int i = 0; i < aUpstreams; ++i) {
    aWorld.AddUpstream("print");
  }
  aWorld.Lead();
  aWorld.Run(milliseconds(100));
}

void
ExpectNoViolation(TestTrace& aTrace, const World& aWorld)
{
  EXPECT_EQUAL(aTrace,
               aWorld.violations.empty() ? std::string()
                                         : aWorld.violations.front(),
               std::string());
}

} // namespace

// The log leads from the ID of a job to what was placed of it and when.
Test(Dispatcher, TellsWhatItPlaces)
{
  TestTrace trace;
  World world;
  MakeReady(world, 2);
  world.Submit("job", "print", { StepOf(20, 2000, milliseconds(400)) });
  world.Run(milliseconds(100));
  const auto line = std::find_if(
    world.decisions.begin(), world.decisions.end(), [](const auto& aItem) {
      return aItem.kind == "tasks_placed" && aItem.job == "job";
    });
  EXPECT_THAT(trace, line != world.decisions.end());
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

Test(Dispatcher, RunsAJobOfSteps)
{
  TestTrace trace;
  World world;
  MakeReady(world, 2);
  trace.Section("a job of two steps, the second after the first", [&] {
    work::Step second = StepOf(2, 2000, milliseconds(300));
    second.after = { 0 };
    world.Submit(
      "job", "print", { StepOf(3, 2000, milliseconds(500)), second });
    world.Run(milliseconds(450));
    EXPECT_EQUAL(trace, world.RunningOn("print"), 3U);
    trace.Section("the second starts once all of the first are done", [&] {
      EXPECT_THAT(trace, world.RunUntil(milliseconds(400), [&] {
        return world.RunningOn("print") == 2;
      }));
    });
    trace.Section("it is shown as completed", [&] {
      EXPECT_THAT(trace, world.RunUntil(seconds(1), [&] {
        return world.StateOf("job") == JobState::Completed;
      }));
    });
  });
  ExpectNoViolation(trace, world);
}

// Guards against views that are rebuilt while a start is being recorded: the
// task was decided twice, and its first run looked unknown and was stopped.
Test(Dispatcher, ATaskIsDecidedOnceWhileItsStartIsBeingRecorded)
{
  TestTrace trace;
  World world;
  MakeReady(world, 1);
  trace.Section("the log is slow while two tasks of a job start", [&] {
    world.Submit("job", "print", { StepOf(1, 1000, milliseconds(200)) });
    world.Run(milliseconds(50));
    world.holdCommits = true;
    world.Run(milliseconds(600));
    trace.Section("news of the job arrives meanwhile",
                  [&] { world.Run(milliseconds(100)); });
    world.holdCommits = false;
    world.Run(seconds(1));
    EXPECT_EQUAL(trace, world.StateOf("job"), JobState::Completed);
  });
  trace.Section("a wide job whose starts are recorded one by one", [&] {
    world.Submit("wide", "print", { StepOf(8, 1000, milliseconds(300)) });
    world.holdCommits = true;
    for (int i = 0; i < 20; ++i) {
      world.Submit("other-" + std::to_string(i),
                   "print",
                   { StepOf(1, 500, milliseconds(100)) });
      world.Run(milliseconds(10));
    }
    world.holdCommits = false;
    EXPECT_THAT(trace, world.RunUntil(seconds(5), [&] {
      return world.StateOf("wide") == JobState::Completed;
    }));
  });
  trace.Section("no run was stopped", [&] {
    EXPECT_EQUAL(trace, world.upstreams.begin()->second.stopsSeen, 0U);
    EXPECT_EQUAL(trace, world.rejectedStarts, 0U);
  });
  ExpectNoViolation(trace, world);
}

Test(Dispatcher, StopsTheRunsOfACancelledJob)
{
  TestTrace trace;
  World world;
  MakeReady(world, 2);
  work::Step lasting = StepOf(4, 1000, seconds(1));
  lasting.lasting = true;
  world.Submit("job", "print", { lasting });
  EXPECT_THAT(trace, world.RunUntil(seconds(1), [&] {
    return world.RunningOn("print") == 4;
  }));
  trace.Section("within half a second nothing of it runs", [&] {
    world.Cancel("job");
    world.Run(milliseconds(500));
    EXPECT_EQUAL(trace, world.RunningOn("print"), 0U);
    EXPECT_EQUAL(trace, world.StateOf("job"), JobState::Cancelled);
  });
}

Test(Dispatcher, RestartsLastingTasksHoweverTheyEnd)
{
  TestTrace trace;
  World world;
  MakeReady(world, 2);
  work::Step lasting = StepOf(3, 1000, seconds(1));
  lasting.lasting = true;
  world.Submit("job", "print", { lasting });
  world.Run(milliseconds(300));
  trace.Section("an upstream crashes and is born again", [&] {
    world.Crash("up-1", true);
    EXPECT_THAT(trace, world.RunUntil(seconds(4), [&] {
      return world.RunningOn("print") == 3;
    }));
  });
  ExpectNoViolation(trace, world);
}

// Guards at most once: a silent upstream may still work on a task until its
// lease has surely ended.
Test(Dispatcher, WaitsForTheLeaseOfASilentUpstream)
{
  TestTrace trace;
  World world;
  MakeReady(world, 1);
  world.Submit("job", "print", { StepOf(1, 1000, seconds(20)) });
  world.Run(milliseconds(300));
  world.AddUpstream("print");
  world.Run(seconds(2));
  trace.Section("the upstream is cut off and works on", [&] {
    world.upstreams.at(InstanceId("up-1")).reachable = false;
    world.Run(seconds(3));
    EXPECT_EQUAL(
      trace, world.upstreams.at(InstanceId("up-2")).running.size(), 0U);
    trace.Section("after its lease the task runs elsewhere", [&] {
      EXPECT_THAT(trace, world.RunUntil(seconds(6), [&] {
        return world.upstreams.at(InstanceId("up-2")).running.size() == 1;
      }));
    });
    trace.Section("it returns and its late end changes nothing", [&] {
      world.upstreams.at(InstanceId("up-1")).reachable = true;
      world.Run(seconds(2));
      EXPECT_EQUAL(
        trace, world.upstreams.at(InstanceId("up-1")).running.size(), 0U);
    });
  });
  ExpectNoViolation(trace, world);
}

Test(Dispatcher, SecuresAStartWithoutAnAnswerByAStop)
{
  TestTrace trace;
  World world;
  MakeReady(world, 1);
  FakeUpstream& up = world.upstreams.at(InstanceId("up-1"));
  up.mute = true;
  world.Submit("job", "print", { StepOf(1, 1000, seconds(2)) });
  world.Run(milliseconds(200));
  up.mute = false;
  EXPECT_THAT(trace, world.RunUntil(seconds(6), [&] {
    return world.StateOf("job") == JobState::Completed;
  }));
  ExpectNoViolation(trace, world);
}

Test(Dispatcher, ALaterLeaderGoesOnWithWhatRuns)
{
  TestTrace trace;
  World world;
  MakeReady(world, 3);
  work::Step second = StepOf(3, 1000, milliseconds(400));
  second.after = { 0 };
  world.Submit("job", "print", { StepOf(6, 1000, seconds(1)), second });
  world.Run(milliseconds(300));
  trace.Section("the leader changes while tasks run", [&] {
    world.ChangeLeader();
    EXPECT_THAT(trace, world.RunUntil(seconds(4), [&] {
      return world.StateOf("job") == JobState::Completed;
    }));
    std::uint32_t starts = 0;
    for (const auto& [id, up] : world.upstreams) {
      starts += up.startsSeen;
    }
    trace.Section("no task ran twice",
                  [&] { EXPECT_EQUAL(trace, starts, 9U); });
  });
  ExpectNoViolation(trace, world);
}

Test(Dispatcher, KeepsAWorkspaceBelowItsLimit)
{
  TestTrace trace;
  World world;
  world.AddService("print");
  world.SetLimit("print", { 3000, 0, 0 });
  world.AddUpstream("print");
  world.AddUpstream("print");
  world.Lead();
  world.Run(milliseconds(100));
  world.Submit("job", "print", { StepOf(8, 1000, milliseconds(300)) });
  std::size_t most = 0;
  world.RunUntil(seconds(5), [&] {
    most = std::max(most, world.RunningOn("print"));
    return world.StateOf("job") == JobState::Completed;
  });
  EXPECT_EQUAL(trace, most, 3U);
  EXPECT_EQUAL(trace, world.StateOf("job"), JobState::Completed);
}

Test(Dispatcher, SparesAnUpstreamThatFailsWhatOthersFinish)
{
  TestTrace trace;
  World world;
  MakeReady(world, 4);
  world.upstreams.at(InstanceId("up-2")).failsAll = true;
  for (int i = 0; i < 12; ++i) {
    world.Submit("job-" + std::to_string(i),
                 "print",
                 { StepOf(4, 2000, milliseconds(200)) });
    world.Run(milliseconds(100));
  }
  world.Run(seconds(4));
  std::size_t completed = 0;
  for (int i = 0; i < 12; ++i) {
    completed +=
      world.StateOf("job-" + std::to_string(i)) == JobState::Completed;
  }
  EXPECT_EQUAL(trace, completed, 12U);
}

Test(Dispatcher, PutsNothingOnADrainingUpstream)
{
  TestTrace trace;
  World world;
  MakeReady(world, 2);
  world.Drain("up-1", seconds(5));
  world.Run(milliseconds(50));
  world.Submit("job", "print", { StepOf(6, 1000, seconds(1)) });
  world.Run(milliseconds(500));
  EXPECT_EQUAL(
    trace, world.upstreams.at(InstanceId("up-1")).running.size(), 0U);
  EXPECT_EQUAL(
    trace, world.upstreams.at(InstanceId("up-2")).running.size(), 6U);
}

Test(Dispatcher, StartsAGangWholeOrNotAtAll)
{
  TestTrace trace;
  World world;
  MakeReady(world, 1);
  work::Step gang = StepOf(6, 2000, milliseconds(500));
  gang.gang = true;
  world.Submit("gang", "print", { gang });
  world.Run(milliseconds(500));
  trace.Section("8 cores hold 4 of its 6 members: none starts",
                [&] { EXPECT_EQUAL(trace, world.RunningOn("print"), 0U); });
  trace.Section("a second upstream makes room for all", [&] {
    world.AddUpstream("print");
    EXPECT_THAT(trace, world.RunUntil(seconds(4), [&] {
      return world.RunningOn("print") == 6;
    }));
  });
}
