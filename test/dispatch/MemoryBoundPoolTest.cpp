// Pools whose upstreams run out of memory while most of their cores are idle.
#include "FakeDeployment.h"
#include "dispatch/EffectiveCores.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::EffectiveCores;
using dispatch::milliseconds;
using dispatch::seconds;

Test(EffectiveCores, CountTheScarcerResource)
{
  TestTrace trace;
  const state::Resources capacity{ 32000, 128000, 0 };
  const auto cores = [&](std::int64_t aMilliCpus, std::int64_t aMemoryMb) {
    return EffectiveCores({ aMilliCpus, aMemoryMb, 0 }, capacity);
  };
  EXPECT_EQUAL(trace, cores(4000, 8000), 4.0);
  EXPECT_EQUAL(trace, cores(4000, 64000), 16.0);
  EXPECT_EQUAL(trace, cores(0, 32000), 8.0);
  EXPECT_EQUAL(trace, cores(32000, 128000), 32.0);
  EXPECT_EQUAL(trace, EffectiveCores({ 4000, 64000, 0 }, {}), 4.0);
}

// Load pattern: long-running tasks hold most of the memory, and short tasks
// arrive that need more memory than is left, but fewer cores. Guards against a
// pool that asks for no instances because it has cores to spare.
Test(MemoryBoundPool, AsksForInstances)
{
  TestTrace trace;
  FakeDeployment deployment;
  deployment.AddService("preview");
  deployment.AddService("spare", true);
  for (int i = 0; i < 12; ++i) {
    deployment.AddUpstream("preview"); // 8 cores, 64,000 MB
  }
  deployment.ElectLeader();
  deployment.Run(milliseconds(500));
  trace.Section("long-running tasks take three quarters of the memory", [&] {
    work::Step archive = MakeStep(12, 1000, seconds(600));
    archive.longRunning = true;
    archive.maxPerUpstream = 1;
    archive.size.memoryMb = 48000;
    deployment.Submit("archive", "preview", { archive });
    deployment.Run(seconds(1));
    EXPECT_EQUAL(trace, deployment.RunningOn("preview"), 12U);
  });
  trace.Section("two short tasks fit on each upstream, and six wait", [&] {
    work::Step preview = MakeStep(30, 2000, seconds(60));
    preview.size.memoryMb = 6000;
    deployment.Submit("previews", "preview", { preview });
    deployment.Run(seconds(8));
    EXPECT_EQUAL(trace, deployment.RunningOn("preview"), 12U + 24U);
  });
  trace.Section("instances on standby join the pool for them", [&] {
    for (int i = 0; i < 6; ++i) {
      deployment.AddStandby("spare-" + std::to_string(i), "spare");
    }
    EXPECT_THAT(trace, deployment.RunUntil(seconds(6), [&] {
      return deployment.RunningOn("preview") == 12U + 30U;
    }));
    EXPECT_THAT(trace, deployment.violations.empty());
  });
}
