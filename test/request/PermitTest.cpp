// Tests of permits: limits, recalls, restarts, and attempts that may still run.
#include "request/Fleet.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

std::uint32_t
StartMany(Fleet& aFleet, const std::string& aTeam, std::uint32_t aCount)
{
  std::size_t starts = 0;
  for (std::uint32_t number = 0; number < aCount; ++number) {
    starts += Of<StartAttempt>(aFleet.Step(aFleet.Request(aTeam))).size();
  }
  return static_cast<std::uint32_t>(starts);
}

wire::TeamDemand
DemandOf(const Fleet& aFleet, const std::string& aTeam)
{
  for (const wire::TeamDemand& demand : aFleet.reducer.Demand()) {
    if (demand.team == TeamId(aTeam)) {
      return demand;
    }
  }
  return {};
}

} // namespace

// Guards against more running work of a team than it has permits, and against
// waiting work that the leader does not hear of.
Test(Permits, BoundWhatRuns)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 3;
  Fleet fleet(options);
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 5), 3U);
  EXPECT_EQUAL(trace, DemandOf(fleet, "team-a").inUse, 3U);
  EXPECT_EQUAL(trace, DemandOf(fleet, "team-a").waiting, 2U);
  trace.Section("a grant starts the work that waits", [&] {
    fleet.viewEffects.clear();
    fleet.Grant("team-a", 1);
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.viewEffects).size(), 1U);
  });
  trace.Section("a lowered limit holds new starts back at once", [&] {
    state::Bundle bundle = fleet.BundleOf(2);
    bundle.teams[1].limit = 1;
    fleet.AcceptBundle(bundle);
    EXPECT_EQUAL(trace, StartMany(fleet, "team-b", 3), 1U);
  });
}

// Guards against a team that waits without permits and never asks the leader.
Test(Permits, AreAskedForWhenWorkWaits)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 0;
  Fleet fleet(options);
  const Effects first = fleet.Step(fleet.Request("team-a"));
  EXPECT_EQUAL(trace, Of<RenewNow>(first).size(), 1U);
  trace.Section("but at most every 100 ms", [&] {
    EXPECT_THAT(trace,
                Of<RenewNow>(fleet.Step(fleet.Request("team-a"))).empty());
    fleet.Pass(Seconds(0.1));
    EXPECT_EQUAL(trace, Of<RenewNow>(fleet.Step(Tick{})).size(), 1U);
  });
}

// Guards against a permit that is used here after its return was sent, when
// two entry instances could use it at a time.
Test(Permits, RecalledOnesAreNotUsedAgain)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 4;
  Fleet fleet(options);
  const auto running = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  const auto returned = [&](const Effects& aEffects) {
    std::uint32_t count = 0;
    for (const auto& effect : Of<SendReturnPermits>(aEffects)) {
      count += effect.permits.count;
    }
    return count;
  };
  const Effects recall = fleet.Renew({ { TeamId("team-a"), 6 } });
  EXPECT_EQUAL(trace, returned(recall), 3U);
  trace.Section("before the log has the return", [&] {
    EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 2), 0U);
  });
  trace.Section("the busy one is returned when its work ends", [&] {
    const Effects effects = fleet.Finish(running);
    EXPECT_EQUAL(
      trace, returned(effects) + Of<StartAttempt>(effects).size(), 1U);
  });
}

// Guards against permits that are lost for good with a return that never
// reached the log, and against using them while it still may.
Test(Permits, ALostReturnIsSettledByALaterOne)
{
  TestTrace trace;
  FleetOptions options;
  options.permits = 4;
  Fleet fleet(options);
  fleet.Renew({ { TeamId("team-a"), 3 } }); // sequence 1, lost
  const auto second =
    First<SendReturnPermits>(fleet.Renew({ { TeamId("team-b"), 1 } }));
  EXPECT_EQUAL(trace, second.permits.sequence, 2U);
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 4), 1U);
  trace.Section("the log applied return 2, so it skips return 1", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(second.permits);
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.viewEffects).size(), 3U);
    EXPECT_EQUAL(trace, StartMany(fleet, "team-b", 4), 3U);
  });
}

// Guards against permits of an earlier boot being used after a restart.
Test(Permits, OfAnEarlierBootAreNotUsed)
{
  TestTrace trace;
  Fleet fleet;
  fleet.reducer = RequestReducer(ReducerOptions(2, "boot-2"), fleet.state);
  fleet.Renew();
  EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 1), 0U);
  trace.Section("nor after the registration of the new boot", [&] {
    fleet.Apply(state::RegisterEntry{ InstanceId("entry-1"), "boot-2" });
    EXPECT_EQUAL(trace, StartMany(fleet, "team-a", 1), 0U);
  });
  trace.Section("only a new grant counts", [&] {
    fleet.viewEffects.clear();
    fleet.Apply(state::GrantPermits{
      InstanceId("entry-1"), "boot-2", TeamId("team-a"), 1 });
    EXPECT_EQUAL(trace, Of<StartAttempt>(fleet.viewEffects).size(), 1U);
  });
}

// Guards against a permit that is free although the upstream may still run the
// abandoned or broken attempt, and against permits lost with a dead upstream.
Test(Permits, StayInUseWhileAnAttemptMayRun)
{
  TestTrace trace;
  FleetOptions options;
  options.upstreams = 1;
  Fleet fleet(options);
  const auto used = [&] { return DemandOf(fleet, "team-a").inUse; };
  const auto start = [&] {
    return First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  };
  trace.Section("not after a connect failure or a refusal", [&] {
    const auto refused = start();
    fleet.Step(AttemptRefused{ refused.request, 1 });
    fleet.Step(CallerGone{ refused.request });
    const auto failed = start();
    fleet.Fail(failed, AttemptPhase::Connecting);
    fleet.Step(CallerGone{ failed.request });
    EXPECT_EQUAL(trace, used(), 0U);
  });
  trace.Section("after a reset and after the caller left", [&] {
    const auto reset = start();
    fleet.Fail(reset, AttemptPhase::Sending);
    fleet.Step(CallerGone{ reset.request });
    fleet.Step(CallerGone{ start().request });
    EXPECT_EQUAL(trace, used(), 2U);
  });
  trace.Section("a new boot of the upstream proves their end", [&] {
    state::Announcement restarted = fleet.Announcement(0);
    restarted.bootedAtMs = 2000;
    restarted.boot = "up-2";
    fleet.Announce(restarted);
    EXPECT_EQUAL(trace, used(), 0U);
  });
}

// Guards against a graceful stop that keeps idle permits or admits new work.
Test(Permits, AreReturnedOnAGracefulStop)
{
  TestTrace trace;
  Fleet fleet;
  const auto running = First<StartAttempt>(fleet.Step(fleet.Request("team-a")));
  fleet.reducer.StopAdmission();
  const auto returns = Of<SendReturnPermits>(fleet.Step(Tick{}));
  EXPECT_EQUAL(trace, returns.size(), 3U);
  EXPECT_EQUAL(trace, returns[0].permits.count, 19U);
  const auto refused = Of<Refuse>(fleet.Step(fleet.Request("team-b")));
  EXPECT_EQUAL(trace, refused.at(0).problem, Problem::Stopping);
  EXPECT_EQUAL(trace, Of<SendReturnPermits>(fleet.Finish(running)).size(), 1U);
}
