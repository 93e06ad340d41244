// Tests of maintenance waves, budgets, repairs, moves and requests of
// operators.
#include "planner/FleetChecker.h"
#include "planner/FleetDriver.h"
#include "planner/Fleets.h"
#include "support/TestTrace.h"

#include <algorithm>
#include <string>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

constexpr Duration kHour = 60 * kMinute;

state::Bundle
ShortIntervalBundle(Duration aInterval)
{
  state::Bundle bundle = MakeBundle(PayrollShape());
  bundle.policy.maintenanceInterval = aInterval;
  return bundle;
}

std::size_t
CountMaintained(const FleetDriver& aFleet, WallTime aAfter)
{
  std::size_t count = 0;
  for (const auto& [instance, record] : aFleet.state.Instances()) {
    count += record.lastMaintainedAt > aAfter ? 1 : 0;
  }
  return count;
}

const state::WaveRecord*
ActiveWave(const FleetDriver& aFleet)
{
  for (const auto& [wave, record] : aFleet.state.Waves()) {
    if (record.state != state::WaveState::Finished) {
      return &record;
    }
  }
  return nullptr;
}

void
RunUntilWave(FleetDriver& aFleet)
{
  for (int minute = 0; minute < 600 && ActiveWave(aFleet) == nullptr;
       ++minute) {
    aFleet.Run(kMinute);
  }
}

std::vector<InstanceId>
InstancesOfRack(const FleetDriver& aFleet, const RackId& aRack)
{
  std::vector<InstanceId> names;
  for (const auto& [instance, record] : aFleet.state.Instances()) {
    if (record.rack == aRack) {
      names.push_back(instance);
    }
  }
  return names;
}

// Submits jobs to a pool until aTarget are waiting or running.
void
KeepBusy(FleetDriver& aFleet, std::size_t aPool, std::size_t aTarget)
{
  static std::uint64_t serial = 0;
  const PoolId pool(PoolName(aPool));
  std::size_t present = aFleet.state.WaitingJobs(pool).size();
  for (const InstanceId& instance : aFleet.state.InstancesOf(pool)) {
    present += aFleet.state.JobsOn(instance).size();
  }
  for (; present < aTarget; ++present) {
    state::SubmitJob job;
    job.job = JobId("busy" + std::to_string(++serial));
    job.team = TeamName(0);
    job.service = ServiceName(aPool);
    job.size = { 100, 100, 0 };
    JobBehaviour behaviour;
    behaviour.runTime = 20 * kSecond;
    aFleet.SubmitJob(job, behaviour);
  }
}

} // namespace

// Guards against waves that skip instances, break budgets or interrupt work.
Test(Maintenance, WaveMaintainsEveryInstanceOncePerInterval)
{
  TestTrace trace;
  const state::Bundle bundle = ShortIntervalBundle(6 * kHour);
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  fleet.Run(kSecond);
  const WallTime start = fleet.Wall();
  trace.Section("jobs run while six hours pass", [&] {
    for (int minute = 0; minute < 360; ++minute) {
      KeepBusy(fleet, 0, 12);
      fleet.Run(kMinute);
    }
    trace.Section("each of the 49 instances was maintained", [&] {
      EXPECT_EQUAL(trace, CountMaintained(fleet, start), 49U);
    });
    trace.Section("each instance was drained once",
                  [&] { EXPECT_EQUAL(trace, checker.drains, 49U); });
    trace.Section("no invariant was violated", [&] {
      EXPECT_EQUAL(trace,
                   checker.problems.empty() ? "" : checker.problems.front(),
                   std::string());
      EXPECT_EQUAL(trace, fleet.refusals.size(), 0U);
    });
  });
}

// Guards against planned stops while a rack is lost.
Test(Maintenance, LostRackPausesTheWaveUntilNoFurtherLoss)
{
  TestTrace trace;
  const state::Bundle bundle = ShortIntervalBundle(12 * kHour);
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  RunUntilWave(fleet);
  trace.Section("a rack is lost during the wave", [&] {
    const RackId rack = fleet.Instance(InstanceName(2, 10)).rack;
    const std::vector<InstanceId> lost = InstancesOfRack(fleet, rack);
    for (const InstanceId& instance : lost) {
      fleet.Kill(instance);
    }
    fleet.Run(10 * kSecond);
    const std::size_t drains = checker.drains;
    trace.Section("the wave pauses and gives the reason", [&] {
      EXPECT_THAT(trace, ActiveWave(fleet)->state == state::WaveState::Paused);
      EXPECT_THAT(
        trace, ActiveWave(fleet)->reason.find(rack.value) != std::string::npos);
    });
    trace.Section("the rack returns and the wave resumes after a quiet time",
                  [&] {
                    fleet.Run(30 * kSecond);
                    for (const InstanceId& instance : lost) {
                      fleet.Boot(instance);
                    }
                    fleet.Run(60 * kSecond);
                    EXPECT_EQUAL(trace, checker.drains, drains);
                    fleet.Run(8 * kHour);
                    EXPECT_THAT(trace, checker.drains > drains);
                    EXPECT_THAT(trace, checker.problems.empty());
                  });
  });
}

// Guards against a wave that continues although a repaired failure domain fails
// again.
Test(Maintenance, SecondLossRightAfterARepairPausesTheWave)
{
  TestTrace trace;
  const state::Bundle bundle = ShortIntervalBundle(12 * kHour);
  FleetDriver fleet(bundle);
  RunUntilWave(fleet);
  trace.Section("one instance is lost and returns", [&] {
    const InstanceId first = InstanceName(3, 11);
    fleet.Kill(first);
    fleet.Run(20 * kSecond);
    fleet.Boot(first);
    fleet.Run(10 * kSecond);
    EXPECT_THAT(trace, ActiveWave(fleet)->state == state::WaveState::Running);
    trace.Section("it is lost again within its soak time", [&] {
      fleet.Kill(first);
      fleet.Run(10 * kSecond);
      EXPECT_THAT(trace, ActiveWave(fleet)->state == state::WaveState::Paused);
      EXPECT_THAT(trace,
                  ActiveWave(fleet)->reason.find("right after a repair") !=
                    std::string::npos);
    });
  });
}

// Guards against drains requested by operators that break a budget or never
// happen.
Test(Maintenance, OperatorDrainsWaitForTheBudgetAndReturn)
{
  TestTrace trace;
  const state::Bundle bundle = MakeBundle(PayrollShape());
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  fleet.Run(kSecond);
  trace.Section("three drains are requested in a pool that can spare two", [&] {
    for (std::uint32_t index = 0; index < 3; ++index) {
      fleet.ApplyNow(state::RequestInstanceAction{
        InstanceName(0, index), state::InstanceAction::Drain, {} });
    }
    fleet.Run(3 * kMinute);
    const auto isStopped = [&](std::uint32_t aIndex) {
      return fleet.Instance(InstanceName(0, aIndex)).phase ==
             state::InstancePhase::Stopped;
    };
    EXPECT_EQUAL(trace, isStopped(0) + isStopped(1) + isStopped(2), 2);
    trace.Section("the explanation of the third names the budget", [&] {
      EXPECT_THAT(trace,
                  fleet.planner->ExplainInstance(InstanceName(0, 2))
                      .at(1)
                      .find("min_available") != std::string::npos);
    });
    trace.Section("the third drains after another one has returned", [&] {
      fleet.ApplyNow(state::RequestInstanceAction{
        InstanceName(0, 0), state::InstanceAction::Return, {} });
      fleet.Run(10 * kMinute);
      EXPECT_THAT(trace, isStopped(2));
      EXPECT_THAT(trace,
                  fleet.Instance(InstanceName(0, 0)).phase ==
                    state::InstancePhase::Serving);
      EXPECT_THAT(trace, checker.problems.empty());
    });
  });
}

// Guards against moves that follow demand peaks which rotate between pools
// within seconds.
Test(PoolBalancer, DemandThatChangesEveryFewSecondsCausesFewMoves)
{
  TestTrace trace;
  const state::Bundle bundle = MakeBundle(PayrollShape());
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  fleet.Run(kSecond);
  trace.Section("for half an hour the pools are full in turn for 8 s each",
                [&] {
                  for (int turn = 0; turn < 225; ++turn) {
                    KeepBusy(fleet, static_cast<std::size_t>(turn) % 4, 100);
                    fleet.Run(8 * kSecond);
                  }
                  EXPECT_THAT(trace, checker.moves <= 2);
                });
}

// Guards against a spare pool that lends nothing, and against lent instances
// that are never returned.
Test(PoolBalancer, LastingDemandBorrowsAndReturns)
{
  TestTrace trace;
  const state::Bundle bundle = MakeBundle(PayrollShape());
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  fleet.Run(kSecond);
  trace.Section("one pool has twice the work it can take for 30 min", [&] {
    for (int step = 0; step < 360; ++step) {
      KeepBusy(fleet, 1, 150);
      fleet.Run(5 * kSecond);
    }
    const std::size_t lent =
      fleet.state.InstancesOf(PoolId(PoolName(1))).size() - 9;
    EXPECT_THAT(trace, lent >= 2);
    trace.Section("the lent instances are returned afterwards", [&] {
      fleet.Run(2 * kHour);
      EXPECT_EQUAL(
        trace, fleet.state.InstancesOf(PoolId(PoolName(1))).size(), 9U);
      EXPECT_THAT(trace, checker.problems.empty());
    });
  });
}

// Guards against lost instances that are not replaced, and against replacements
// that never stop.
Test(Repair, LostInstanceIsReplacedUntilReplacementsFailThreeTimes)
{
  TestTrace trace;
  const state::Bundle bundle = MakeBundle(PayrollShape());
  FleetDriver fleet(bundle);
  FleetChecker checker(fleet, bundle);
  fleet.Run(kSecond);
  const PoolId pool(PoolName(2));
  trace.Section("an instance is lost for good", [&] {
    fleet.Kill(InstanceName(2, 0));
    fleet.Run(10 * kMinute);
    EXPECT_EQUAL(trace, fleet.state.AvailableIn(pool), 11U);
    trace.Section("each replacement is lost as well", [&] {
      for (int round = 0; round < 6; ++round) {
        for (const InstanceId& instance : fleet.state.InstancesOf(pool)) {
          const state::InstanceRecord& record = fleet.Instance(instance);
          if (record.homePool != pool &&
              record.phase == state::InstancePhase::Serving) {
            fleet.Kill(instance);
          }
        }
        fleet.Run(8 * kMinute);
      }
      const auto reported =
        std::ranges::find_if(fleet.decisions, [](const auto& aLine) {
          return aLine.kind == "repair" && aLine.refusal;
        });
      EXPECT_THAT(trace, reported != fleet.decisions.end());
      EXPECT_THAT(trace, checker.problems.empty());
    });
  });
}
