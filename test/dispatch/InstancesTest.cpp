// Instances: demand by turns, and maintenance waves.
#include "World.h"

#include "dispatch/DemandForecast.h"
#include "dispatch/OrderHistory.h"
#include "dispatch/PoolBalance.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using dispatch::milliseconds;
using dispatch::seconds;
using work::JobState;

namespace {

dispatch::PoolLoad
Pool(const char* aName, std::size_t aPresent, double aWaitingCores)
{
  dispatch::PoolLoad pool;
  pool.service = ServiceId(aName);
  pool.present = aPresent;
  pool.waitingCores = aWaitingCores;
  pool.coresEach = 10;
  for (std::size_t i = 0; i < aPresent; ++i) {
    pool.idle.push_back(std::string(aName) + "-" + std::to_string(i));
  }
  return pool;
}

} // namespace

Test(PoolBalance, GivesToThePoolWithABacklog)
{
  TestTrace trace;
  dispatch::PoolBalance balance;
  const Time now{ seconds(100) };
  dispatch::PoolLoad standby = Pool("standby", 2, 0);
  standby.standby = true;
  dispatch::PoolLoad busy = Pool("busy", 4, 90); // of 9 upstreams
  busy.idle.clear();
  const dispatch::PoolLoad quiet = Pool("quiet", 8, 0);
  const auto moves = balance.Next({ busy, quiet, standby }, now);
  trace.Section("standby first, then the quiet pool down to its reserve", [&] {
    EXPECT_EQUAL(trace, moves.size(), 7U);
    for (const dispatch::PoolMove& move : moves) {
      EXPECT_EQUAL(trace, move.to, ServiceId("busy"));
    }
    EXPECT_THAT(trace, moves[0].instance.starts_with("standby"));
    EXPECT_THAT(trace, moves[2].instance.starts_with("quiet"));
  });
}

// Load pattern: the turn of a queue has passed, its long tasks run on, and the
// next queue has its turn. What still runs keeps its room; the rest moves on.
Test(PoolBalance, TakesFromAPoolWhoseTurnHasPassed)
{
  TestTrace trace;
  dispatch::PoolBalance balance;
  dispatch::PoolLoad past = Pool("past", 31, 0);
  past.runningCores = 120; // of 12 upstreams
  past.idle.resize(16);
  dispatch::PoolLoad next = Pool("next", 4, 200);
  next.runningCores = 40;
  next.idle.clear();
  EXPECT_EQUAL(
    trace, balance.Next({ past, next }, Time(seconds(100))).size(), 16U);
}

// Load pattern: jobs of short steps, between which a pool looks idle.
Test(PoolBalance, KeepsTheRoomOfLaterSteps)
{
  TestTrace trace;
  dispatch::PoolLoad pool = Pool("pool", 10, 0);
  pool.runningCores = 5;
  pool.plannedCores = 100; // of which 70 are kept
  EXPECT_EQUAL(trace, dispatch::PoolBalance::Needed(pool), 10U);
}

Test(PoolBalance, GivesALastingSurplusToStandby)
{
  TestTrace trace;
  dispatch::PoolBalance balance;
  dispatch::PoolLoad standby = Pool("standby", 0, 0);
  standby.standby = true;
  const std::vector<dispatch::PoolLoad> pools{ Pool("quiet", 6, 0), standby };
  trace.Section("not at once", [&] {
    EXPECT_EQUAL(trace, balance.Next(pools, Time(seconds(100))).size(), 0U);
  });
  trace.Section("after three seconds, down to the reserve", [&] {
    EXPECT_EQUAL(trace, balance.Next(pools, Time(seconds(104))).size(), 3U);
  });
}

// Load pattern: the turn of a queue begins. Its first jobs still fit, and what
// comes before an instance can be there does not.
Test(PoolBalance, MovesBeforeTheFirstTaskWaits)
{
  TestTrace trace;
  dispatch::PoolBalance balance;
  dispatch::PoolLoad standby = Pool("standby", 10, 0);
  standby.standby = true;
  dispatch::PoolLoad busy = Pool("busy", 4, 0);
  busy.idle.clear();
  busy.runningCores = 30;
  busy.plannedCores = 30;
  EXPECT_EQUAL(
    trace, balance.Next({ busy, standby }, Time(seconds(100))).size(), 0U);
  busy.expectedCores = 50; // 8 of 10 cores and the reserve
  EXPECT_EQUAL(
    trace, balance.Next({ busy, standby }, Time(seconds(100))).size(), 7U);
}

Test(DemandForecast, FollowsTheLastArrivals)
{
  TestTrace trace;
  dispatch::DemandForecast forecast;
  const ServiceId queue("queue");
  const Duration ahead = milliseconds(1800);
  Time now{ seconds(100) };
  trace.Section("nothing is expected before the first job", [&] {
    EXPECT_EQUAL(trace, forecast.Expected(queue, ahead, now), 0.0);
  });
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    forecast.Accepted(queue, 10, now);
  }
  trace.Section("100 cores a second give 180 in 1.8 s", [&] {
    const double cores = forecast.Expected(queue, ahead, now);
    EXPECT_THAT(trace, cores > 160 && cores < 210);
  });
  trace.Section("three seconds without a job leave next to nothing", [&] {
    EXPECT_THAT(trace, forecast.Expected(queue, ahead, now + seconds(3)) < 5);
  });
  trace.Section("other services expect nothing", [&] {
    EXPECT_EQUAL(trace, forecast.Expected(ServiceId("other"), ahead, now), 0.0);
  });
}

// Load pattern: the turn of the second queue begins while the instances of the
// first are on their way to standby. No announcement ever tells that they have
// arrived there.
Test(Instances, MoveOnFromStandbyAtOnce)
{
  TestTrace trace;
  World world;
  world.AddService("day");
  world.AddService("night");
  world.AddService("spare", true);
  for (int i = 0; i < 10; ++i) {
    world.AddUpstream("day");
  }
  for (int i = 0; i < 3; ++i) {
    world.AddUpstream("night");
  }
  world.Lead();
  trace.Section("the idle pool gives its instances to standby", [&] {
    EXPECT_THAT(trace, world.RunUntil(seconds(9), [&] {
      return world.UpstreamsOf("day") == 3;
    }));
  });
  trace.Section("they are back at work two moves later", [&] {
    for (int i = 0; i < 12; ++i) {
      world.Submit(
        "night-" + std::to_string(i), "night", { StepOf(4, 2000, seconds(3)) });
    }
    EXPECT_THAT(trace, world.RunUntil(milliseconds(3600), [&] {
      return world.UpstreamsOf("night") >= 9;
    }));
  });
}

Test(OrderHistory, LeavesAloneWhatAnotherHolderOrdered)
{
  TestTrace trace;
  dispatch::OrderHistory history;
  const Time start{ seconds(100) };
  const WallTime wall{ seconds(5000) };
  const InstanceId self("self");
  const work::InstanceOrder own{ self, wall };
  const work::InstanceOrder other{ InstanceId("other"), wall };
  const auto may = [&](const work::InstanceOrder* aOrder, Duration aAfter) {
    return history.MayOrder(
      "a", aOrder, self, seconds(3), start + aAfter, wall + aAfter);
  };
  history.StartAt(start);
  trace.Section("what nobody or this holder ordered is free", [&] {
    EXPECT_THAT(trace, may(nullptr, seconds(0)));
    EXPECT_THAT(trace, may(&own, seconds(0)));
  });
  trace.Section("an order from before the start may be just over", [&] {
    EXPECT_THAT(trace, !may(&other, seconds(2)));
    EXPECT_THAT(trace, may(&other, seconds(3)));
  });
  trace.Section("one that was seen here holds for its lease", [&] {
    history.Seen("a", start + seconds(5));
    EXPECT_THAT(trace, !may(&other, seconds(7)));
    EXPECT_THAT(trace, may(&other, seconds(8)));
  });
  trace.Section("one that is old by any clock is free at a restart", [&] {
    const work::InstanceOrder old{ other.holder, wall - seconds(8) };
    const work::InstanceOrder recent{ other.holder, wall - seconds(7) };
    history.StartAt(start + seconds(20));
    const Time now = start + seconds(20);
    EXPECT_THAT(trace,
                history.MayOrder("a", &old, self, seconds(3), now, wall));
    EXPECT_THAT(trace,
                !history.MayOrder("a", &recent, self, seconds(3), now, wall));
  });
}

// Load pattern of OrderHistory: the leader changes as a queue's turn begins.
Test(Instances, ANewLeaderMovesAtOnceWhatNobodyOrdered)
{
  TestTrace trace;
  World world;
  world.AddService("day");
  world.AddService("spare", true);
  for (int i = 0; i < 8; ++i) {
    world.AddUpstream("day");
  }
  for (int i = 0; i < 6; ++i) {
    world.AddStandby("spare-" + std::to_string(i), "spare");
  }
  world.Lead();
  world.Run(seconds(4));
  // Five have gone to standby; the others were ordered nowhere.
  trace.Section("the idle pool has shrunk to its reserve",
                [&] { EXPECT_EQUAL(trace, world.UpstreamsOf("day"), 3U); });
  world.ChangeLeader();
  for (int i = 0; i < 12; ++i) {
    world.Submit(
      "day-" + std::to_string(i), "day", { StepOf(4, 2000, seconds(3)) });
  }
  trace.Section("instances that were on standby come within two seconds", [&] {
    EXPECT_THAT(trace, world.RunUntil(seconds(2), [&] {
      return world.UpstreamsOf("day") >= 9;
    }));
  });
  trace.Section(
    "those that the earlier leader ordered wait for the lease", [&] {
      EXPECT_THAT(trace, world.RunUntil(seconds(4), [&] {
        return world.UpstreamsOf("day") >= 11;
      }));
      EXPECT_EQUAL(trace,
                   world.violations.empty() ? std::string()
                                            : world.violations.front(),
                   std::string());
    });
}

// The load pattern of PoolBalance: one queue asks for twice what its pool holds
// for eight seconds while the other is idle. Without moves a quarter of the
// jobs ends after its objective.
Test(Instances, FollowDemandByTurns)
{
  TestTrace trace;
  World world;
  world.AddService("day");
  world.AddService("night");
  world.AddService("spare", true);
  for (int i = 0; i < 6; ++i) {
    world.AddUpstream("day");
    world.AddUpstream("night");
  }
  for (int i = 0; i < 4; ++i) {
    world.AddStandby("spare-" + std::to_string(i), "spare");
  }
  world.Lead();
  world.Run(seconds(4));
  int submitted = 0;
  trace.Section("the day queue asks for 96 cores of its 48", [&] {
    for (int i = 0; i < 80; ++i) {
      world.Submit("day-" + std::to_string(submitted++),
                   "day",
                   { StepOf(4, 2000, milliseconds(1200)) });
      world.Run(milliseconds(100));
    }
    EXPECT_THAT(trace, world.UpstreamsOf("day") > 10);
  });
  world.Run(seconds(6));
  trace.Section("nine in ten end within their objective of 2.52 s", [&] {
    int inTime = 0;
    for (int i = 0; i < submitted; ++i) {
      const std::string job = "day-" + std::to_string(i);
      inTime += world.StateOf(job) == JobState::Completed &&
                world.EndedAfter(job) <= milliseconds(2520);
    }
    EXPECT_THAT(trace, inTime >= 72);
  });
  trace.Section("no work was lost to a move", [&] {
    EXPECT_EQUAL(trace,
                 world.violations.empty() ? std::string()
                                          : world.violations.front(),
                 std::string());
  });
}

// Guards the bound of a wave: orders for instances on standby, and those whose
// answer is not yet on record, count as away.
Test(Instances, AWaveKeepsItsBoundAndEndsInTime)
{
  TestTrace trace;
  World world;
  world.AddService("print");
  world.AddService("spare", true);
  std::vector<std::string> names;
  for (int i = 1; i <= 8; ++i) {
    world.AddUpstream("print");
    names.push_back("machine-" + std::to_string(i));
  }
  for (int i = 0; i < 6; ++i) {
    names.push_back("spare-" + std::to_string(i));
    world.AddStandby(names.back(), "spare");
  }
  world.Lead();
  world.Run(seconds(4));
  world.StartWave(1, names, seconds(24), 3);
  trace.Section("with a leader that changes on the way", [&] {
    world.Run(seconds(5));
    world.ChangeLeader();
    world.Run(seconds(17));
    EXPECT_EQUAL(trace, world.mostAway, 3U);
    EXPECT_THAT(trace, world.state.Tables().waves.at(1).IsCompleted());
  });
}

Test(Instances, AnOrderWithoutAnAnswerIsRepeatedAndCounted)
{
  TestTrace trace;
  World world;
  world.AddService("print");
  std::vector<std::string> names;
  for (int i = 1; i <= 6; ++i) {
    world.AddUpstream("print");
    names.push_back("machine-" + std::to_string(i));
  }
  world.Lead();
  world.Run(seconds(4));
  world.ownerSilent = true;
  world.StartWave(1, names, seconds(30), 2);
  world.Run(seconds(5));
  world.ownerSilent = false;
  world.Run(seconds(20));
  EXPECT_EQUAL(trace, world.mostAway, 2U);
  EXPECT_THAT(trace, world.state.Tables().waves.at(1).IsCompleted());
  trace.Section("all are back and on record", [&] {
    EXPECT_EQUAL(trace, world.UpstreamsOf("print"), 6U);
    EXPECT_EQUAL(trace, world.state.Tables().upstreams.size(), 6U);
  });
}
