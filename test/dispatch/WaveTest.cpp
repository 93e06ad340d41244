// Maintenance waves over instances that run long-running tasks, and beside a
// peak.
#include "FakeDeployment.h"

#include "support/TestTrace.h"

#include <algorithm>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;

// Guards against a wave that leaves long-running tasks where they are until the
// turn of their instance comes. A step allows few of them to be away at a time,
// so that the last instances would not be empty in time.
Test(Wave, MovesLongRunningTasksFromItsBeginning)
{
  TestTrace trace;
  constexpr std::uint32_t kTasks = 6;
  FakeDeployment deployment;
  deployment.warmUp = milliseconds(500);
  deployment.AddService("archive");
  for (int i = 0; i < 2 * static_cast<int>(kTasks); ++i) {
    deployment.AddUpstream("archive");
  }
  deployment.ElectLeader();
  deployment.Run(milliseconds(500));
  work::Step archive = MakeStep(kTasks, 1000, seconds(600));
  archive.longRunning = true;
  archive.maxPerUpstream = 1;
  archive.maxUnavailable = 1;
  deployment.Submit("archive", "archive", { archive });
  deployment.Run(seconds(3));
  std::vector<std::string> due;
  for (const auto& [id, upstream] : deployment.upstreams) {
    if (!upstream.running.empty()) {
      due.push_back(upstream.record.instance);
    }
  }
  EXPECT_EQUAL(trace, due.size(), std::size_t{ kTasks });
  deployment.StartWave(1, due, seconds(60), 1);
  trace.Section("after 8 s none runs on an instance that is still due", [&] {
    deployment.Run(seconds(8));
    const work::Wave& wave = deployment.state.Tables().waves.at(1);
    EXPECT_THAT(trace, !wave.IsCompleted());
    for (const auto& [id, upstream] : deployment.upstreams) {
      const std::string& instance = upstream.record.instance;
      const bool isDue =
        std::find(due.begin(), due.end(), instance) != due.end() &&
        !wave.started.contains(instance);
      EXPECT_THAT(trace, !isDue || upstream.running.empty());
    }
  });
  trace.Section("all tasks are at work, and each has moved once", [&] {
    EXPECT_EQUAL(trace, deployment.RunningOn("archive"), std::size_t{ kTasks });
    const auto stops = std::count_if(deployment.decisions.begin(),
                                     deployment.decisions.end(),
                                     [](const dispatch::Decision& aDecision) {
                                       return aDecision.kind == "run_stopped";
                                     });
    EXPECT_EQUAL(trace, stops, static_cast<std::ptrdiff_t>(kTasks));
  });
  trace.Section("the wave keeps its limit and ends in time", [&] {
    deployment.Run(seconds(52));
    EXPECT_EQUAL(trace, deployment.maxAwayAtOnce, 1U);
    EXPECT_THAT(trace, deployment.state.Tables().waves.at(1).IsCompleted());
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}

// Load pattern: a wave begins together with a peak that needs the instances on
// standby. Guards against a wave that takes all of them first.
Test(Wave, LeavesTheStandbyPoolToAPeak)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("print");
  deployment.AddService("spare", true);
  deployment.SetMaintenanceTime(seconds(4));
  for (int i = 0; i < 4; ++i) {
    deployment.AddUpstream("print");
  }
  std::vector<std::string> due;
  for (int i = 0; i < 12; ++i) {
    due.push_back("spare-" + std::to_string(i));
    deployment.AddStandby(due.back(), "spare");
  }
  deployment.ElectLeader();
  deployment.Run(seconds(4));
  trace.Section("a first job needs a few of them", [&] {
    deployment.Submit("first", "print", { MakeStep(8, 1000, seconds(1)) });
    deployment.Run(milliseconds(300));
    deployment.StartWave(1, due, seconds(40), 10);
    deployment.Run(milliseconds(300));
  });
  // 200 cores, far more than all instances have.
  deployment.Submit("peak", "print", { MakeStep(200, 1000, seconds(3)) });
  deployment.Run(seconds(3));
  trace.Section("most of the standby pool serves the peak", [&] {
    EXPECT_THAT(trace, deployment.UpstreamsOf("print") >= 12U);
  });
  trace.Section("the wave still ends in time", [&] {
    deployment.Run(seconds(38));
    EXPECT_THAT(trace, deployment.state.Tables().waves.at(1).IsCompleted());
    EXPECT_THAT(trace, deployment.maxAwayAtOnce <= 10);
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}
